package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// maxCheckDelay is the time from the end of an outage within which a check must succeed. It leaves a second of the stable
// window of 3 s for the reads that follow.
const maxCheckDelay = 2 * time.Second

// checkingVM is one VM of a simulated cluster that checks the store for newer declarations.
type checkingVM struct {
	fleetTask
	// hangsUntil is when the check under way is given up, because the store does not answer it.
	hangsUntil time.Time
	beaconAt   time.Time
	// heardAt is when the last beacon of each peer arrived.
	heardAt map[int]time.Time
}

// outageFaults tells which VMs never reach the store, which are dead and whether beacons arrive.
type outageFaults struct {
	cutOff, dead func(vm int) bool
	beaconsLost  bool
}

// simulateChecks simulates seven VMs and a store that does not answer for a time. It returns the time from the end of the
// outage to the first check that succeeds, and the number of checks before the outage.
func simulateChecks(outageAt, outageEnd time.Duration, f outageFaults) (delay time.Duration, checks int) {
	const vms, checkDuration = 7, time.Second
	readers := make([]*checkingVM, vms)
	for i := range readers {
		readers[i] = &checkingVM{fleetTask: fleetTask{interval: declarationsCheckInterval}, heardAt: map[int]time.Time{}}
	}
	for at := simulationStep; at < outageEnd+time.Minute; at += simulationStep {
		now := start.Add(at)
		for i, r := range readers {
			if f.dead(i) && at >= outageAt {
				continue
			}
			r.rank = 0
			for other, heard := range r.heardAt {
				if other < i && now.Sub(heard) <= silenceTimeout {
					r.rank++
				}
			}
			if now.After(r.hangsUntil) && r.dueIn(now) <= 0 {
				r.requestedAt = now
				switch {
				case f.cutOff(i) || at >= outageAt && at < outageEnd:
					r.hangsUntil = now.Add(checkDuration)
				case at >= outageEnd:
					return at - outageEnd, checks
				default:
					checks++
					r.ranAt = now
				}
			}
			if now.Sub(r.beaconAt) >= beaconInterval && !f.beaconsLost {
				r.beaconAt = now
				for j, other := range readers {
					if j == i {
						continue
					}
					other.heardAt[i] = now
					if !r.ranAt.IsZero() {
						other.recordPeerRun(r.ranAt)
					}
				}
			}
		}
	}
	return time.Minute, checks
}

// TestNobodyChecksAfterAnOutage guards against an outage that ends without any VM asking the store for what it hid.
func TestNobodyChecksAfterAnOutage(t *testing.T) {
	none := func(int) bool { return false }
	first := func(n int) func(int) bool { return func(vm int) bool { return vm < n } }
	scenarios := []struct {
		name   string
		faults outageFaults
	}{
		{"no other faults", outageFaults{cutOff: none, dead: none}},
		{"the first VM never reaches the store", outageFaults{cutOff: first(1), dead: none}},
		{"three VMs never reach the store", outageFaults{cutOff: first(3), dead: none}},
		{"the first VM dies", outageFaults{cutOff: none, dead: first(1)}},
		{"all but one VM die", outageFaults{cutOff: none, dead: first(6)}},
		{"no beacons arrive", outageFaults{cutOff: none, dead: none, beaconsLost: true}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for shift := time.Duration(0); shift < 3*time.Second; shift += 70 * time.Millisecond {
				delay, _ := simulateChecks(10*time.Second, 12*time.Second+shift, s.faults)
				assert.LessOrEqual(t, delay, maxCheckDelay, "outage of %v", 2*time.Second+shift)
			}
		})
	}
	t.Run("one VM checks for all", func(t *testing.T) {
		const calm = 30 * time.Second
		_, checks := simulateChecks(calm, calm+time.Second, outageFaults{cutOff: none, dead: none})
		assert.LessOrEqual(t, checks, int(calm/declarationsCheckInterval)+7, "no more than one VM checks, but for the first moment")
	})
}

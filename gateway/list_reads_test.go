package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// reader is one VM of a simulated system that reads the list of replicas.
type reader struct {
	listReads
	// heardAt is when the others were heard last, and heardRead when they had read.
	heardAt, heardRead map[int]time.Time
}

// place returns how many VMs that are heard rank before this one, and when one of those heard has read last.
func (r *reader) place(self int, now time.Time) (rank int, peersRead time.Time) {
	for other, heardAt := range r.heardAt {
		if now.Sub(heardAt) > silentAfter {
			continue
		}
		if other < self {
			rank++
		}
		peersRead = later(peersRead, r.heardRead[other])
	}
	return rank, peersRead
}

const (
	readStep = 10 * time.Millisecond
	// leavingBound is how late a change of the list may be known.
	leavingBound = 2 * time.Second
)

// troubles say which VMs cannot reach the store, and between which two beacons are lost.
type troubles struct {
	blind func(vm int, at time.Duration) bool
	apart func(a, b int, at time.Duration) bool
}

// playReads plays seven VMs for a time, of which each twentieth beacon is lost. change is the offset of the last change of
// the list. It returns how often they read, and how late a VM that reaches the store knew of a change.
func playReads(length time.Duration, change func(time.Duration) uint64, t troubles) (reads int, latest time.Duration) {
	const vms = 7
	random := rand.New(rand.NewPCG(1, 2))
	var readers [vms]*reader
	var beaconAt, blindAt [vms]time.Duration
	for i := range readers {
		readers[i] = &reader{heardAt: map[int]time.Time{}, heardRead: map[int]time.Time{}}
	}
	changedAt := time.Duration(0)
	for at := readStep; at < length; at += readStep {
		now := start.Add(at)
		offset := change(at)
		if offset != change(at-readStep) {
			changedAt = at
		}
		for i, r := range readers {
			dirty := false
			rank, peersRead := r.place(i, now)
			if t.blind(i, at) {
				blindAt[i] = at
			} else if r.dueIn(now, rank, peersRead) <= 0 {
				reads++
				dirty = offset > r.changed
				r.changed = offset
				r.answered(now, offset)
			}
			if dirty || at-beaconAt[i] >= beaconPeriod {
				beaconAt[i] = at
				for j, other := range readers {
					if j != i && !t.apart(i, j, at) && random.Float64() > 0.05 {
						other.heardAt[i], other.heardRead[i] = now, r.readAt
						other.heard(r.changed)
					}
				}
			}
			if r.next < offset && blindAt[i] < changedAt {
				latest = max(latest, at-changedAt)
			}
		}
	}
	return reads, latest
}

func never(int, time.Duration) bool        { return false }
func nowhere(int, int, time.Duration) bool { return false }

// nowAndThen is a list that changes at times that fall on no particular moment between two readings.
func nowAndThen(at time.Duration) uint64 { return uint64(at / (3170 * time.Millisecond)) }

func TestOneVMReadsTheListForAll(t *testing.T) {
	const length = 60 * time.Second
	t.Run("on a calm day", func(t *testing.T) {
		reads, _ := playReads(length, func(time.Duration) uint64 { return 1 }, troubles{never, nowhere})
		each := int(length / listPace)
		assert.Less(t, reads, 3*each, "less than three of the seven would read by themselves")
	})
	after := func(at time.Duration) bool { return at > 10*time.Second }
	scenarios := []struct {
		name string
		troubles
	}{
		{"all reach the store", troubles{never, nowhere}},
		{"the first does not", troubles{func(vm int, _ time.Duration) bool { return vm == 0 }, nowhere}},
		{"the first three lose it", troubles{func(vm int, at time.Duration) bool { return vm < 3 && after(at) }, nowhere}},
		{"VMs do not hear each other", troubles{never, func(_, _ int, at time.Duration) bool { return after(at) }}},
		{"the first is cut off from the others", troubles{never, func(a, b int, at time.Duration) bool { return after(at) && (a == 0) != (b == 0) }}},
		{"the last is cut off from the others", troubles{never, func(a, b int, at time.Duration) bool { return after(at) && (a == 6) != (b == 6) }}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, latest := playReads(length, nowAndThen, s.troubles)
			assert.Less(t, latest, leavingBound)
			t.Logf("known after %v at the latest", latest)
		})
	}
}

package roster

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var epoch = time.Unix(1_800_000_000, 0)

func after(offset time.Duration) time.Time { return epoch.Add(offset) }

// newThreeVMRoster returns a roster of vm-0 with heartbeats of vm-1 and vm-2 at the epoch.
func newThreeVMRoster() *Roster {
	r := New("vm-0", "i0", WithFreshness(2*time.Second), WithDeadAfter(1500*time.Millisecond), WithSuspectAfter(600*time.Millisecond))
	r.SetMembers([]Member{{VM: "vm-0"}, {VM: "vm-1"}, {VM: "vm-2"}})
	r.SetSelf(true, false)
	for _, vm := range []string{"vm-1", "vm-2"} {
		r.RecordHeartbeat(Heartbeat{VM: vm, Incarnation: "i1", NextOffset: 10, Ready: true}, epoch)
	}
	return r
}

func assertFresh(t *testing.T, r *Roster, now time.Time, next uint64, want bool) {
	t.Helper()
	assert.Equal(t, want, now.Before(r.FreshUntil(now, next)))
}

func TestFreshness(t *testing.T) {
	t.Run("fresh by its own read of the log", func(t *testing.T) {
		r := newThreeVMRoster()
		r.RecordLogRead(after(time.Hour))
		assertFresh(t, r, after(time.Hour+time.Second), 10, true)
		assertFresh(t, r, after(time.Hour+2*time.Second), 10, false)
	})
	t.Run("fresh if no peer is ahead", func(t *testing.T) {
		assertFresh(t, newThreeVMRoster(), after(time.Second), 10, true)
		assertFresh(t, newThreeVMRoster(), after(2*time.Second), 10, false)
	})
	t.Run("stale if a peer is ahead", func(t *testing.T) {
		assertFresh(t, newThreeVMRoster(), after(time.Second), 9, false)
	})
	t.Run("stale if a peer is silent", func(t *testing.T) {
		r := newThreeVMRoster()
		r.RecordHeartbeat(Heartbeat{VM: "vm-1", Incarnation: "i1", NextOffset: 10}, after(5*time.Second))
		assertFresh(t, r, after(5*time.Second), 10, false)
	})
	t.Run("fresh if a silent peer's address refuses connections", func(t *testing.T) {
		r := newThreeVMRoster()
		r.RecordHeartbeat(Heartbeat{VM: "vm-1", Incarnation: "i1", NextOffset: 10}, after(5*time.Second))
		r.RecordConnectionRefused("vm-2", after(5*time.Second))
		assertFresh(t, r, after(5*time.Second), 10, true)
	})
	t.Run("stale if a VM that is not listed yet is ahead", func(t *testing.T) {
		r := newThreeVMRoster()
		r.RecordHeartbeat(Heartbeat{VM: "vm-9", Incarnation: "i1", NextOffset: 11}, epoch)
		assertFresh(t, r, after(time.Second), 10, false)
	})
	t.Run("stale before the list is read", func(t *testing.T) {
		assertFresh(t, New("vm-0", "i0"), epoch, 10, false)
	})
}

func TestLiveness(t *testing.T) {
	scenarios := []struct {
		name        string
		change      func(r *Roster)
		incarnation string
		at          time.Duration
		dead        bool
	}{
		{name: "recent heartbeat", incarnation: "i1", at: time.Second},
		{name: "no recent heartbeat", incarnation: "i1", at: 1500 * time.Millisecond, dead: true},
		{name: "heartbeat of another incarnation", incarnation: "i0", dead: true},
		{name: "connection refused", incarnation: "i1", change: func(r *Roster) { r.RecordConnectionRefused("vm-1", after(time.Millisecond)) }, at: time.Millisecond, dead: true},
		{name: "not on the list", incarnation: "i1", change: func(r *Roster) { r.SetMembers([]Member{{VM: "vm-0"}}) }, dead: true},
		{name: "older heartbeat arrives late", incarnation: "i1", change: func(r *Roster) { r.RecordHeartbeat(Heartbeat{VM: "vm-1", Incarnation: "i0"}, after(-time.Second)) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			r := newThreeVMRoster()
			if s.change != nil {
				s.change(r)
			}
			assert.Equal(t, s.dead, r.IsDead("vm-1", s.incarnation, after(s.at)))
		})
	}
}

func TestPreferredVM(t *testing.T) {
	jobsPerVM := func(r *Roster, now time.Time) map[string]int {
		counts := map[string]int{}
		for n := range 300 {
			counts[r.PreferredVM(fmt.Sprint("job-", n), now)]++
		}
		return counts
	}
	t.Run("jobs are distributed over the VMs", func(t *testing.T) {
		for vm, n := range jobsPerVM(newThreeVMRoster(), epoch) {
			assert.Greater(t, n, 60, vm)
		}
	})
	t.Run("a suspect VM is not chosen", func(t *testing.T) {
		r := newThreeVMRoster()
		r.SetFrequentPeers(map[string]bool{"vm-2": true})
		r.RecordHeartbeat(Heartbeat{VM: "vm-1", Incarnation: "i1", Ready: true}, after(time.Second))
		assert.NotContains(t, jobsPerVM(r, after(time.Second)), "vm-2")
	})
	t.Run("a short silence of a VM that sends no frequent heartbeats is ignored", func(t *testing.T) {
		assert.Contains(t, jobsPerVM(newThreeVMRoster(), after(time.Second)), "vm-2")
	})
	t.Run("a draining VM is not chosen", func(t *testing.T) {
		r := newThreeVMRoster()
		r.SetSelf(true, true)
		assert.NotContains(t, jobsPerVM(r, epoch), "vm-0")
	})
}

package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const limitedReplica = "i-1"

// limitedVMs is a fleet of VMs that send requests to a replica with a limit.
type limitedVMs struct {
	vms map[string]*ReplicaLimits
	// sentAt holds the times of all requests to the replica.
	sentAt []time.Time
}

func vmName(n int) string { return fmt.Sprint("vm-", n) }

func newLimitedVMs(count int) *limitedVMs {
	f := &limitedVMs{vms: map[string]*ReplicaLimits{}}
	for n := range count {
		f.vms[vmName(n)] = NewReplicaLimits(vmName(n))
	}
	f.setMembers(startTime)
	return f
}

// setMembers tells each VM of all others.
func (f *limitedVMs) setMembers(now time.Time) {
	for self, vm := range f.vms {
		var peers []string
		for n := range 1000 {
			if name := vmName(n); name != self && f.vms[name] != nil {
				peers = append(peers, name)
			}
		}
		vm.SetPeers(now, peers)
	}
}

// share delivers the reports of a VM to all others.
func (f *limitedVMs) share(now time.Time, name string) {
	reports := f.vms[name].Reports(now)
	for other, vm := range f.vms {
		if other != name {
			vm.SetPeerReports(now, name, reports)
		}
	}
}

// send sends a request from a VM if it may, and observes the limit that the answer names.
func (f *limitedVMs) send(now time.Time, name string, limit float64) {
	vm := f.vms[name]
	if !vm.Allows(now, limitedReplica) {
		return
	}
	vm.Spend(now, limitedReplica)
	f.sentAt = append(f.sentAt, now)
	vm.Observe(now.Add(10*time.Millisecond), limitedReplica, limit, now)
}

// most returns the largest number of requests within 4 s, from a time on.
func (f *limitedVMs) most(from time.Time) int {
	most, first := 0, 0
	for last, at := range f.sentAt {
		for f.sentAt[first].Before(from) || at.Sub(f.sentAt[first]) > 4*time.Second {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

func TestReplicaGetsItsLimitFromAllVMs(t *testing.T) {
	scenarios := []struct {
		name  string
		vms   int
		limit float64
		// rate is the number of requests per second that want the replica, and skew the part of them at one VM.
		rate, skew float64
		// changes is whether VMs start and end meanwhile.
		changes bool
	}{
		{"few VMs", 7, 2.2, 50, 0, false},
		{"one VM", 1, 3, 50, 0, false},
		{"a large fleet", 95, 2.2, 250, 0, false},
		{"a high limit", 7, 20, 200, 0, false},
		{"a limit below one a second", 7, 0.3, 50, 0, false},
		{"most requests at one VM", 7, 2.2, 50, 0.8, false},
		{"VMs that start and end", 20, 4, 100, 0, true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			f := newLimitedVMs(scenario.vms)
			random := rand.New(rand.NewPCG(1, 2))
			const step = 5 * time.Millisecond
			for now := startTime; now.Before(startTime.Add(time.Minute)); now = now.Add(step) {
				name := vmName(random.IntN(scenario.vms))
				if random.Float64() < scenario.skew {
					name = vmName(0)
				}
				if f.vms[name] != nil && random.Float64() < scenario.rate*step.Seconds() {
					f.send(now, name, scenario.limit)
				}
				if reporter := vmName(random.IntN(scenario.vms)); f.vms[reporter] != nil {
					f.share(now, reporter)
				}
				if scenario.changes && random.Float64() < step.Seconds()/5 {
					changed := vmName(random.IntN(scenario.vms))
					if f.vms[changed] == nil {
						f.vms[changed] = NewReplicaLimits(changed)
					} else if len(f.vms) > 1 {
						delete(f.vms, changed)
					}
					f.setMembers(now)
				}
			}
			allowed := 1.5*scenario.limit*4 + 5
			most, total := f.most(startTime.Add(3*time.Second)), len(f.sentAt)
			t.Logf("%d requests in 4 s, %.1f are allowed; %d in a minute, %.0f would be the limit", most, allowed, total, 60*scenario.limit)
			assert.LessOrEqual(t, float64(most), allowed)
			if scenario.skew == 0 {
				assert.Greater(t, float64(total), 0.7*60*scenario.limit, "most of the limit is used")
			}
		})
	}
}

func TestReplicaLimitsEnd(t *testing.T) {
	limited := func() *ReplicaLimits {
		l := NewReplicaLimits("vm-0")
		l.Observe(startTime, limitedReplica, 2, startTime)
		return l
	}
	t.Run("after two answers that name none", func(t *testing.T) {
		l := limited()
		l.Observe(startTime.Add(2*time.Second), limitedReplica, 0, startTime.Add(time.Second))
		assert.Equal(t, 2.0, l.Limit(startTime.Add(2*time.Second), limitedReplica))
		l.Observe(startTime.Add(3*time.Second), limitedReplica, 0, startTime.Add(2*time.Second))
		assert.Zero(t, l.Limit(startTime.Add(3*time.Second), limitedReplica))
		assert.True(t, l.Allows(startTime.Add(3*time.Second), limitedReplica))
	})
	t.Run("not by answers to requests from before the limit", func(t *testing.T) {
		l := limited()
		for n := range 10 {
			l.Observe(startTime.Add(time.Duration(n)*time.Millisecond), limitedReplica, 0, startTime.Add(-time.Second))
		}
		assert.Equal(t, 2.0, l.Limit(startTime.Add(time.Second), limitedReplica))
	})
	t.Run("after a time without answers", func(t *testing.T) {
		l := limited()
		l.Expire(startTime.Add(limitExpiry))
		assert.False(t, l.Any())
		assert.True(t, l.Allows(startTime.Add(limitExpiry), limitedReplica))
	})
	t.Run("at all VMs when one hears of it", func(t *testing.T) {
		l := NewReplicaLimits("vm-1")
		l.SetPeerReports(startTime, "vm-0", map[string]LimitReport{limitedReplica: {Limit: 2}})
		assert.Equal(t, 2.0, l.Limit(startTime, limitedReplica))
		l.SetPeerReports(startTime.Add(time.Second), "vm-2", map[string]LimitReport{limitedReplica: {Age: 100 * time.Millisecond}})
		assert.Zero(t, l.Limit(startTime.Add(time.Second), limitedReplica))
	})
}

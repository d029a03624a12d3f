package gateway

import "time"

const (
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 5.0
	defaultRetryWindow = 10 * time.Second
	// ratioShare is the part of the budget's share of requests that is used. The rest covers requests that are counted in
	// the window beside theirs.
	ratioShare = 0.8
	// savedShare is the part of the slack that may be saved up, startShare the part that a process has at its start, and
	// inflowShare the part that flows in over a window. They add up to the slack, which holds though all VMs use up what
	// they have, are restarted, and do so again.
	savedShare  = 0.75
	startShare  = 0.15
	inflowShare = 0.1
)

// retryBudget bounds how many requests this VM sends to a pool more than once. All VMs share a budget; each uses
// the share of its own requests, and an even part of the slack.
type retryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	vms    int
	pools  map[string]*poolBudget
}

type poolBudget struct {
	// level is the number of repeats that may be sent now.
	level float64
	last  time.Time
}

func newRetryBudget(ratio, slack float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, slack: slack, window: window, vms: 1, pools: map[string]*poolBudget{}}
}

// setVMs says among how many VMs the slack is divided.
func (b *retryBudget) setVMs(n int) { b.vms = max(1, n) }

// capacity is how many repeats may be saved up for one window.
func (b *retryBudget) capacity() float64 { return savedShare * b.slack / float64(b.vms) }

func (b *retryBudget) pool(now time.Time, name string) *poolBudget {
	p := b.pools[name]
	if p == nil {
		p = &poolBudget{level: startShare * b.slack / float64(b.vms), last: now}
		b.pools[name] = p
	}
	inflow := inflowShare * b.slack / float64(b.vms) / b.window.Seconds()
	p.level = min(p.level+inflow*now.Sub(p.last).Seconds(), b.capacity())
	p.last = now
	return p
}

// request counts a request that was admitted.
func (b *retryBudget) request(now time.Time, pool string) {
	p := b.pool(now, pool)
	p.level = min(p.level+ratioShare*b.ratio, b.capacity())
}

// take takes some repeats, or returns false if not as many are left.
func (b *retryBudget) take(now time.Time, pool string, arrivals int) bool {
	p := b.pool(now, pool)
	if p.level < float64(arrivals) {
		return false
	}
	p.level -= float64(arrivals)
	return true
}

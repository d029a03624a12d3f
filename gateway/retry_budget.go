package gateway

import "time"

const (
	defaultRetryRatio  = 0.2
	defaultRetrySlack  = 5.0
	defaultRetryWindow = 10 * time.Second
	// ratioUtilization is the fraction of the ratio that is used. The rest covers requests that are counted in an adjacent
	// window.
	ratioUtilization = 0.8
	// capacityShare is the fraction of the slack that may accumulate, initialShare the fraction that is available when the
	// process starts, and refillShare the fraction that is refilled over one window. They add up to 1, so that the slack
	// is not exceeded even if all VMs use up their budgets, are restarted, and use them up again.
	capacityShare = 0.75
	initialShare  = 0.15
	refillShare   = 0.1
	// unknownFleetCapacity is the number of retries that may accumulate while the number of VMs is not known. They come
	// from the ratio alone: an unknown part of the slack is none.
	unknownFleetCapacity = 1
)

// retryBudget limits how many retries this VM sends to each pool. It is this VM's part of a budget for all VMs: the
// ratio of its own requests, and an equal part of the slack once the number of VMs is known.
type retryBudget struct {
	ratio  float64
	slack  float64
	window time.Duration
	// vmCount is the number of VMs that share the slack, or 0 as long as it is not known.
	vmCount int
	pools   map[string]*poolBudget
}

type poolBudget struct {
	// available is the number of retries that may be sent at refilledAt.
	available  float64
	refilledAt time.Time
}

func newRetryBudget(ratio, slack float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, slack: slack, window: window, pools: map[string]*poolBudget{}}
}

// setVMCount sets the number of VMs among which the slack is divided.
func (b *retryBudget) setVMCount(n int) {
	first := b.vmCount == 0
	b.vmCount = max(1, n)
	if !first {
		return
	}
	for _, p := range b.pools {
		p.available += initialShare * b.ownSlack()
	}
}

// ownSlack returns this VM's part of the slack.
func (b *retryBudget) ownSlack() float64 {
	if b.vmCount == 0 {
		return 0
	}
	return b.slack / float64(b.vmCount)
}

// capacity returns the maximum number of retries that may accumulate for a pool.
func (b *retryBudget) capacity() float64 {
	if b.vmCount == 0 {
		return unknownFleetCapacity
	}
	return capacityShare * b.ownSlack()
}

func (b *retryBudget) refill(now time.Time, name string) *poolBudget {
	p := b.pools[name]
	if p == nil {
		p = &poolBudget{available: initialShare * b.ownSlack(), refilledAt: now}
		b.pools[name] = p
	}
	refillRate := refillShare * b.ownSlack() / b.window.Seconds()
	p.available = min(p.available+refillRate*now.Sub(p.refilledAt).Seconds(), b.capacity())
	p.refilledAt = now
	return p
}

// recordRequest adds the retries that one admitted request allows to the budget of its pool.
func (b *retryBudget) recordRequest(now time.Time, pool string) {
	p := b.refill(now, pool)
	p.available = min(p.available+ratioUtilization*b.ratio, b.capacity())
}

// take charges a number of retries to the budget of a pool. It returns false and charges nothing if fewer are
// available.
func (b *retryBudget) take(now time.Time, pool string, requests int) bool {
	p := b.refill(now, pool)
	if p.available < float64(requests) {
		return false
	}
	p.available -= float64(requests)
	return true
}

package quota

import "time"

// Defaults of a retry budget: the ratio of retries to requests, the number of further retries in each window, and the window.
const (
	DefaultRetryRatio  = 0.2
	DefaultRetrySlack  = 5.0
	DefaultRetryWindow = 10 * time.Second
)

const (
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

// RetryBudget limits how many retries this VM sends to each pool. It is this VM's part of a budget for all VMs: the
// ratio of its own requests, and an equal part of the slack once the number of VMs is known. It is not safe for concurrent use.
type RetryBudget struct {
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

// NewRetryBudget returns the budget of a VM that does not know the number of VMs yet. window is the period of the slack.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, pools: map[string]*poolBudget{}}
}

// SetVMCount sets the number of VMs among which the slack is divided.
func (b *RetryBudget) SetVMCount(n int) {
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
func (b *RetryBudget) ownSlack() float64 {
	if b.vmCount == 0 {
		return 0
	}
	return b.slack / float64(b.vmCount)
}

// capacity returns the maximum number of retries that may accumulate for a pool.
func (b *RetryBudget) capacity() float64 {
	if b.vmCount == 0 {
		return unknownFleetCapacity
	}
	return capacityShare * b.ownSlack()
}

func (b *RetryBudget) refill(now time.Time, name string) *poolBudget {
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

// RecordRequest adds the retries that one admitted request allows to the budget of its pool.
func (b *RetryBudget) RecordRequest(now time.Time, pool string) {
	p := b.refill(now, pool)
	p.available = min(p.available+ratioUtilization*b.ratio, b.capacity())
}

// Take charges a number of retries to the budget of a pool. It returns false and charges nothing if fewer are
// available.
func (b *RetryBudget) Take(now time.Time, pool string, requests int) bool {
	p := b.refill(now, pool)
	if p.available < float64(requests) {
		return false
	}
	p.available -= float64(requests)
	return true
}

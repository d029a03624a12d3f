package placement

import (
	"time"
)

const (
	// initialResidence is the assumed residence time before any request has ended.
	initialResidence = 4 * time.Second
	// residenceSampleWeight is the weight of the newest sample in the moving average of the residence time.
	residenceSampleWeight = 0.1
)

// waitEstimator estimates how long requests wait for memory in one engine pool.
type waitEstimator struct {
	// residence is the moving average of the time for which a request holds memory.
	residence time.Duration
	// peerTokens is the memory required by requests queued at other VMs, in tokens, by VM.
	peerTokens map[string]int
}

func newWaitEstimator() *waitEstimator {
	return &waitEstimator{residence: initialResidence, peerTokens: map[string]int{}}
}

// recordEnd updates the residence time from a request that ends. Requests that hold no decode memory are
// ignored.
func (e *waitEstimator) recordEnd(now time.Time, req *Request) {
	if e == nil || req.startedAt.IsZero() || req.decodeID == "" {
		return
	}
	e.residence += time.Duration(residenceSampleWeight * float64(now.Sub(req.startedAt)-e.residence))
}

// estimate returns the expected wait until tokens of memory have been released for this VM, in a pool with the
// given total capacity in tokens. tokens includes the request's own requirement. Requests queued at other VMs
// are assumed to be served first.
func (e *waitEstimator) estimate(tokens, capacity int) time.Duration {
	if e == nil || capacity <= 0 {
		return 0
	}
	for _, waiting := range e.peerTokens {
		tokens += waiting
	}
	return time.Duration(float64(tokens) / float64(capacity) * float64(e.residence))
}

// poolCapacity returns the total usable memory of the given decode engines, in tokens.
func (s *Scheduler) poolCapacity(decodes []*replica) int {
	total := 0
	for _, d := range decodes {
		total += int(usableMemoryFraction * float64(s.engineSpecs[d.Pool].MemoryTokens))
	}
	return total
}

// QueuedTokens returns the memory required by the queued requests of this VM, in tokens, by pool.
func (s *Scheduler) QueuedTokens() map[string]int {
	waiting := map[string]int{}
	for _, req := range s.waiting {
		waiting[req.Pool] += s.requiredTokens(req)
	}
	return waiting
}

// SetPeerQueuedTokens replaces the memory required by the queued requests of another VM, in tokens, by pool.
func (s *Scheduler) SetPeerQueuedTokens(vm string, waiting map[string]int) {
	for pool, e := range s.waitEstimators {
		if tokens := waiting[pool]; tokens > 0 {
			e.peerTokens[vm] = tokens
		} else {
			delete(e.peerTokens, vm)
		}
	}
}

package placement

import (
	"time"
)

const (
	// initialResidence is how long a request is assumed to hold an engine's memory until that is learned.
	initialResidence = 4 * time.Second
	// residenceGain weighs the newest request.
	residenceGain = 0.1
)

// queue predicts how long requests for one pool of engines wait for memory.
type queue struct {
	// residence is the learned time for which a request holds memory.
	residence time.Duration
	// peers is the memory that the requests need which wait at other VMs, in tokens, by VM.
	peers map[string]int
}

func newQueue() *queue { return &queue{residence: initialResidence, peers: map[string]int{}} }

// ended learns from a request that held memory.
func (q *queue) ended(now time.Time, job *Request) {
	if q == nil || job.startedAt.IsZero() || job.decode == "" {
		return
	}
	q.residence += time.Duration(residenceGain * float64(now.Sub(job.startedAt)-q.residence))
}

// wait predicts how long it takes until some memory has come free for a request of this VM, in tokens, with its own need
// counted, when all engines of the pool together hold memory tokens. Requests that wait at other VMs get their parts first.
func (q *queue) wait(tokens, memory int) time.Duration {
	if q == nil || memory <= 0 {
		return 0
	}
	for _, waiting := range q.peers {
		tokens += waiting
	}
	return time.Duration(float64(tokens) / float64(memory) * float64(q.residence))
}

// poolMemory returns how much memory some decode engines have to give out together, in tokens.
func (b *Board) poolMemory(decodes []*replica) int {
	total := 0
	for _, d := range decodes {
		total += int(memoryShare * float64(b.engines[d.Pool].MemoryTokens))
	}
	return total
}

// WaitingMemory returns the memory that the requests of this VM need which wait, in tokens, by pool.
func (b *Board) WaitingMemory() map[string]int {
	waiting := map[string]int{}
	for _, job := range b.waiting {
		waiting[job.Pool] += b.need(job)
	}
	return waiting
}

// SetPeerWaiting replaces the memory that the requests of a peer need which wait, in tokens, by pool.
func (b *Board) SetPeerWaiting(vm string, waiting map[string]int) {
	for pool, q := range b.queues {
		if tokens := waiting[pool]; tokens > 0 {
			q.peers[vm] = tokens
		} else {
			delete(q.peers, vm)
		}
	}
}

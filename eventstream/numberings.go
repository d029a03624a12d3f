package eventstream

import "sync"

const (
	// maxSkippingShare is the share of successive events that may leave out numbers in a pool whose numbers count the events: single
	// replicas may be faulty.
	maxSkippingShare = 0.05
	// maxSteps bounds the pairs of events that are remembered of a pool, so that newer ones count for more.
	maxSteps = 10_000
)

// Numberings remembers by pool whether the IDs of events count them. The zero value knows of no pool. It is safe for
// concurrent use.
type Numberings struct {
	mu    sync.Mutex
	steps map[string]Steps
}

// Add adds what a stream of a pool has shown.
func (n *Numberings) Add(pool string, steps Steps) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.steps == nil {
		n.steps = map[string]Steps{}
	}
	known := n.steps[pool]
	if known.All > maxSteps {
		known.All /= 2
		known.Skipping /= 2
	}
	n.steps[pool] = Steps{All: known.All + steps.All, Skipping: known.Skipping + steps.Skipping}
}

// Counting reports whether the IDs of a pool's events count them, as far as is known.
func (n *Numberings) Counting(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	steps := n.steps[pool]
	return float64(steps.Skipping) <= maxSkippingShare*float64(steps.All)
}

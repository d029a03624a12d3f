package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Poll returns the decisions that can be made now.
func (d *Dispatcher) Poll(now time.Time) []Decision {
	decisions := d.refuseExpired(now)
	decisions = append(decisions, d.assignPlaces(now)...)
	for {
		decision, ok := d.grantPrefill(now)
		if !ok {
			return decisions
		}
		decisions = append(decisions, decision)
	}
}

func (d *Dispatcher) refuseExpired(now time.Time) []Decision {
	var decisions []Decision
	for _, q := range d.queues {
		for _, j := range q.expired(now) {
			d.drop(now, j)
			decisions = append(decisions, Decision{ID: j.ID, VM: j.VM, Kind: DecideRefuse})
		}
	}
	slices.SortFunc(decisions, func(a, b Decision) int { return cmp.Compare(a.ID, b.ID) })
	return decisions
}

// grantPrefill starts the next prefill if its result will find a place before it is evicted.
func (d *Dispatcher) grantPrefill(now time.Time) (Decision, bool) {
	queues := d.waitingAccounts()
	timely := d.pickTimely(now, queues)
	if decision, ok := d.start(now, timely, reachFast); ok {
		return decision, true
	}
	if timely == nil {
		return d.start(now, pickLate(queues), reachAll)
	}
	if d.anySlow() {
		return d.start(now, pickLate(queues), reachSlow)
	}
	return Decision{}, false
}

// start grants the prefill of a request if a prefill engine and a place can be foreseen for it.
func (d *Dispatcher) start(now time.Time, j *job, within reach) (Decision, bool) {
	if j == nil {
		return Decision{}, false
	}
	p, due := d.bestPrefill(now, j)
	if p == nil || p.backlog(now).Sub(now) > prefillPipeline {
		return Decision{}, false
	}
	places := d.freePlaces(now, within)
	if wait := d.placeWait(); d.dueBy(j, due.Add(wait)) {
		places += d.expectedPlaces(now, due.Add(wait).Sub(now), within)
	}
	if places < 1 {
		return Decision{}, false
	}
	q := d.queues[j.Account]
	q.remove(j)
	d.countQueued(j, -1)
	d.virtual = math.Max(d.virtual, q.served)
	q.served += j.cost() / j.Weight
	j.stage, j.prefill, j.grantedAt, j.reach = StagePrefill, p.Name, now, within
	p.start(now, j)
	return Decision{ID: j.ID, VM: j.VM, Kind: DecidePrefill, Engine: p.Name, Addr: p.Addr}, true
}

// pickTimely returns the least served account's first request that can still be in time, an urgent one
// of any account before others.
func (d *Dispatcher) pickTimely(now time.Time, queues []*accountQueue) *job {
	inTime := func(j *job) bool { return d.inTime(now, j) }
	var timely *job
	for _, q := range queues {
		first := q.nextTimely(inTime)
		if first == nil || timely != nil && !first.Urgent {
			continue
		}
		timely = first
		if timely.Urgent || d.urgent == 0 {
			return timely
		}
	}
	return timely
}

// pickLate returns the least served account's first late request.
func pickLate(queues []*accountQueue) *job {
	for _, q := range queues {
		if len(q.late) > 0 {
			return q.late[0]
		}
	}
	return nil
}

// waitingAccounts returns the queues with waiting requests, the least served first.
func (d *Dispatcher) waitingAccounts() []*accountQueue {
	var queues []*accountQueue
	for _, q := range d.queues {
		if !q.empty() {
			queues = append(queues, q)
		}
	}
	slices.SortFunc(queues, func(a, b *accountQueue) int {
		return cmp.Or(cmp.Compare(a.served, b.served), cmp.Compare(a.name, b.name))
	})
	return queues
}

func (d *Dispatcher) inTime(now time.Time, j *job) bool {
	_, due := d.bestPrefill(now, j)
	return d.dueBy(j, due)
}

// dueBy reports whether a request that gets its place at a time can be expected to be in time.
func (d *Dispatcher) dueBy(j *job, placed time.Time) bool {
	return !placed.Add(d.lane.transfer(j.PromptTokens) + timelyMargin).After(j.FirstTokenBy)
}

// bestPrefill returns the engine that is expected to finish first, and when.
func (d *Dispatcher) bestPrefill(now time.Time, j *job) (*prefillEngine, time.Time) {
	var best *prefillEngine
	var bestDue time.Time
	for _, p := range d.prefills {
		if !p.usable(now) || slices.Contains(j.Avoid, p.Name) {
			continue
		}
		due := p.backlog(now).Add(p.seconds(p.work(j.Request)))
		if best == nil || due.Before(bestDue) || due.Equal(bestDue) && p.Name < best.Name {
			best, bestDue = p, due
		}
	}
	if best == nil {
		return nil, now
	}
	return best, bestDue
}

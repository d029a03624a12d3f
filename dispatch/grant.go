package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Poll refuses expired requests, assigns free decode slots and grants prefills, and returns the resulting
// decisions.
func (d *Dispatcher) Poll(now time.Time) []Decision {
	decisions := d.refuseExpired(now)
	decisions = append(decisions, d.assignDecodeSlots(now)...)
	for {
		decision, ok := d.grantNextPrefill(now)
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

// grantNextPrefill grants one prefill if its result is expected to get a decode slot before it is evicted.
//
// Late requests may use every decode engine only if no queued request can meet its deadline. Otherwise they
// may use only the slow engines, which are not needed by requests that can meet their deadlines.
func (d *Dispatcher) grantNextPrefill(now time.Time) (Decision, bool) {
	queues := d.backloggedQueues()
	timely := d.pickTimely(now, queues)
	if decision, ok := d.tryGrantPrefill(now, timely, classFast); ok {
		return decision, true
	}
	if timely == nil {
		return d.tryGrantPrefill(now, pickLate(queues), classAll)
	}
	if d.hasSlowDecodeEngine() {
		return d.tryGrantPrefill(now, pickLate(queues), classSlow)
	}
	return Decision{}, false
}

// tryGrantPrefill grants the prefill of a request if a prefill engine has little work left and a decode
// slot of the class is unreserved or is expected to become free in time.
func (d *Dispatcher) tryGrantPrefill(now time.Time, j *job, class engineClass) (Decision, bool) {
	if j == nil {
		return Decision{}, false
	}
	p, due := d.bestPrefillEngine(now, j)
	if p == nil || p.idleAt(now).Sub(now) > maxPrefillBacklog {
		return Decision{}, false
	}
	slots := d.unreservedSlots(now, class)
	if wait := d.maxSlotWait(); d.meetsDeadline(j, due.Add(wait)) {
		slots += d.expectedSlots(now, due.Add(wait).Sub(now), class)
	}
	if slots < 1 {
		return Decision{}, false
	}
	q := d.queues[j.Account]
	q.remove(j)
	d.adjustQueued(j, -1)
	d.virtualTime = math.Max(d.virtualTime, q.virtualTime)
	q.virtualTime += j.cost() / j.Weight
	j.stage, j.prefillEngine, j.prefillGrantedAt, j.class = StagePrefill, p.Name, now, class
	p.start(now, j)
	return Decision{ID: j.ID, VM: j.VM, Kind: DecidePrefill, Engine: p.Name, Addr: p.Addr}, true
}

// pickTimely returns the first request that can still meet its deadline, of the least served account that
// has one, or nil. An urgent request of any account takes precedence.
func (d *Dispatcher) pickTimely(now time.Time, queues []*accountQueue) *job {
	canMeetDeadline := func(j *job) bool { return d.canMeetDeadline(now, j) }
	var timely *job
	for _, q := range queues {
		first := q.nextTimely(canMeetDeadline)
		if first == nil || timely != nil && !first.Urgent {
			continue
		}
		timely = first
		if timely.Urgent || d.queuedUrgent == 0 {
			return timely
		}
	}
	return timely
}

// pickLate returns the first late request of the least served account that has one, or nil.
func pickLate(queues []*accountQueue) *job {
	for _, q := range queues {
		if len(q.late) > 0 {
			return q.late[0]
		}
	}
	return nil
}

// backloggedQueues returns the queues that hold requests, the least served account first.
func (d *Dispatcher) backloggedQueues() []*accountQueue {
	var queues []*accountQueue
	for _, q := range d.queues {
		if !q.empty() {
			queues = append(queues, q)
		}
	}
	slices.SortFunc(queues, func(a, b *accountQueue) int {
		return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), cmp.Compare(a.name, b.name))
	})
	return queues
}

func (d *Dispatcher) canMeetDeadline(now time.Time, j *job) bool {
	_, due := d.bestPrefillEngine(now, j)
	return d.meetsDeadline(j, due)
}

// meetsDeadline reports whether a request that gets its decode slot at decodeAt is expected to meet its
// deadline, including the KV cache transfer and deadlineMargin.
func (d *Dispatcher) meetsDeadline(j *job, decodeAt time.Time) bool {
	return !decodeAt.Add(d.lane.transferTime(j.PromptTokens) + deadlineMargin).After(j.FirstTokenDeadline)
}

// bestPrefillEngine returns the usable engine that is expected to finish the prefill first, and when. If
// there is none, it returns nil and now.
func (d *Dispatcher) bestPrefillEngine(now time.Time, j *job) (*prefillEngine, time.Time) {
	var best *prefillEngine
	var bestDue time.Time
	for _, p := range d.prefillEngines {
		if !p.usable(now) || slices.Contains(j.Avoid, p.Name) {
			continue
		}
		due := p.idleAt(now).Add(p.computeTime(p.uncachedTokens(j.Request)))
		if best == nil || due.Before(bestDue) || due.Equal(bestDue) && p.Name < best.Name {
			best, bestDue = p, due
		}
	}
	if best == nil {
		return nil, now
	}
	return best, bestDue
}

package placement

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tieBreak spreads the choices of services by VMs that see the same picture, and choiceSpread those of engines.
	tieBreak     = 0.1
	choiceSpread = 4 * time.Millisecond
	// zoneDetour is what a hop to another availability zone counts in a choice of services.
	zoneDetour = time.Millisecond
	// transferDetour is what a transfer of KV cache between availability zones counts in a choice of engines.
	transferDetour = 40 * time.Millisecond
	// fullDetour is what a full decode engine counts against an empty one: the more requests an engine runs, the
	// slower each gets.
	fullDetour = 120 * time.Millisecond
	// memoryShare is the part of a decode engine's memory that is given out. The rest takes answers that grow longer
	// than foreseen.
	memoryShare = 0.97
	// outputShare is the part of the expected answer that counts as memory of a decode engine. Requests that run out of
	// memory are preempted, and their prompts read again.
	outputShare = 0.8
	// startMargin is the time besides prefill that a request needs to its first event, and some to spare.
	startMargin = 150 * time.Millisecond
	// fullPause is how long an engine that said it is full is not offered more.
	fullPause = 250 * time.Millisecond
	// latePatience is how long past its latency target a request is kept waiting for engines.
	latePatience = 1500 * time.Millisecond
	// returnSpread spreads the return of refused callers, so that they do not come as one wave.
	returnSpread = time.Second
	// shortestReturn is the least time after which a refused caller is asked to return.
	shortestReturn = 500 * time.Millisecond
)

// Request is a request for engines.
type Request struct {
	ID   uint64
	Pool string
	// PromptTokens and OutputTokens are the prompt's length and the answer's expected length.
	PromptTokens int
	OutputTokens int
	// Priority 0 goes first.
	Priority  int
	ArrivedAt time.Time
	// TargetAt is when the first event is due. GiveUpAt is when nobody waits for it any more.
	TargetAt time.Time
	GiveUpAt time.Time
	// Avoid lists replicas that have failed the request.
	Avoid []string

	prefill, decode string
	// startedAt is when engines were chosen, or zero while the request waits.
	startedAt time.Time
	ahead     int
	// late says that the first event cannot be in time any more.
	late bool
}

// memory is the room that a request is given at a decode engine. Answers grow while others end, so that few are at
// their longest at the same time.
func (r *Request) memory() int { return r.PromptTokens + int(outputShare*float64(r.OutputTokens)) }

// DecisionKind says what happens to a request.
type DecisionKind int

// Kinds of decision.
const (
	// Start a request: prefill and decode engines are chosen.
	Start DecisionKind = iota
	// RefuseOverload says that no engine comes free in time.
	RefuseOverload
	// RefuseNoEngine says that the pool has no engine that can take the request.
	RefuseNoEngine
	// RefuseTooLarge says that no engine of the pool is large enough for the prompt.
	RefuseTooLarge
)

// String returns the name of the kind.
func (k DecisionKind) String() string {
	return [...]string{"Start", "RefuseOverload", "RefuseNoEngine", "RefuseTooLarge"}[k]
}

// Decision is what was decided of a request.
type Decision struct {
	ID      uint64
	Kind    DecisionKind
	Prefill Replica
	Decode  Replica
	// RetryAfter is when the caller may return after a refusal.
	RetryAfter time.Duration
	// Wait is how long a refused request would have waited.
	Wait time.Duration
	// Waiting is how many requests were waiting, and Free the tokens free at the chosen decode engine.
	Waiting int
	Free    int
}

// Submit adds a request to those that wait. Poll decides on it.
func (b *Board) Submit(r Request) {
	job := &r
	b.jobs[r.ID] = job
	b.waiting = append(b.waiting, job)
}

// Withdraw forgets a request and frees what it holds.
func (b *Board) Withdraw(now time.Time, id uint64) {
	job := b.jobs[id]
	if job == nil {
		return
	}
	delete(b.jobs, id)
	b.waiting = slices.DeleteFunc(b.waiting, func(other *Request) bool { return other == job })
	b.queues[job.Pool].ended(now, job)
	b.freePrefill(job)
	b.freeDecode(job)
}

func (b *Board) freePrefill(job *Request) {
	if r := b.replicas[job.prefill]; r != nil {
		r.own.add(-1, -job.PromptTokens)
	}
	job.prefill = ""
}

func (b *Board) freeDecode(job *Request) {
	if r := b.replicas[job.decode]; r != nil {
		r.own.add(-1, -job.memory())
	}
	job.decode = ""
}

// Waiting returns how many requests wait.
func (b *Board) Waiting() int { return len(b.waiting) }

// Poll returns the decisions that can be made now. Requests that can still meet their latency target go first, by
// priority and in order of arrival; late ones take what is left.
func (b *Board) Poll(now time.Time) []Decision {
	if len(b.waiting) == 0 {
		return nil
	}
	for _, job := range b.waiting {
		job.late = now.Add(b.timeToStart(now, job)).After(job.TargetAt)
	}
	slices.SortStableFunc(b.waiting, func(x, y *Request) int {
		return cmp.Or(compareBool(x.late, y.late), cmp.Compare(x.Priority, y.Priority), x.ArrivedAt.Compare(y.ArrivedAt))
	})
	var decisions []Decision
	var kept []*Request
	blocked := map[string]bool{}
	ahead := map[string]int{}
	for _, job := range b.waiting {
		decision, decided := b.decide(now, job, blocked[job.Pool], ahead[job.Pool])
		if decided {
			decision.Waiting = len(b.waiting)
			decisions = append(decisions, decision)
			continue
		}
		blocked[job.Pool] = true
		ahead[job.Pool] += b.need(job)
		kept = append(kept, job)
	}
	b.waiting = kept
	return decisions
}

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// timeToStart predicts how long a request takes to its first event if engines are chosen now.
func (b *Board) timeToStart(now time.Time, job *Request) time.Duration {
	soonest := time.Duration(0)
	for _, p := range b.candidates(now, job.Pool, StagePrefill, job.Avoid) {
		if took := prefillTime(p, job.PromptTokens); soonest == 0 || took < soonest {
			soonest = took
		}
	}
	return soonest + startMargin
}

// decide starts or refuses a request, or leaves it waiting behind others that need some memory. Behind a request that
// waits for room nothing else starts, so that large requests are not passed by small ones for ever.
func (b *Board) decide(now time.Time, job *Request, blocked bool, ahead int) (Decision, bool) {
	prefills := b.candidates(now, job.Pool, StagePrefill, job.Avoid)
	decodes := b.candidates(now, job.Pool, StageDecode, job.Avoid)
	if len(prefills) == 0 || len(decodes) == 0 {
		delete(b.jobs, job.ID)
		return Decision{ID: job.ID, Kind: RefuseNoEngine, RetryAfter: b.returnAfter(0)}, true
	}
	if job.PromptTokens > b.engines[job.Pool].MemoryTokens {
		delete(b.jobs, job.ID)
		return Decision{ID: job.ID, Kind: RefuseTooLarge, RetryAfter: b.returnAfter(0)}, true
	}
	if !blocked {
		if p, d := b.pair(now, job, prefills, decodes); p != nil {
			b.start(now, job, p, d)
			return Decision{ID: job.ID, Kind: Start, Prefill: p.Replica, Decode: d.Replica, Free: b.free(d)}, true
		}
	}
	wait := b.queues[job.Pool].wait(ahead+b.need(job), b.poolMemory(decodes))
	if now.Add(wait).After(job.TargetAt.Add(latePatience)) || !now.Before(job.GiveUpAt) {
		delete(b.jobs, job.ID)
		return Decision{ID: job.ID, Kind: RefuseOverload, RetryAfter: b.returnAfter(wait), Wait: wait}, true
	}
	return Decision{}, false
}

func (b *Board) returnAfter(least time.Duration) time.Duration {
	return max(least, shortestReturn) + time.Duration(b.random()*float64(returnSpread))
}

// free returns the tokens of memory that a decode engine can still be given.
func (b *Board) free(d *replica) int {
	return int(memoryShare*float64(b.engines[d.Pool].MemoryTokens)) - d.load().Tokens
}

// need is the room that must be free for a request: an empty engine is enough for any whose prompt it can hold.
func (b *Board) need(job *Request) int {
	return min(job.memory(), int(memoryShare*float64(b.engines[job.Pool].MemoryTokens)))
}

// pair chooses the prefill and the decode engine together: the prefill that ends soonest, a decode engine with much
// room, and both in one availability zone if that costs little.
func (b *Board) pair(now time.Time, job *Request, prefills, decodes []*replica) (bestPrefill, bestDecode *replica) {
	spec := b.engines[job.Pool]
	var bestCost time.Duration
	for _, d := range decodes {
		load := d.load()
		room := b.free(d)
		if room < b.need(job) || load.Requests >= spec.MaxRunning || now.Before(d.fullUntil) {
			continue
		}
		fullness := float64(load.Tokens) / float64(max(1, spec.MemoryTokens))
		decodeCost := time.Duration(fullness*float64(fullDetour) + b.random()*float64(choiceSpread))
		for _, p := range prefills {
			if now.Before(p.fullUntil) {
				continue
			}
			cost := decodeCost + prefillTime(p, job.PromptTokens) + time.Duration(b.random()*float64(choiceSpread))
			if p.Zone != d.Zone {
				cost += transferDetour
			}
			if bestPrefill == nil || cost < bestCost {
				bestPrefill, bestDecode, bestCost = p, d, cost
			}
		}
	}
	return bestPrefill, bestDecode
}

// prefillTime predicts when a prefill engine has read a prompt behind all that is before it.
func prefillTime(p *replica, tokens int) time.Duration {
	return time.Duration(float64(p.load().Tokens+tokens) / p.rate * float64(time.Second))
}

func (b *Board) start(now time.Time, job *Request, p, d *replica) {
	job.prefill, job.decode, job.startedAt = p.ID, d.ID, now
	job.ahead = p.load().Tokens + job.PromptTokens
	p.own.add(1, job.PromptTokens)
	d.own.add(1, job.memory())
}

// Prefilled notes that a prefill has ended, and learns the engine's speed from it if it ended well.
func (b *Board) Prefilled(now time.Time, id uint64, ok bool) {
	job := b.jobs[id]
	if job == nil {
		return
	}
	if p := b.replicas[job.prefill]; p != nil && ok {
		p.succeeded()
		p.learnRate(job.ahead, now.Sub(job.startedAt))
	}
	b.freePrefill(job)
}

// Full notes that an engine had no room for a request.
func (b *Board) Full(now time.Time, id string) {
	if r := b.replicas[id]; r != nil {
		r.fullUntil = now.Add(fullPause)
	}
}

// Replace chooses another decode engine for a request whose prompt has been read, after the one chosen before could
// not take it.
func (b *Board) Replace(now time.Time, id uint64) (Replica, bool) {
	job := b.jobs[id]
	if job == nil {
		return Replica{}, false
	}
	avoid := append(slices.Clone(job.Avoid), job.decode)
	b.freeDecode(job)
	var best *replica
	for _, d := range b.candidates(now, job.Pool, StageDecode, avoid) {
		if d.load().Requests >= b.engines[job.Pool].MaxRunning || now.Before(d.fullUntil) {
			continue
		}
		if best == nil || b.free(d) > b.free(best) {
			best = d
		}
	}
	if best == nil {
		return Replica{}, false
	}
	job.decode = best.ID
	best.own.add(1, job.memory())
	return best.Replica, true
}

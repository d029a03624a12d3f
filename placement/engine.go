package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// serviceJitter and engineJitter randomize the choice of services and engines, so that VMs with the same
	// view of the load do not all pick the same replica. serviceJitter is a fraction of the expected latency.
	serviceJitter = 0.1
	engineJitter  = 4 * time.Millisecond
	// crossZonePenalty is the cost of a hop to another availability zone when a service is chosen.
	crossZonePenalty = time.Millisecond
	// crossZoneTransferPenalty is the cost of a KV cache transfer between availability zones when engines are
	// chosen.
	crossZoneTransferPenalty = 40 * time.Millisecond
	// fullnessPenalty is the extra cost of a full decode engine over an empty one: the more requests an engine
	// runs, the slower each of them decodes.
	fullnessPenalty = 120 * time.Millisecond
	// usableMemoryFraction is the fraction of a decode engine's memory that may be reserved. The rest absorbs
	// answers that grow longer than expected.
	usableMemoryFraction = 0.97
	// reservedOutputFraction is the fraction of the expected output that is reserved at a decode engine. If an
	// engine runs out of memory, it preempts requests and their prompts must be prefilled again.
	reservedOutputFraction = 0.8
	// firstEventMargin is the assumed time from the end of the prefill to the first event, including some
	// reserve.
	firstEventMargin = 150 * time.Millisecond
	// fullBackoff is how long no requests are sent to an engine that reported it is full.
	fullBackoff = 250 * time.Millisecond
	// maxLateWait is how long after its latency target a request may still wait for engines.
	maxLateWait = 1500 * time.Millisecond
	// maxLimitedWait stands for the wait at a VM that has no share of the limits of any engine.
	maxLimitedWait = time.Minute
	// retryJitter randomizes the retry delay, so that refused callers do not all retry at the same moment.
	retryJitter = time.Second
	// minRetryAfter is the minimum retry delay given to a refused caller.
	minRetryAfter = 500 * time.Millisecond
)

// Request is a generation request that needs a prefill and a decode engine.
type Request struct {
	ID   uint64
	Pool string
	// PromptTokens is the length of the prompt. OutputTokens is the expected length of the answer.
	PromptTokens int
	OutputTokens int
	// Priority orders requests; 0 is served first.
	Priority  int
	ArrivedAt time.Time
	// FirstEventDueAt is when the first event is due. ExpiresAt is the time after which the caller no longer waits.
	FirstEventDueAt time.Time
	ExpiresAt       time.Time
	// Avoid holds the IDs of replicas that have already failed the request.
	Avoid []string
	// Regions restricts where the request may be served.
	Regions routing.RegionLimit
	// Versions restricts the software versions of the decode engines that may serve the request.
	Versions VersionLimit

	prefillID, decodeID string
	// startedAt is when engines were chosen. It is zero while the request waits.
	startedAt time.Time
	// prefillBacklog is the number of prompt tokens queued at the prefill engine when the request started,
	// including its own.
	prefillBacklog int
	// late reports that the first event can no longer be sent by FirstEventDueAt.
	late bool
}

// reservedTokens returns the decode memory reserved for the request. It does not cover the whole expected output,
// because some answers end while others grow, so that few have their full length at the same time.
func (r *Request) reservedTokens() int {
	return r.PromptTokens + int(reservedOutputFraction*float64(r.OutputTokens))
}

// prefills returns the criteria for the request's prefill engine.
func (r *Request) prefills() criteria {
	return criteria{pool: r.Pool, stage: StagePrefill, avoid: r.Avoid, regions: r.Regions}
}

// decodes returns the criteria for the request's decode engine.
func (r *Request) decodes(avoid []string) criteria {
	return criteria{pool: r.Pool, stage: StageDecode, avoid: avoid, regions: r.Regions, versions: r.Versions}
}

// DecisionKind is the type of a decision on a request.
type DecisionKind int

// Decision kinds.
const (
	// Start means that a prefill and a decode engine were assigned.
	Start DecisionKind = iota
	// RefuseOverload means that no engine is expected to have capacity in time.
	RefuseOverload
	// RefuseNoEngine means that the pool has no prefill or no decode engine that can take the request.
	RefuseNoEngine
	// RefuseTooLarge means that the prompt exceeds the memory of the pool's engines.
	RefuseTooLarge
)

// String returns the name of the kind.
func (k DecisionKind) String() string {
	return [...]string{"Start", "RefuseOverload", "RefuseNoEngine", "RefuseTooLarge"}[k]
}

// Decision is the outcome for one request: either the assigned engines or a refusal.
type Decision struct {
	ID      uint64
	Kind    DecisionKind
	Prefill Replica
	Decode  Replica
	// RetryAfter is the delay after which the caller of a refused request may retry.
	RetryAfter time.Duration
	// EstimatedWait is the estimated waiting time of a request refused with RefuseOverload.
	EstimatedWait time.Duration
	// QueueLength is the number of requests in the queue before the decisions were made. FreeTokens is the number of
	// unreserved memory tokens at the chosen decode engine.
	QueueLength int
	FreeTokens  int
}

// Submit adds a request to the queue. A later call to Poll decides on it.
func (s *Scheduler) Submit(r Request) {
	req := &r
	s.requests[r.ID] = req
	s.waiting = append(s.waiting, req)
}

// Remove removes a request, whether it is queued or running, and releases its reservations.
func (s *Scheduler) Remove(now time.Time, id uint64) {
	req := s.requests[id]
	if req == nil {
		return
	}
	delete(s.requests, id)
	s.waiting = slices.DeleteFunc(s.waiting, func(other *Request) bool { return other == req })
	s.waitEstimators[req.Pool].recordEnd(now, req)
	s.releasePrefill(req)
	s.releaseDecode(req)
}

func (s *Scheduler) releasePrefill(req *Request) {
	if r := s.replicas[req.prefillID]; r != nil {
		r.ownLoad.add(-1, -req.PromptTokens)
	}
	req.prefillID = ""
}

func (s *Scheduler) releaseDecode(req *Request) {
	if r := s.replicas[req.decodeID]; r != nil {
		r.ownLoad.add(-1, -req.reservedTokens())
	}
	req.decodeID = ""
}

// QueueLength returns the number of queued requests.
func (s *Scheduler) QueueLength() int { return len(s.waiting) }

// Poll makes all decisions that are possible now. Requests that can still meet their latency target come before
// late ones; within each group they are ordered by priority and time of arrival.
func (s *Scheduler) Poll(now time.Time) []Decision {
	if len(s.waiting) == 0 {
		return nil
	}
	for _, req := range s.waiting {
		req.late = now.Add(s.timeToFirstEvent(now, req)).After(req.FirstEventDueAt)
	}
	slices.SortStableFunc(s.waiting, func(x, y *Request) int {
		return cmp.Or(compareBool(x.late, y.late), cmp.Compare(x.Priority, y.Priority), x.ArrivedAt.Compare(y.ArrivedAt))
	})
	var decisions []Decision
	var stillWaiting []*Request
	blocked := map[string]bool{}
	ahead := map[string]backlog{}
	for _, req := range s.waiting {
		decision, decided := s.decide(now, req, blocked[req.Pool], ahead[req.Pool])
		if decided {
			decision.QueueLength = len(s.waiting)
			decisions = append(decisions, decision)
			continue
		}
		blocked[req.Pool] = true
		ahead[req.Pool] = ahead[req.Pool].add(s.requiredTokens(req))
		stillWaiting = append(stillWaiting, req)
	}
	s.waiting = stillWaiting
	return decisions
}

// backlog is the work that is ahead of a request in the queue of its pool.
type backlog struct {
	requests int
	// tokens is the memory that the requests require.
	tokens int
}

// add returns the backlog with a further request.
func (b backlog) add(tokens int) backlog { return backlog{b.requests + 1, b.tokens + tokens} }

func compareBool(x, y bool) int {
	switch {
	case x == y:
		return 0
	case y:
		return -1
	}
	return 1
}

// timeToFirstEvent estimates the time to the first event of a request if engines are chosen now.
func (s *Scheduler) timeToFirstEvent(now time.Time, req *Request) time.Duration {
	fastest := time.Duration(0)
	for _, p := range s.candidates(now, req.prefills()) {
		if elapsed := prefillTime(p, req.PromptTokens); fastest == 0 || elapsed < fastest {
			fastest = elapsed
		}
	}
	return fastest + firstEventMargin
}

// decide starts or refuses a request, or reports false to leave it queued. ahead is the work that is ahead of it in the
// queue. blocked is set if one of them could not start: no later request
// may start then, so that small requests cannot starve large ones.
func (s *Scheduler) decide(now time.Time, req *Request, blocked bool, ahead backlog) (Decision, bool) {
	prefills := s.candidates(now, req.prefills())
	decodes := s.candidates(now, req.decodes(req.Avoid))
	if len(prefills) == 0 || len(decodes) == 0 {
		delete(s.requests, req.ID)
		return Decision{ID: req.ID, Kind: RefuseNoEngine, RetryAfter: s.retryAfter(0)}, true
	}
	if req.PromptTokens > s.engineSpecs[req.Pool].MemoryTokens {
		delete(s.requests, req.ID)
		return Decision{ID: req.ID, Kind: RefuseTooLarge, RetryAfter: s.retryAfter(0)}, true
	}
	if !blocked {
		if p, d := s.chooseEngines(now, req, prefills, decodes); p != nil {
			s.startRequest(now, req, p, d)
			return Decision{ID: req.ID, Kind: Start, Prefill: p.Replica, Decode: d.Replica, FreeTokens: s.freeTokens(d)}, true
		}
	}
	wait := s.waitEstimators[req.Pool].estimate(ahead.tokens+s.requiredTokens(req), s.poolCapacity(decodes))
	wait = max(wait, s.limitedWait(now, prefills, ahead), s.limitedWait(now, decodes, ahead))
	if now.Add(wait).After(req.FirstEventDueAt.Add(maxLateWait)) || !now.Before(req.ExpiresAt) {
		delete(s.requests, req.ID)
		return Decision{ID: req.ID, Kind: RefuseOverload, RetryAfter: s.retryAfter(wait), EstimatedWait: wait}, true
	}
	return Decision{}, false
}

// limitedWait returns how long a request must wait because all engines have a request limit, or 0 if one has none.
func (s *Scheduler) limitedWait(now time.Time, engines []*replica, ahead backlog) time.Duration {
	total := 0.0
	for _, r := range engines {
		share, limited := s.shareOf(now, r.ID)
		if !limited {
			return 0
		}
		total += share
	}
	if total == 0 {
		return maxLimitedWait
	}
	return time.Duration(float64(ahead.requests+1) / total * float64(time.Second))
}

func (s *Scheduler) retryAfter(minimum time.Duration) time.Duration {
	return max(minimum, minRetryAfter) + time.Duration(s.random()*float64(retryJitter))
}

// freeTokens returns the number of memory tokens at a decode engine that are not reserved yet.
func (s *Scheduler) freeTokens(d *replica) int {
	return int(usableMemoryFraction*float64(s.engineSpecs[d.Pool].MemoryTokens)) - d.totalLoad().Tokens
}

// requiredTokens returns the memory that must be free for a request to start. It is capped at the usable memory
// of one engine, so that an empty engine can take any request whose prompt fits.
func (s *Scheduler) requiredTokens(req *Request) int {
	return min(req.reservedTokens(), int(usableMemoryFraction*float64(s.engineSpecs[req.Pool].MemoryTokens)))
}

// chooseEngines selects the pair of prefill and decode engines with the lowest cost among a sample of those with
// capacity. The cost is the sum of the prefill time, a penalty for a full decode engine and a penalty if the two are in
// different availability zones. It returns nil if no pair has capacity.
func (s *Scheduler) chooseEngines(now time.Time, req *Request, prefills, decodes []*replica) (bestPrefill, bestDecode *replica) {
	prefills = s.consideredEngines(filter(prefills, func(p *replica) bool { return !now.Before(p.fullUntil) && s.allows(now, p.ID) }))
	decodes = s.consideredEngines(filter(decodes, func(d *replica) bool { return s.hasRoom(now, req, d) && s.allows(now, d.ID) }))
	// Only the cheapest prefill engine of each zone can be part of the best pair.
	cheapest := map[string]engineCost{}
	for _, p := range prefills {
		cost := prefillTime(p, req.PromptTokens) + s.distanceCost(p.Zone) + s.jitter()
		if best, found := cheapest[p.Zone]; !found || cost < best.cost {
			cheapest[p.Zone] = engineCost{p, cost}
		}
	}
	var bestCost time.Duration
	for _, d := range decodes {
		decodeCost := s.fullnessCost(d) + s.distanceCost(d.Zone) + s.jitter()
		for _, zone := range slices.Sorted(maps.Keys(cheapest)) {
			cost := decodeCost + cheapest[zone].cost
			if zone != d.Zone {
				cost += crossZoneTransferPenalty
			}
			if bestPrefill == nil || cost < bestCost {
				bestPrefill, bestDecode, bestCost = cheapest[zone].engine, d, cost
			}
		}
	}
	return bestPrefill, bestDecode
}

// engineCost is an engine with the cost of choosing it.
type engineCost struct {
	engine *replica
	cost   time.Duration
}

func (s *Scheduler) jitter() time.Duration { return time.Duration(s.random() * float64(engineJitter)) }

// hasRoom reports whether a decode engine has capacity for a request.
func (s *Scheduler) hasRoom(now time.Time, req *Request, d *replica) bool {
	return s.freeTokens(d) >= s.requiredRoom(req, d) && d.totalLoad().Requests < s.engineSpecs[req.Pool].MaxRunning && !now.Before(d.fullUntil)
}

func (s *Scheduler) fullnessCost(d *replica) time.Duration {
	fullness := float64(d.totalLoad().Tokens) / float64(max(1, s.engineSpecs[d.Pool].MemoryTokens))
	return time.Duration(fullness * float64(fullnessPenalty))
}

// prefillTime estimates how long a prefill engine takes to process its backlog and then a prompt of the given
// length.
func prefillTime(p *replica, tokens int) time.Duration {
	return time.Duration(float64(p.totalLoad().Tokens+tokens) / p.prefillRate * float64(time.Second))
}

func (s *Scheduler) startRequest(now time.Time, req *Request, p, d *replica) {
	req.prefillID, req.decodeID, req.startedAt = p.ID, d.ID, now
	req.prefillBacklog = p.totalLoad().Tokens + req.PromptTokens
	s.addLoad(p, 1, req.PromptTokens)
	s.addLoad(d, 1, req.reservedTokens())
	s.spend(now, p.ID)
	s.spend(now, d.ID)
}

// FinishPrefill records that a prefill has ended and releases the prefill engine. If ok is true, it updates the
// estimated prefill rate of the engine.
func (s *Scheduler) FinishPrefill(now time.Time, id uint64, ok bool) {
	req := s.requests[id]
	if req == nil {
		return
	}
	if p := s.replicas[req.prefillID]; p != nil && ok {
		p.recordSuccess()
		p.updatePrefillRate(req.prefillBacklog, now.Sub(req.startedAt))
	}
	s.releasePrefill(req)
}

// MarkFull records that an engine rejected a request for lack of capacity.
func (s *Scheduler) MarkFull(now time.Time, id string) {
	if r := s.replicas[id]; r != nil {
		r.fullUntil = now.Add(fullBackoff)
	}
}

// ReassignDecode assigns another decode engine to a request that has been prefilled, after the previous decode engine
// could not take it. failed holds the IDs of all replicas that have failed the request. It reports false if no engine is
// available.
func (s *Scheduler) ReassignDecode(now time.Time, id uint64, failed []string) (Replica, bool) {
	req := s.requests[id]
	if req == nil {
		return Replica{}, false
	}
	avoid := append(slices.Clone(failed), req.decodeID)
	s.releaseDecode(req)
	var best *replica
	for _, d := range s.candidates(now, req.decodes(avoid)) {
		if d.totalLoad().Requests >= s.engineSpecs[req.Pool].MaxRunning || now.Before(d.fullUntil) || !s.allows(now, d.ID) {
			continue
		}
		if best == nil || s.freeTokens(d) > s.freeTokens(best) {
			best = d
		}
	}
	if best == nil {
		return Replica{}, false
	}
	req.decodeID = best.ID
	s.addLoad(best, 1, req.reservedTokens())
	s.spend(now, best.ID)
	return best.Replica, true
}

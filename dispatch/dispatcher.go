// Package dispatch decides which request is served next and where.
//
// One Dispatcher owns the queue and the places of one lane: a prefill pool and a decode pool. Which
// VM runs it is a hint; when two run at once, or one is lost, requests wait longer or a prefill is
// wasted, but nothing else breaks. The package does no input or output; times are passed in.
package dispatch

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// decodeTokenCost is the cost of one output token in prompt tokens, for fair queueing.
	decodeTokenCost = 8.0
	// evictionMargin is how long before its eviction a result takes any place there is.
	evictionMargin = 150 * time.Millisecond
	// timelyMargin is how far before its deadline a request must be expected to have its first token.
	timelyMargin = 30 * time.Millisecond
	// prefillPipeline is how much work a prefill engine may have ahead of a new request.
	prefillPipeline = 40 * time.Millisecond
	// completionGain weighs the newest completion interval.
	completionGain = 0.1
	// retainShare is the part of the retention time that a result may be expected to wait.
	retainShare = 0.25
	// completionSigmas is how many standard deviations below the mean completions are predicted.
	completionSigmas = 1.0
)

// Lane describes the pools that a dispatcher serves.
type Lane struct {
	// Retain is how long a prefill result is kept.
	Retain time.Duration
	// BytesPerToken and LinkRate predict the transfer of a prompt's KV cache, in bytes a second.
	BytesPerToken float64
	LinkRate      float64
	// TokenGap is the target for the time between tokens.
	TokenGap time.Duration
	// MaxQueued bounds the waiting requests.
	MaxQueued int
}

func (l Lane) transfer(tokens int) time.Duration {
	if l.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * l.BytesPerToken / l.LinkRate * float64(time.Second))
}

// Dispatcher is the decision core of one lane. It is not safe for concurrent use.
type Dispatcher struct {
	lane     Lane
	queues   map[string]*accountQueue
	jobs     map[string]*job
	queued   int
	urgent   int
	virtual  float64
	prefills map[string]*prefillEngine
	decodes  map[string]*decodeEngine
	waiting  []*job
	// completions is the learned rate at which places come free, per running request and second.
	completions float64
	reserve     bool
}

// Option changes a new Dispatcher.
type Option func(*Dispatcher)

// WithReservedPlaces makes the dispatcher start a prefill only when a place is free already.
func WithReservedPlaces() Option { return func(d *Dispatcher) { d.reserve = true } }

// New returns a dispatcher without engines.
func New(lane Lane, opts ...Option) *Dispatcher {
	d := &Dispatcher{lane: lane, queues: map[string]*accountQueue{}, jobs: map[string]*job{},
		prefills: map[string]*prefillEngine{}, decodes: map[string]*decodeEngine{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Configure sets the lane and the engines that take new work. What was learned of an engine that
// stays is kept. An engine that goes keeps its running requests.
func (d *Dispatcher) Configure(lane Lane, prefills, decodes []Engine) {
	d.lane = lane
	oldPrefills, oldDecodes := d.prefills, d.decodes
	d.prefills, d.decodes = map[string]*prefillEngine{}, map[string]*decodeEngine{}
	for _, e := range prefills {
		d.prefills[e.Name] = newPrefillEngine(e)
		if old := oldPrefills[e.Name]; old != nil && old.Addr == e.Addr {
			old.Engine = e
			d.prefills[e.Name] = old
		}
	}
	for _, e := range decodes {
		d.decodes[e.Name] = newDecodeEngine(e)
		if old := oldDecodes[e.Name]; old != nil && old.Addr == e.Addr {
			old.Engine = e
			d.decodes[e.Name] = old
		}
	}
}

// Submit queues a request. Submitting a known request again moves it back to the queue.
func (d *Dispatcher) Submit(now time.Time, r Request) error {
	if old := d.jobs[r.ID]; old != nil {
		d.drop(now, old)
	}
	if d.queued >= d.lane.MaxQueued {
		return &Error{Op: "submit " + r.ID, Kind: ErrQueueFull, Err: fmt.Errorf("%d requests wait", d.queued)}
	}
	if r.Weight <= 0 {
		r.Weight = 1
	}
	d.enqueue(&job{Request: r})
	return nil
}

func (d *Dispatcher) enqueue(j *job) {
	q := d.queues[j.Account]
	if q == nil {
		q = &accountQueue{name: j.Account}
		d.queues[j.Account] = q
	}
	if q.empty() {
		q.served = math.Max(q.served, d.virtual)
	}
	j.stage = StageQueued
	q.push(j)
	d.jobs[j.ID] = j
	d.countQueued(j, 1)
}

func (d *Dispatcher) countQueued(j *job, n int) {
	d.queued += n
	if j.Urgent {
		d.urgent += n
	}
}

// Adopt takes over a request that another dispatcher had granted.
func (d *Dispatcher) Adopt(now time.Time, r Request, stage Stage, prefill, decode string) {
	if old := d.jobs[r.ID]; old != nil {
		d.drop(now, old)
	}
	j := &job{Request: r, stage: stage, prefill: prefill, decode: decode, grantedAt: now, startedAt: now}
	switch stage {
	case StagePrefill:
		if p := d.prefills[prefill]; p != nil {
			p.start(now, j)
		}
	case StagePrefilled:
		j.evictedAt = now.Add(d.lane.Retain)
		d.waiting = append(d.waiting, j)
	case StageDecode:
		if e := d.decodes[decode]; e != nil {
			e.running[j.ID] = j
		}
	default:
		d.enqueue(j)
		return
	}
	d.jobs[j.ID] = j
}

// Prefilled notes that the prefill of a request has ended and that it wants a place.
func (d *Dispatcher) Prefilled(now time.Time, id string) error {
	j := d.jobs[id]
	if j == nil || j.stage != StagePrefill {
		return &Error{Op: "prefilled " + id, Kind: ErrUnknown, Err: fmt.Errorf("no prefill was granted")}
	}
	if p := d.prefills[j.prefill]; p != nil {
		p.finish(now, j, true)
		p.succeeded()
	}
	j.stage = StagePrefilled
	j.evictedAt = now.Add(d.lane.Retain)
	d.waiting = append(d.waiting, j)
	return nil
}

// Result says how a request ended.
type Result struct {
	// Failed names the engine that failed, if one did.
	Failed string
	// GapSeconds is the mean time between tokens, or 0 if unknown.
	GapSeconds float64
}

// Reconcile takes what a VM says of a request: it queues a request that is new, adopts one that
// another dispatcher granted, and repeats a decision that the VM has not acted on.
func (d *Dispatcher) Reconcile(now time.Time, r Request, stage Stage, prefill, decode string, repeat bool) (*Decision, error) {
	j := d.jobs[r.ID]
	if j == nil {
		if stage == StageQueued {
			return nil, d.Submit(now, r)
		}
		d.Adopt(now, r, stage, prefill, decode)
		return nil, nil
	}
	if stage == StagePrefilled && j.stage == StagePrefill {
		return nil, d.Prefilled(now, r.ID)
	}
	behind := repeat && stage < j.stage
	switch {
	case behind && j.stage == StagePrefill:
		return d.decision(j, DecidePrefill), nil
	case behind && j.stage == StageDecode && stage == StagePrefilled:
		return d.decision(j, DecideDecode), nil
	}
	return nil, nil
}

// decision returns the decision that brought a request to its stage.
func (d *Dispatcher) decision(j *job, kind DecisionKind) *Decision {
	if p := d.prefills[j.prefill]; kind == DecidePrefill && p != nil {
		return &Decision{ID: j.ID, VM: j.VM, Kind: kind, Engine: p.Name, Addr: p.Addr}
	}
	if e := d.decodes[j.decode]; kind == DecideDecode && e != nil {
		return &Decision{ID: j.ID, VM: j.VM, Kind: kind, Engine: e.Name, Addr: e.Addr}
	}
	return nil
}

// Forget drops the requests of a run of a VM's process that it no longer has. Messages of one VM come
// in order, so a request that is missing from its list has ended.
func (d *Dispatcher) Forget(now time.Time, vm, incarnation string, known map[string]bool) {
	for id, j := range d.jobs {
		if j.VM == vm && j.Incarnation == incarnation && !known[id] {
			d.drop(now, j)
		}
	}
}

// Finish frees what a request holds. It is safe to call more than once.
func (d *Dispatcher) Finish(now time.Time, id string, result Result) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	if e := d.decodes[j.decode]; e != nil && j.stage == StageDecode {
		e.learnGap(result.GapSeconds)
		if result.Failed == "" {
			e.succeeded()
			d.learnCompletion(now.Sub(j.startedAt))
		}
	}
	d.Failed(now, result.Failed)
	d.drop(now, j)
}

// Progress notes the time between tokens of a request that still runs, so that an engine that has become
// slow is avoided before its requests have ended.
func (d *Dispatcher) Progress(id string, gapSeconds float64) {
	j := d.jobs[id]
	if j == nil || j.stage != StageDecode {
		return
	}
	if e := d.decodes[j.decode]; e != nil {
		e.learnGap(gapSeconds)
	}
}

// Failed notes that an engine did not do what it was asked.
func (d *Dispatcher) Failed(now time.Time, engine string) {
	if p := d.prefills[engine]; p != nil {
		p.failed(now)
	}
	if e := d.decodes[engine]; e != nil {
		e.failed(now)
	}
}

func (d *Dispatcher) learnCompletion(took time.Duration) {
	if took <= 0 {
		return
	}
	sample := 1 / took.Seconds()
	if d.completions == 0 {
		d.completions = sample
		return
	}
	// The mean duration is learned, not the mean of rates, which short requests would dominate.
	mean := 1/d.completions + completionGain*(took.Seconds()-1/d.completions)
	d.completions = 1 / mean
}

// drop forgets a request and frees what it holds.
func (d *Dispatcher) drop(now time.Time, j *job) {
	delete(d.jobs, j.ID)
	switch j.stage {
	case StageQueued:
		d.queues[j.Account].remove(j)
		d.countQueued(j, -1)
	case StagePrefill:
		if p := d.prefills[j.prefill]; p != nil {
			p.finish(now, j, false)
		}
	case StagePrefilled:
		d.waiting = slices.DeleteFunc(d.waiting, func(other *job) bool { return other == j })
	case StageDecode:
		if e := d.decodes[j.decode]; e != nil {
			e.release(now, j.ID)
		}
	}
}

// DropVM forgets the requests of a run of a VM's process that is over.
func (d *Dispatcher) DropVM(now time.Time, isOver func(vm, incarnation string) bool) {
	for _, j := range d.jobs {
		if isOver(j.VM, j.Incarnation) {
			d.drop(now, j)
		}
	}
}

// Observe takes an engine's report.
func (d *Dispatcher) Observe(now time.Time, l Load) {
	if p := d.prefills[l.Engine]; p != nil {
		p.unreachable = false
		p.observeCache(l)
	}
	if e := d.decodes[l.Engine]; e != nil {
		e.unreachable = false
		e.observe(now, l, RequestOf)
	}
}

// Unreachable takes an engine out of use until its next report.
func (d *Dispatcher) Unreachable(engine string) {
	if p := d.prefills[engine]; p != nil {
		p.unreachable = true
	}
	if e := d.decodes[engine]; e != nil {
		e.unreachable = true
	}
}

// Misplaced notes that a decode engine did not take a request. Its prefill result is still kept, so it
// wants another place.
func (d *Dispatcher) Misplaced(now time.Time, id, engine string) {
	j := d.jobs[id]
	if j == nil || j.stage != StageDecode || j.decode != engine {
		return
	}
	if e := d.decodes[engine]; e != nil {
		e.failed(now)
		e.release(now, id)
	}
	j.Avoid = append(slices.Clone(j.Avoid), engine)
	j.stage, j.decode = StagePrefilled, ""
	d.waiting = append(d.waiting, j)
}

// RequestOf returns the request ID of an attempt ID, which is the request ID, '#' and a number.
func RequestOf(attempt string) string {
	id, _, _ := strings.Cut(attempt, "#")
	return id
}

// Counts returns how many requests wait and how many hold an engine.
func (d *Dispatcher) Counts() (queued, active int) { return d.queued, len(d.jobs) - d.queued }

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

// assignPlaces gives free places to prefilled requests, the one that is evicted next first.
func (d *Dispatcher) assignPlaces(now time.Time) []Decision {
	var decisions []Decision
	slices.SortStableFunc(d.waiting, func(a, b *job) int { return a.evictedAt.Compare(b.evictedAt) })
	var blocked []*job
	for _, j := range d.waiting {
		e := d.bestDecode(now, j)
		if e == nil {
			blocked = append(blocked, j)
			continue
		}
		j.stage, j.decode, j.startedAt = StageDecode, e.Name, now
		e.running[j.ID] = j
		decisions = append(decisions, Decision{ID: j.ID, VM: j.VM, Kind: DecideDecode, Engine: e.Name, Addr: e.Addr})
	}
	d.waiting = blocked
	return decisions
}

// bestDecode returns the engine with a free place that is emptiest among those fast enough.
func (d *Dispatcher) bestDecode(now time.Time, j *job) *decodeEngine {
	var best *decodeEngine
	for _, e := range d.decodes {
		outside := !d.reaches(j.reach, e) && now.Before(j.evictedAt.Add(-evictionMargin))
		if e.free() <= 0 || !e.usable(now) || outside || slices.Contains(j.Avoid, e.Name) {
			continue
		}
		if best == nil || d.prefers(e, best) {
			best = e
		}
	}
	return best
}

func (d *Dispatcher) prefers(a, b *decodeEngine) bool {
	aMeets, bMeets := d.meetsGap(a), d.meetsGap(b)
	if aMeets != bMeets {
		return aMeets
	}
	aLoad := float64(a.Places-a.free()) / float64(a.Places)
	bLoad := float64(b.Places-b.free()) / float64(b.Places)
	return cmp.Or(cmp.Compare(aLoad, bLoad), cmp.Compare(a.Name, b.Name)) < 0
}

func (d *Dispatcher) meetsGap(e *decodeEngine) bool {
	return d.lane.TokenGap == 0 || e.gap <= d.lane.TokenGap.Seconds()
}

// placeWait is how long a prefill result may be expected to wait for a place.
func (d *Dispatcher) placeWait() time.Duration {
	if d.reserve {
		return 0
	}
	return time.Duration(retainShare * float64(d.lane.Retain))
}

// freePlaces returns how many places within a reach are free and promised to nobody. It is negative
// when more is promised than there is.
func (d *Dispatcher) freePlaces(now time.Time, within reach) float64 {
	free := 0
	for _, e := range d.decodes {
		if e.usable(now) && d.reaches(within, e) {
			free += max(0, e.free())
		}
	}
	promised := 0
	for _, j := range d.waiting {
		promised += d.promise(j, within)
	}
	for _, p := range d.prefills {
		for _, j := range p.jobs {
			promised += d.promise(j, within)
		}
	}
	return float64(free - promised)
}

// expectedPlaces returns how many places within a reach are almost certain to come free within a wait.
func (d *Dispatcher) expectedPlaces(now time.Time, wait time.Duration, within reach) float64 {
	if d.reserve {
		return 0
	}
	running := 0
	for _, e := range d.decodes {
		if e.usable(now) && d.reaches(within, e) {
			running += len(e.running)
		}
	}
	mean := float64(running) * d.completions * wait.Seconds()
	return math.Max(0, mean-completionSigmas*math.Sqrt(mean))
}

// promise returns how many of the places within a reach a started request takes.
func (d *Dispatcher) promise(j *job, within reach) int {
	if j.reach.overlaps(within) {
		return 1
	}
	return 0
}

// reaches reports whether an engine lies within a reach. When no engine meets the target for the time
// between tokens, all count as fast.
func (d *Dispatcher) reaches(within reach, e *decodeEngine) bool {
	fast := d.meetsGap(e) || !d.anyFast()
	switch within {
	case reachFast:
		return fast
	case reachSlow:
		return !fast
	}
	return true
}

func (d *Dispatcher) anyFast() bool {
	for _, e := range d.decodes {
		if d.meetsGap(e) {
			return true
		}
	}
	return false
}

func (d *Dispatcher) anySlow() bool {
	for _, e := range d.decodes {
		if !d.meetsGap(e) {
			return true
		}
	}
	return false
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

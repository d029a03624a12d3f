// Package dispatch schedules requests on prefill and decode engines.
//
// A Dispatcher manages the queue and the decode slots of one lane, which is a pair of a prefill pool and
// a decode pool. Correctness does not depend on a single dispatcher per lane: when two run at once, or
// one is lost, requests wait longer or a prefill is wasted, and there is no other effect. The package
// does no I/O, and the current time is passed in.
package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// decodeTokenCost is the fair-queueing cost of one output token, in prompt tokens.
	decodeTokenCost = 8.0
	// evictionMargin is the time before eviction from which a prefill result takes a slot on any engine,
	// whatever its class.
	evictionMargin = 150 * time.Millisecond
	// deadlineMargin is how far before its deadline the first token of a request must be expected.
	deadlineMargin = 30 * time.Millisecond
	// maxPrefillBacklog is the most work that a prefill engine may have left when it is granted another
	// request.
	maxPrefillBacklog = 40 * time.Millisecond
	// completionSmoothing is the weight of the newest sample in the average decode duration.
	completionSmoothing = 0.1
	// maxSlotWaitFraction is the part of the retention time that a prefill result may be expected to
	// wait for a decode slot.
	maxSlotWaitFraction = 0.25
	// completionSigmas is the number of standard deviations below the mean at which completions are
	// predicted.
	completionSigmas = 1.0
)

// Dispatcher schedules the requests of one lane. It is not safe for concurrent use.
type Dispatcher struct {
	lane           Lane
	queues         map[string]*accountQueue
	jobs           map[string]*job
	queued         int
	queuedUrgent   int
	virtualTime    float64
	prefillEngines map[string]*prefillEngine
	decodeEngines  map[string]*decodeEngine
	awaitingSlot   []*job
	// completionRate is the learned rate at which decode slots become free, per running request and
	// second. It is 0 before the first completion.
	completionRate float64
	reserveSlots   bool
}

// Option configures a new Dispatcher.
type Option func(*Dispatcher)

// WithReservedSlots makes the dispatcher start a prefill only when a decode slot is already free and
// unreserved, without counting on slots that are expected to become free.
func WithReservedSlots() Option { return func(d *Dispatcher) { d.reserveSlots = true } }

// New returns a dispatcher without engines.
func New(lane Lane, opts ...Option) *Dispatcher {
	d := &Dispatcher{lane: lane, queues: map[string]*accountQueue{}, jobs: map[string]*job{},
		prefillEngines: map[string]*prefillEngine{}, decodeEngines: map[string]*decodeEngine{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Configure sets the lane and the engines that receive new work. An engine that keeps its name and
// address keeps its learned state. Requests that run on a removed engine continue to run.
func (d *Dispatcher) Configure(lane Lane, prefills, decodes []Engine) {
	d.lane = lane
	oldPrefills, oldDecodes := d.prefillEngines, d.decodeEngines
	d.prefillEngines, d.decodeEngines = map[string]*prefillEngine{}, map[string]*decodeEngine{}
	for _, e := range prefills {
		d.prefillEngines[e.Name] = newPrefillEngine(e)
		if old := oldPrefills[e.Name]; old != nil && old.Addr == e.Addr {
			old.Engine = e
			d.prefillEngines[e.Name] = old
		}
	}
	for _, e := range decodes {
		d.decodeEngines[e.Name] = newDecodeEngine(e)
		if old := oldDecodes[e.Name]; old != nil && old.Addr == e.Addr {
			old.Engine = e
			d.decodeEngines[e.Name] = old
		}
	}
}

// Submit queues a request. A request that is already known releases its engine and is queued again. It
// returns an Error of kind ErrQueueFull if the lane's queue is full.
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
		q.virtualTime = math.Max(q.virtualTime, d.virtualTime)
	}
	j.stage = StageQueued
	q.push(j)
	d.jobs[j.ID] = j
	d.adjustQueued(j, 1)
}

func (d *Dispatcher) adjustQueued(j *job, delta int) {
	d.queued += delta
	if j.Urgent {
		d.queuedUrgent += delta
	}
}

// Adopt adds a request to which another dispatcher has assigned engines, in the stage it has reached.
// A request in StageQueued is queued.
func (d *Dispatcher) Adopt(now time.Time, r Request, stage Stage, prefill, decode string) {
	if old := d.jobs[r.ID]; old != nil {
		d.drop(now, old)
	}
	j := &job{Request: r, stage: stage, prefillEngine: prefill, decodeEngine: decode, prefillGrantedAt: now, decodeStartedAt: now}
	switch stage {
	case StagePrefill:
		if p := d.prefillEngines[prefill]; p != nil {
			p.start(now, j)
		}
	case StagePrefilled:
		j.evictsAt = now.Add(d.lane.Retention)
		d.awaitingSlot = append(d.awaitingSlot, j)
	case StageDecode:
		if e := d.decodeEngines[decode]; e != nil {
			e.running[j.ID] = j
		}
	default:
		d.enqueue(j)
		return
	}
	d.jobs[j.ID] = j
}

// Reconcile applies a VM's report about a request: it queues a new request, adopts one to which another
// dispatcher assigned engines, and records a finished prefill. With resend, it returns the last decision
// again if the VM has not acted on it.
func (d *Dispatcher) Reconcile(now time.Time, r Request, stage Stage, prefill, decode string, resend bool) (*Decision, error) {
	j := d.jobs[r.ID]
	if j == nil {
		if stage == StageQueued {
			return nil, d.Submit(now, r)
		}
		d.Adopt(now, r, stage, prefill, decode)
		return nil, nil
	}
	if stage == StagePrefilled && j.stage == StagePrefill {
		return nil, d.PrefillCompleted(now, r.ID)
	}
	lagging := resend && stage < j.stage
	switch {
	case lagging && j.stage == StagePrefill:
		return d.lastDecision(j, DecidePrefill), nil
	case lagging && j.stage == StageDecode && stage == StagePrefilled:
		return d.lastDecision(j, DecideDecode), nil
	}
	return nil, nil
}

// lastDecision returns the decision of the given kind that brought a request to its stage, or nil if its
// engine is no longer configured.
func (d *Dispatcher) lastDecision(j *job, kind DecisionKind) *Decision {
	if p := d.prefillEngines[j.prefillEngine]; kind == DecidePrefill && p != nil {
		return &Decision{ID: j.ID, VM: j.VM, Kind: kind, Engine: p.Name, Addr: p.Addr}
	}
	if e := d.decodeEngines[j.decodeEngine]; kind == DecideDecode && e != nil {
		return &Decision{ID: j.ID, VM: j.VM, Kind: kind, Engine: e.Name, Addr: e.Addr}
	}
	return nil
}

// DropMissing drops the requests of one incarnation of a VM that are missing from known, the requests the VM
// still has. Messages from one VM arrive in order, so a missing request has ended.
func (d *Dispatcher) DropMissing(now time.Time, vm, incarnation string, known map[string]bool) {
	for id, j := range d.jobs {
		if j.VM == vm && j.Incarnation == incarnation && !known[id] {
			d.drop(now, j)
		}
	}
}

// drop removes a request and releases its queue entry, prefill job or decode slot.
func (d *Dispatcher) drop(now time.Time, j *job) {
	delete(d.jobs, j.ID)
	switch j.stage {
	case StageQueued:
		d.queues[j.Account].remove(j)
		d.adjustQueued(j, -1)
	case StagePrefill:
		if p := d.prefillEngines[j.prefillEngine]; p != nil {
			p.finish(now, j, false)
		}
	case StagePrefilled:
		d.awaitingSlot = slices.DeleteFunc(d.awaitingSlot, func(other *job) bool { return other == j })
	case StageDecode:
		if e := d.decodeEngines[j.decodeEngine]; e != nil {
			e.release(now, j.ID)
		}
	}
}

// DropIncarnations drops the requests of every VM incarnation for which isOver returns true.
func (d *Dispatcher) DropIncarnations(now time.Time, isOver func(vm, incarnation string) bool) {
	for _, j := range d.jobs {
		if isOver(j.VM, j.Incarnation) {
			d.drop(now, j)
		}
	}
}

// Counts returns the number of queued requests and the number of requests that have left the queue but not finished.
func (d *Dispatcher) Counts() (queued, active int) { return d.queued, len(d.jobs) - d.queued }

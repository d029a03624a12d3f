// Package dispatch decides which request is served next and where.
//
// One Dispatcher owns the queue and the places of one lane: a prefill pool and a decode pool. Which
// VM runs it is a hint; when two run at once, or one is lost, requests wait longer or a prefill is
// wasted, but nothing else breaks. The package does no input or output; times are passed in.
package dispatch

import (
	"fmt"
	"math"
	"slices"
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

// Counts returns how many requests wait and how many hold an engine.
func (d *Dispatcher) Counts() (queued, active int) { return d.queued, len(d.jobs) - d.queued }

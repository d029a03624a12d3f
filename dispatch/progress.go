package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

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

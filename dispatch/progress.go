package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// PrefillCompleted records that the prefill of a request has completed, so that the request awaits a decode slot.
// It returns an Error of kind ErrUnknown if the request is not in StagePrefill.
func (d *Dispatcher) PrefillCompleted(now time.Time, id string) error {
	j := d.jobs[id]
	if j == nil || j.stage != StagePrefill {
		return &Error{Op: "prefilled " + id, Kind: ErrUnknown, Err: fmt.Errorf("request has no prefill in progress")}
	}
	if p := d.prefillEngines[j.prefillEngine]; p != nil {
		p.finish(now, j, true)
		p.recordSuccess()
	}
	j.stage = StagePrefilled
	j.evictsAt = now.Add(d.lane.Retention)
	d.awaitingSlot = append(d.awaitingSlot, j)
	return nil
}

// Result is the outcome of a request.
type Result struct {
	// Failed names the engine that failed, if one did.
	Failed string
	// GapSeconds is the mean time between tokens, or 0 if unknown.
	GapSeconds float64
}

// Finish records the result of a request and releases its engines. Unknown requests are ignored, so it may
// be called more than once.
func (d *Dispatcher) Finish(now time.Time, id string, result Result) {
	j := d.jobs[id]
	if j == nil {
		return
	}
	if e := d.decodeEngines[j.decodeEngine]; e != nil && j.stage == StageDecode {
		e.observeTokenGap(result.GapSeconds)
		if result.Failed == "" {
			e.recordSuccess()
			d.observeCompletion(now.Sub(j.decodeStartedAt))
		}
	}
	d.EngineFailed(now, result.Failed)
	d.drop(now, j)
}

// ObserveTokenGap records the time between tokens of a running request, so that an engine that has become slow is
// avoided before its requests end.
func (d *Dispatcher) ObserveTokenGap(id string, gapSeconds float64) {
	j := d.jobs[id]
	if j == nil || j.stage != StageDecode {
		return
	}
	if e := d.decodeEngines[j.decodeEngine]; e != nil {
		e.observeTokenGap(gapSeconds)
	}
}

// EngineFailed records a failure of an engine. An unknown or empty name is ignored.
func (d *Dispatcher) EngineFailed(now time.Time, engine string) {
	if p := d.prefillEngines[engine]; p != nil {
		p.recordFailure(now)
	}
	if e := d.decodeEngines[engine]; e != nil {
		e.recordFailure(now)
	}
}

func (d *Dispatcher) observeCompletion(duration time.Duration) {
	if duration <= 0 {
		return
	}
	sample := 1 / duration.Seconds()
	if d.completionRate == 0 {
		d.completionRate = sample
		return
	}
	// The average is taken over durations, because short requests would dominate an average of rates.
	mean := 1/d.completionRate + completionSmoothing*(duration.Seconds()-1/d.completionRate)
	d.completionRate = 1 / mean
}

// ApplyLoadReport applies an engine's load report and marks the engine as reachable.
func (d *Dispatcher) ApplyLoadReport(now time.Time, l LoadReport) {
	if p := d.prefillEngines[l.Engine]; p != nil {
		p.unreachable = false
		p.applyCacheEvents(l)
	}
	if e := d.decodeEngines[l.Engine]; e != nil {
		e.unreachable = false
		e.observeAttempts(now, l, RequestIDOfAttempt)
	}
}

// EngineUnreachable takes an engine out of use until its next report.
func (d *Dispatcher) EngineUnreachable(engine string) {
	if p := d.prefillEngines[engine]; p != nil {
		p.unreachable = true
	}
	if e := d.decodeEngines[engine]; e != nil {
		e.unreachable = true
	}
}

// DecodeRejected records that a decode engine did not accept a request. The prefill result is still retained, so
// the request awaits a slot on another engine.
func (d *Dispatcher) DecodeRejected(now time.Time, id, engine string) {
	j := d.jobs[id]
	if j == nil || j.stage != StageDecode || j.decodeEngine != engine {
		return
	}
	if e := d.decodeEngines[engine]; e != nil {
		e.recordFailure(now)
		e.release(now, id)
	}
	j.Avoid = append(slices.Clone(j.Avoid), engine)
	j.stage, j.decodeEngine = StagePrefilled, ""
	d.awaitingSlot = append(d.awaitingSlot, j)
}

// RequestIDOfAttempt returns the request ID of an attempt ID. An attempt ID is a request ID, '#' and a suffix.
func RequestIDOfAttempt(attempt string) string {
	id, _, _ := strings.Cut(attempt, "#")
	return id
}

package catalog

import "time"

const (
	// ForwardWindow is how long after sending the append of its Begin record a writer may still forward
	// the operation.
	ForwardWindow = 5 * time.Second
	// settleDelay is the time after a Begin during which only its writer may settle it as not run.
	// Until then the writer may still forward the operation.
	settleDelay = 4 * ForwardWindow
	// OperationRetention is how long the answer of a settled operation is kept for repeated calls.
	OperationRetention = 24 * time.Hour
)

// Phase is the progress of an operation: begun, done or not run.
type Phase string

// Phases of an Operation. An operation that stays in PhaseBegun is in doubt.
const (
	PhaseBegun  Phase = "Begun"
	PhaseDone   Phase = "Done"
	PhaseNotRun Phase = "NotRun"
)

// Operation is the state of a call that must run at most once.
type Operation struct {
	Begin
	Phase   Phase
	BegunAt time.Time
	// BeginID is the ID of the accepted Begin record.
	BeginID string
	Answer  Answer
}

// withOutcome returns the operation settled with the outcome and answer of end.
func (o Operation) withOutcome(end End) Operation {
	o.Phase = PhaseDone
	if end.Outcome == OutcomeNotRun {
		o.Phase = PhaseNotRun
	}
	o.Answer = end.Answer
	return o
}

// beginOperation returns the operation after a Begin record and whether the record is accepted. A
// Begin is accepted for attempt 1 of a new operation, and for the next attempt of the same request
// after one that was settled as not run.
func beginOperation(current Operation, exists bool, record Record, at time.Time) (Operation, bool) {
	next := Operation{Begin: *record.Begin, Phase: PhaseBegun, BegunAt: at, BeginID: record.ID}
	if !exists {
		return next, record.Begin.Attempt == 1
	}
	mayRunAgain := current.Phase == PhaseNotRun && record.Begin.Attempt == current.Attempt+1 &&
		record.Begin.RequestHash == current.RequestHash
	return next, mayRunAgain
}

// endOperation returns the operation after an End record and whether the record is accepted. Until
// settleDelay has passed, a settler other than the writer cannot settle an attempt as not run,
// because the writer could still forward it.
func endOperation(current Operation, record Record, at time.Time) (Operation, bool) {
	if current.Phase != PhaseBegun || current.Attempt != record.End.Attempt {
		return current, false
	}
	tooEarly := record.End.Settler != "" && record.End.Outcome == OutcomeNotRun &&
		at.Before(current.BegunAt.Add(settleDelay))
	if tooEarly {
		return current, false
	}
	return current.withOutcome(*record.End), true
}

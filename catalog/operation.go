package catalog

import "time"

const (
	// ForwardWindow is how long after its append was sent a writer may still forward an operation.
	ForwardWindow = 5 * time.Second
	// settleDelay is how long after a Begin the log refuses to settle it as not run for the writer.
	settleDelay = 4 * ForwardWindow
	// OperationRetention is how long a settled operation answers repeats.
	OperationRetention = 24 * time.Hour
)

// Phase is where an operation stands.
type Phase string

// The phases of an operation.
const (
	PhaseBegun  Phase = "Begun"
	PhaseDone   Phase = "Done"
	PhaseNotRun Phase = "NotRun"
)

// Operation is a call that must not run twice.
type Operation struct {
	Begin
	Phase   Phase
	BegunAt time.Time
	// BeginID is the ID of the record that won.
	BeginID string
	Answer  Answer
}

// withEnd returns the operation as settled.
func (o Operation) withEnd(end End) Operation {
	o.Phase = PhaseDone
	if end.Outcome == OutcomeNotRun {
		o.Phase = PhaseNotRun
	}
	o.Answer = end.Answer
	return o
}

// begin returns the operation that a Begin record makes of the current one, or false when the
// record loses.
func begin(current Operation, exists bool, record Record, at time.Time) (Operation, bool) {
	next := Operation{Begin: *record.Begin, Phase: PhaseBegun, BegunAt: at, BeginID: record.ID}
	if !exists {
		return next, record.Begin.Attempt == 1
	}
	mayRunAgain := current.Phase == PhaseNotRun && record.Begin.Attempt == current.Attempt+1 &&
		record.Begin.RequestHash == current.RequestHash
	return next, mayRunAgain
}

// end reports whether an End record settles the current operation. A settler may not declare an
// attempt as not run while its writer could still forward it.
func end(current Operation, record Record, at time.Time) (Operation, bool) {
	if current.Phase != PhaseBegun || current.Attempt != record.End.Attempt {
		return current, false
	}
	tooEarly := record.End.Settler != "" && record.End.Outcome == OutcomeNotRun &&
		at.Before(current.BegunAt.Add(settleDelay))
	if tooEarly {
		return current, false
	}
	return current.withEnd(*record.End), true
}

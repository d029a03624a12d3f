// Package attempt decides after each exchange with an upstream whether a request is answered, retried or ended.
//
// A State tracks whether an upstream may have run the request. It is immutable and performs no I/O: the caller
// reports the outcome of each exchange and receives the next step. Uncertain outcomes are counted as runs: a
// request that was sent and received no answer may have run, or may run later.
package attempt

import "github.com/cassiabridge/cassiabridge/routing"

// Policy limits how often a request may be tried and run.
type Policy struct {
	Repeat routing.RetryPolicy
	// MaxRuns is the maximum number of upstreams that may run the request.
	MaxRuns int
	// MaxTries is the maximum number of tries, including those in which the upstream did not run the request.
	MaxTries int
}

// Outcome is the observed result of one exchange with an upstream.
type Outcome int

// Outcomes of an exchange.
const (
	// Unsent means that no byte of the request was written to the network.
	Unsent Outcome = iota
	// Refused means that the upstream has not run the request and never will.
	Refused
	// InDoubt means that the request was sent, but no answer tells whether it ran.
	InDoubt
	// Failed means that the upstream ran the request and answered with its own error.
	Failed
	// Broken means that an answer broke off while it was forwarded. The exchange must have been recorded as
	// Answered before, so Broken does not count as another run.
	Broken
	// Answered means that the upstream ran the request and answered.
	Answered
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Unsent", "Refused", "InDoubt", "Failed", "Broken", "Answered"}[o]
}

// mayHaveArrived reports whether the upstream may have received any of the request.
func (o Outcome) mayHaveArrived() bool { return o != Unsent }

// countsAsRun reports whether the outcome adds an upstream that may have run the request or may run it later.
func (o Outcome) countsAsRun() bool { return o == InDoubt || o == Failed || o == Answered }

// Step is the next action for a request.
type Step int

// Steps after an exchange.
const (
	// End ends the request with an error, or with a refusal if State.NotRun reports true.
	End Step = iota
	// ForwardAnswer forwards the answer to the caller.
	ForwardAnswer
	// Retry retries the request at another upstream.
	Retry
	// RetryWithinBudget retries the request at another upstream if the retry budget allows it, and ends it
	// otherwise.
	RetryWithinBudget
)

// String returns a short name of the step. It differs from the name of the constant, except for End.
func (s Step) String() string { return [...]string{"End", "PassOn", "Again", "AgainWithinBudget"}[s] }

// State tracks the tries and possible runs of one request.
type State struct {
	policy Policy
	tries  int
	runs   int
	// inFlight is set while an exchange that runs the request is in progress.
	inFlight bool
}

// New returns the state of a request that has not been tried yet.
func New(policy Policy) State { return State{policy: policy} }

// NotRun reports whether no upstream can have run the request and none can still run it.
func (s State) NotRun() bool { return s.runs == 0 && !s.inFlight }

// Runs returns the number of upstreams that may have run the request, including the one in progress.
func (s State) Runs() int {
	if s.inFlight {
		return s.runs + 1
	}
	return s.runs
}

// Tries returns the number of tries.
func (s State) Tries() int { return s.tries }

// MayRun reports whether the request may be sent to another upstream that would run it.
func (s State) MayRun() bool {
	switch {
	case s.inFlight:
		return false
	case s.runs == 0:
		return true
	}
	return s.policy.Repeat != routing.AtMostOnce && s.runs < s.policy.MaxRuns
}

// WithTry returns the state after an upstream has been chosen for the next try.
func (s State) WithTry() State {
	s.tries++
	return s
}

// WithSent returns the state while the request is being sent to an upstream that will run it. It counts as
// possibly running until its outcome is recorded.
func (s State) WithSent() State {
	s.inFlight = true
	return s
}

// WithOutcome returns the state after an exchange in which the upstream was asked to run the request.
func (s State) WithOutcome(o Outcome) State {
	s.inFlight = false
	if o.countsAsRun() {
		s.runs++
	}
	return s
}

// Next returns the step that follows outcome o of an exchange in which the upstream was asked to run the
// request. o must already be recorded by WithOutcome.
func (s State) Next(o Outcome) Step {
	switch {
	case o == Answered:
		return ForwardAnswer
	case o == Failed && !s.mayTry():
		return ForwardAnswer
	case o == Broken && s.policy.Repeat != routing.Resumable:
		return End
	}
	return s.retryStep(o)
}

// NextAfterPrefill returns the step that follows outcome o of a prefill. A prefill does not count as a run.
func (s State) NextAfterPrefill(o Outcome) Step {
	if o == Answered {
		return ForwardAnswer
	}
	return s.retryStep(o)
}

func (s State) mayTry() bool { return s.MayRun() && s.tries < s.policy.MaxTries }

func (s State) retryStep(o Outcome) Step {
	switch {
	case !s.mayTry():
		return End
	case o.mayHaveArrived():
		return RetryWithinBudget
	}
	return Retry
}

// Package attempt decides what may still be done with a request after each exchange with an upstream.
//
// A State knows at each moment whether an upstream may have run the request. It is immutable and does no input or
// output: the caller of the package reports what it saw, and is told the next step. What it does not see is taken to
// have happened: a request that was sent and got no answer may have run, or may run later.
package attempt

import "github.com/cassiabridge/cassiabridge/routing"

// Terms bound what may be done with a request.
type Terms struct {
	Repeat routing.Repeat
	// MaxRuns is on how many upstreams the request may run.
	MaxRuns int
	// MaxOffers is how often the request may be offered to an upstream, those that did not run it included.
	MaxOffers int
}

// Outcome is what was seen of one exchange with an upstream.
type Outcome int

// Outcomes of an exchange.
const (
	// Unsent says that no byte of the request was handed to the network.
	Unsent Outcome = iota
	// Refused says that the upstream has not run the request and never will.
	Refused
	// InDoubt says that the request was sent, and no answer tells what became of it.
	InDoubt
	// Failed says that the upstream has run the request and answered with a failure of its own.
	Failed
	// Broken says that an answer, whose exchange was noted as Answered, broke off while it was passed on.
	Broken
	// Answered says that the upstream has run the request and answered.
	Answered
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	return [...]string{"Unsent", "Refused", "InDoubt", "Failed", "Broken", "Answered"}[o]
}

// arrived reports whether the upstream may have seen the request.
func (o Outcome) arrived() bool { return o != Unsent }

// ran reports whether an upstream more may have run the request, or may run it later.
func (o Outcome) ran() bool { return o == InDoubt || o == Failed || o == Answered }

// Step is what is to be done next with a request.
type Step int

// Steps after an exchange.
const (
	// End the request with a failure, or with a refusal if State.NotRun.
	End Step = iota
	// PassOn the answer to the caller.
	PassOn
	// Again offers the request to a further upstream.
	Again
	// AgainWithinBudget offers it to a further upstream if the retry budget allows, and else gives it up.
	AgainWithinBudget
)

// String returns the name of the step.
func (s Step) String() string { return [...]string{"End", "PassOn", "Again", "AgainWithinBudget"}[s] }

// State is what is known of one request.
type State struct {
	terms  Terms
	offers int
	runs   int
	// sent says that an exchange is under way.
	sent bool
}

// New returns the state of a request that was not offered to any upstream yet.
func New(terms Terms) State { return State{terms: terms} }

// NotRun reports whether no upstream has run the request or may run it later.
func (s State) NotRun() bool { return s.runs == 0 && !s.sent }

// Runs returns on how many upstreams the request may have run.
func (s State) Runs() int {
	if s.sent {
		return s.runs + 1
	}
	return s.runs
}

// Offers returns how often the request was offered to an upstream.
func (s State) Offers() int { return s.offers }

// MayRun reports whether the request may be sent to an upstream that would run it.
func (s State) MayRun() bool {
	switch {
	case s.sent:
		return false
	case s.runs == 0:
		return true
	}
	return s.terms.Repeat != routing.AtMostOnce && s.runs < s.terms.MaxRuns
}

// WithOffer returns the state of a request for which an upstream was chosen.
func (s State) WithOffer() State {
	s.offers++
	return s
}

// WithSent returns the state of a request that is being sent to an upstream that will run it. Until the outcome is
// known it may be running.
func (s State) WithSent() State {
	s.sent = true
	return s
}

// WithOutcome returns the state after an exchange in which the upstream was to run the request.
func (s State) WithOutcome(o Outcome) State {
	s.sent = false
	if o.ran() {
		s.runs++
	}
	return s
}

// Next returns what to do after the outcome of an exchange in which the upstream was to run the request. The state is
// the one with that outcome.
func (s State) Next(o Outcome) Step {
	switch {
	case o == Answered:
		return PassOn
	case o == Failed && !s.mayOffer():
		return PassOn
	case o == Broken && s.terms.Repeat != routing.Resumable:
		return End
	}
	return s.again(o)
}

// NextAfterPrefill returns what to do after an exchange in which the upstream was only to read the prompt, which is no
// run.
func (s State) NextAfterPrefill(o Outcome) Step {
	if o == Answered {
		return PassOn
	}
	return s.again(o)
}

func (s State) mayOffer() bool { return s.MayRun() && s.offers < s.terms.MaxOffers }

func (s State) again(o Outcome) Step {
	switch {
	case !s.mayOffer():
		return End
	case o.arrived():
		return AgainWithinBudget
	}
	return Again
}

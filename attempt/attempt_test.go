package attempt

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cassiabridge/cassiabridge/routing"
)

func terms(repeat routing.Repeat) Terms { return Terms{Repeat: repeat, MaxRuns: 2, MaxOffers: 4} }

// after plays exchanges in which the upstream was to run the request.
func after(t Terms, outcomes ...Outcome) State {
	s := New(t)
	for _, o := range outcomes {
		s = s.WithOffer().WithSent().WithOutcome(o)
	}
	return s
}

func TestNext(t *testing.T) {
	once, idempotent, resumable := terms(routing.AtMostOnce), terms(routing.Idempotent), terms(routing.Resumable)
	scenarios := []struct {
		name     string
		terms    Terms
		outcomes []Outcome
		step     Step
		notRun   bool
	}{
		{"an answer", once, []Outcome{Answered}, PassOn, false},
		{"nothing was sent", once, []Outcome{Unsent}, Again, true},
		{"refused", once, []Outcome{Refused}, AgainWithinBudget, true},
		{"refused until there are no offers left", once, []Outcome{Refused, Unsent, Refused, Refused}, End, true},
		{"in doubt, at most once", once, []Outcome{InDoubt}, End, false},
		{"in doubt after a refusal, at most once", once, []Outcome{Refused, InDoubt}, End, false},
		{"a failure, at most once", once, []Outcome{Failed}, PassOn, false},
		{"in doubt, idempotent", idempotent, []Outcome{InDoubt}, AgainWithinBudget, false},
		{"a failure, idempotent", idempotent, []Outcome{Failed}, AgainWithinBudget, false},
		{"as many runs as allowed", idempotent, []Outcome{InDoubt, InDoubt}, End, false},
		{"a failure in the last run", idempotent, []Outcome{InDoubt, Failed}, PassOn, false},
		{"in doubt, then refused", idempotent, []Outcome{InDoubt, Refused}, AgainWithinBudget, false},
		{"a broken stream that may be resumed", resumable, []Outcome{Answered, Broken}, AgainWithinBudget, false},
		{"a broken answer", idempotent, []Outcome{Answered, Broken}, End, false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := after(scenario.terms, scenario.outcomes...)
			assert.Equal(t, scenario.step, s.Next(scenario.outcomes[len(scenario.outcomes)-1]))
			assert.Equal(t, scenario.notRun, s.NotRun())
		})
	}
	t.Run("a prefill is no run", func(t *testing.T) {
		s := New(once).WithOffer()
		assert.Equal(t, AgainWithinBudget, s.NextAfterPrefill(InDoubt))
		assert.Equal(t, PassOn, s.NextAfterPrefill(Answered))
		assert.True(t, s.NotRun())
	})
	t.Run("while it is under way", func(t *testing.T) {
		s := New(idempotent).WithOffer().WithSent()
		assert.False(t, s.NotRun())
		assert.False(t, s.MayRun())
	})
}

// oracle is an upstream as it really is: what it has run, and what it may still run after the sender gave up.
type oracle struct {
	runs    int
	pending int
}

// exchange plays one exchange and returns what its sender sees.
func (o *oracle) exchange(t *rapid.T) Outcome {
	switch rapid.SampledFrom([]string{"unreachable", "refuses", "replaced", "lost on the way", "reset before it ran", "runs late", "answer lost", "wrong bytes",
		"another's answer", "frozen", "fails", "breaks off", "answers"}).Draw(t, "exchange") {
	case "unreachable":
		return Unsent
	case "refuses", "replaced":
		return Refused
	case "lost on the way", "reset before it ran":
		return InDoubt
	case "runs late", "frozen":
		o.pending++
		return InDoubt
	case "answer lost", "wrong bytes", "another's answer":
		o.runs++
		return InDoubt
	case "fails":
		o.runs++
		return Failed
	case "breaks off":
		o.runs++
		return Broken
	}
	o.runs++
	return Answered
}

// mayRun is how often the request has run or may run yet.
func (o *oracle) mayRun() int { return o.runs + o.pending }

func TestAttemptsAgainstAnOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowed := Terms{Repeat: rapid.SampledFrom([]routing.Repeat{routing.AtMostOnce, routing.Idempotent, routing.Resumable}).Draw(t, "repeat"),
			MaxRuns: rapid.IntRange(1, 3).Draw(t, "max runs"), MaxOffers: rapid.IntRange(1, 5).Draw(t, "max offers")}
		upstreams := &oracle{}
		passedOn := false
		s := New(allowed)
		for step := Again; step == Again || step == AgainWithinBudget && rapid.Bool().Draw(t, "budget"); {
			s = s.WithOffer()
			assert.LessOrEqual(t, s.Offers(), allowed.MaxOffers)
			if rapid.Bool().Draw(t, "prefill") {
				step = s.NextAfterPrefill(rapid.SampledFrom([]Outcome{Unsent, Refused, InDoubt, Failed}).Draw(t, "prefill outcome"))
				continue
			}
			assert.True(t, s.MayRun())
			s = s.WithSent()
			assert.False(t, s.NotRun(), "a request under way may be running")
			o := upstreams.exchange(t)
			if o == Broken {
				s = s.WithOutcome(Answered)
				passedOn = true
			}
			s = s.WithOutcome(o)
			step = s.Next(o)
			assert.False(t, passedOn && allowed.Repeat != routing.Resumable && step != End, "an answer that has begun")
		}
		mayRun := upstreams.mayRun()
		assert.GreaterOrEqual(t, s.Runs(), mayRun, "a run that the state does not know")
		if s.NotRun() {
			assert.Zero(t, mayRun, "not run is a promise")
		}
		if allowed.Repeat == routing.AtMostOnce {
			assert.LessOrEqual(t, mayRun, 1)
		}
		assert.LessOrEqual(t, s.Runs(), allowed.MaxRuns)
	})
}

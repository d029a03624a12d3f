package attempt

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cassiabridge/cassiabridge/routing"
)

func newPolicy(repeat routing.RetryPolicy) Policy {
	return Policy{Repeat: repeat, MaxRuns: 2, MaxTries: 4}
}

// stateAfter returns the state after exchanges with the given outcomes, in each of which the upstream was asked
// to run the request.
func stateAfter(policy Policy, outcomes ...Outcome) State {
	s := New(policy)
	for _, o := range outcomes {
		s = s.WithTry().WithSent().WithOutcome(o)
	}
	return s
}

func TestNext(t *testing.T) {
	atMostOnce, idempotent, resumable := newPolicy(routing.AtMostOnce), newPolicy(routing.Idempotent), newPolicy(routing.Resumable)
	scenarios := []struct {
		name     string
		policy   Policy
		outcomes []Outcome
		step     Step
		notRun   bool
	}{
		{"answered", atMostOnce, []Outcome{Answered}, ForwardAnswer, false},
		{"unsent", atMostOnce, []Outcome{Unsent}, Retry, true},
		{"refused", atMostOnce, []Outcome{Refused}, RetryWithinBudget, true},
		{"refused until no tries are left", atMostOnce, []Outcome{Refused, Unsent, Refused, Refused}, End, true},
		{"in doubt, at most once", atMostOnce, []Outcome{InDoubt}, End, false},
		{"in doubt after a refusal, at most once", atMostOnce, []Outcome{Refused, InDoubt}, End, false},
		{"failed, at most once", atMostOnce, []Outcome{Failed}, ForwardAnswer, false},
		{"in doubt, idempotent", idempotent, []Outcome{InDoubt}, RetryWithinBudget, false},
		{"failed, idempotent", idempotent, []Outcome{Failed}, RetryWithinBudget, false},
		{"maximum number of runs", idempotent, []Outcome{InDoubt, InDoubt}, End, false},
		{"failed in the last run", idempotent, []Outcome{InDoubt, Failed}, ForwardAnswer, false},
		{"in doubt, then refused", idempotent, []Outcome{InDoubt, Refused}, RetryWithinBudget, false},
		{"broken resumable stream", resumable, []Outcome{Answered, Broken}, RetryWithinBudget, false},
		{"broken answer", idempotent, []Outcome{Answered, Broken}, End, false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := stateAfter(scenario.policy, scenario.outcomes...)
			assert.Equal(t, scenario.step, s.Next(scenario.outcomes[len(scenario.outcomes)-1]))
			assert.Equal(t, scenario.notRun, s.NotRun())
		})
	}
	t.Run("a prefill does not count as a run", func(t *testing.T) {
		s := New(atMostOnce).WithTry()
		assert.Equal(t, RetryWithinBudget, s.NextAfterPrefill(InDoubt))
		assert.Equal(t, ForwardAnswer, s.NextAfterPrefill(Answered))
		assert.True(t, s.NotRun())
	})
	t.Run("request in flight", func(t *testing.T) {
		s := New(idempotent).WithTry().WithSent()
		assert.False(t, s.NotRun())
		assert.False(t, s.MayRun())
	})
}

// oracle tracks what really happened at the upstreams: runs is the number of completed runs, and pending the
// number of runs that may still happen after the sender gave up.
type oracle struct {
	runs    int
	pending int
}

// exchange simulates one exchange and returns the outcome that the sender observes.
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

// possibleRuns returns how often the request has run or may still run.
func (o *oracle) possibleRuns() int { return o.runs + o.pending }

func TestStateAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := Policy{Repeat: rapid.SampledFrom([]routing.RetryPolicy{routing.AtMostOnce, routing.Idempotent, routing.Resumable}).Draw(t, "repeat"),
			MaxRuns: rapid.IntRange(1, 3).Draw(t, "max runs"), MaxTries: rapid.IntRange(1, 5).Draw(t, "max tries")}
		upstreams := &oracle{}
		answerForwarded := false
		s := New(policy)
		for step := Retry; step == Retry || step == RetryWithinBudget && rapid.Bool().Draw(t, "budget"); {
			s = s.WithTry()
			assert.LessOrEqual(t, s.Tries(), policy.MaxTries)
			if rapid.Bool().Draw(t, "prefill") {
				step = s.NextAfterPrefill(rapid.SampledFrom([]Outcome{Unsent, Refused, InDoubt, Failed}).Draw(t, "prefill outcome"))
				continue
			}
			assert.True(t, s.MayRun())
			s = s.WithSent()
			assert.False(t, s.NotRun(), "a request in flight may be running")
			o := upstreams.exchange(t)
			if o == Broken {
				s = s.WithOutcome(Answered)
				answerForwarded = true
			}
			s = s.WithOutcome(o)
			step = s.Next(o)
			assert.False(t, answerForwarded && policy.Repeat != routing.Resumable && step != End, "a forwarded answer must not be retried")
		}
		possibleRuns := upstreams.possibleRuns()
		assert.GreaterOrEqual(t, s.Runs(), possibleRuns, "the state must count every run")
		if s.NotRun() {
			assert.Zero(t, possibleRuns, "NotRun must not be reported after a run")
		}
		if policy.Repeat == routing.AtMostOnce {
			assert.LessOrEqual(t, possibleRuns, 1)
		}
		assert.LessOrEqual(t, s.Runs(), policy.MaxRuns)
	})
}

package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestBelief checks what is believed after each state, of answers that began at several times.
func TestBelief(t *testing.T) {
	t.Parallel()
	found := time.Unix(100, 0)
	const tick = time.Millisecond
	type beliefs map[time.Duration]bool
	for name, c := range map[string]struct {
		states []State
		// doubted holds whether answers are in doubt that began that much later than the states were found.
		doubted beliefs
	}{
		"nothing":                  {nil, beliefs{-tick: false, tick: false}},
		"silent":                   {[]State{Silent}, beliefs{-tick: false, tick: true}},
		"silent, then living":      {[]State{Silent, Lives}, beliefs{tick: false}},
		"silent, then unnamed":     {[]State{Silent, Unnamed}, beliefs{tick: false}},
		"refusing, then unnamed":   {[]State{Refuses, Unnamed}, beliefs{-tick: false, tick: true}},
		"refusing, then silent":    {[]State{Refuses, Silent, Unnamed}, beliefs{tick: true}},
		"silent, then refusing":    {[]State{Silent, Refuses, Unnamed}, beliefs{tick: true}},
		"replaced":                 {[]State{Replaced}, beliefs{-tick: false, tick: true}},
		"restarted":                {[]State{Restarted}, beliefs{-RestartNoticePeriod: false, tick - RestartNoticePeriod: true}},
		"restarted, then unnamed":  {[]State{Restarted, Unnamed}, beliefs{tick: true}},
		"restarted, then living":   {[]State{Restarted, Lives}, beliefs{tick: false}},
		"refusing, then restarted": {[]State{Refuses, Restarted}, beliefs{-tick: true}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var b Belief
			for _, state := range c.states {
				b = b.WithFinding(found, Finding{State: state})
			}
			for began, doubted := range c.doubted {
				assert.Equal(t, doubted, b.DoubtedAt(found.Add(2*tick), found.Add(began)), "an answer that began %v later", began)
			}
		})
	}
}

// TestDoubtOutlastsItsEvidence guards against a doubt that nothing ends, and against one that ends although another process has answered.
func TestDoubtOutlastsItsEvidence(t *testing.T) {
	t.Parallel()
	found := time.Unix(100, 0)
	for state, lasts := range map[State]bool{Silent: false, Refuses: false, Replaced: false, Restarted: true} {
		b := Belief{}.WithFinding(found, Finding{State: state})
		assert.True(t, b.Doubted(found.Add(doubtPeriod/2)), state)
		assert.Equal(t, lasts, b.Doubted(found.Add(2*doubtPeriod)), state)
		assert.False(t, b.WithRenewal().Doubted(found), state)
	}
}

package gateway

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
	"github.com/cassiabridge/cassiabridge/routing"
)

// endReplicas lists replicas and reports the end of each under a part, a second apart.
func endReplicas(c *testController, part string, count int, leaving bool) {
	for n := range count {
		replica := testReplica(fmt.Sprint(n))
		replica.Leaving = leaving
		c.ApplyReplicas(ReplicaUpdate{Listed: []placement.Replica{replica}})
		c.recordEnd([]string{part}, replica)
		c.flush()
		c.clock.advance(time.Second)
	}
}

func TestQuarantineOnAVM(t *testing.T) {
	verdict := func(c *testController) quarantine.Verdict { return c.decideParts([]string{"bad"}).Verdict }
	t.Run("replicas that end unplanned count", func(t *testing.T) {
		c := newTestController(t)
		endReplicas(c, "bad", 3, false)
		assert.Equal(t, quarantine.Refuse, verdict(c))
	})
	t.Run("replicas that were leaving do not", func(t *testing.T) {
		c := newTestController(t)
		endReplicas(c, "bad", 3, true)
		assert.Equal(t, quarantine.Admit, verdict(c))
	})
	t.Run("a VM that restarts with all others reads it from the copy", func(t *testing.T) {
		c := newTestController(t)
		endReplicas(c, "bad", 3, false)
		c.SetDeclarations(routing.Declarations{Version: 1})
		var records []follow.Record
		copies := CopyStore{
			Put: func(_ context.Context, key string, value []byte) error {
				records = append(records, follow.Record{Key: key, Value: value})
				return nil
			},
			Newest: func(context.Context) ([]follow.Record, error) { return records, nil },
		}
		state, _ := c.collectCopyState(t.Context())
		require.True(t, state.leader)
		c.writeCopy(t.Context(), copies, map[string]string{}, copyKeyQuarantine, state.quarantined)
		restarted := newTestController(t)
		assert.Equal(t, quarantine.Admit, verdict(restarted))
		restarted.RestoreCopy(t.Context(), copies)
		assert.Equal(t, quarantine.Refuse, verdict(restarted))
	})
}

func TestLoneVMNeverForgetsLimitsAndEvidence(t *testing.T) {
	c := newTestController(t)
	endReplicas(c, "bad", 1, false)
	c.observeLimit(testReplica("0"), ResponseInfo{RequestLimit: 2}, c.clock.now())
	c.flush()
	known := func() bool {
		return ask(c.Controller, func() bool { return c.limits.Any() || len(c.quarantine.Report(c.now())) > 0 })
	}
	require.True(t, known())
	for range 400 {
		c.clock.advance(time.Second)
		c.flush()
	}
	assert.False(t, known())
}

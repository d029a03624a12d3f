package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func planOptions(seed uint64) Options {
	return Options{Seed: seed, Duration: time.Minute, VMs: 3, Replicas: 8, Faults: AllKinds}
}

func TestSeedFixesThePlan(t *testing.T) {
	assert.Equal(t, NewPlan(planOptions(1)), NewPlan(planOptions(1)))
	assert.NotEqual(t, NewPlan(planOptions(1)).steps, NewPlan(planOptions(2)).steps)
}

func TestPlanHasOnlyTheGivenKinds(t *testing.T) {
	opts := planOptions(4)
	opts.Faults = Kinds{Network}
	plan := NewPlan(opts)
	assert.Empty(t, plan.steps)
	assert.False(t, plan.unframed)
	opts.Faults = Kinds{VMs}
	for _, s := range NewPlan(opts).steps {
		assert.Contains(t, s.target, "vm-")
	}
}

func TestKindsAreParsed(t *testing.T) {
	kinds, err := ParseKinds(AllKinds.String())
	require.NoError(t, err)
	assert.Equal(t, AllKinds, kinds)
	_, err = ParseKinds("network,weather")
	var soakErr *Error
	assert.ErrorAs(t, err, &soakErr)
}

func TestReplicasThatAreGoneHaveNoLaterFaults(t *testing.T) {
	plan := NewPlan(planOptions(4))
	gone := 0
	for n := range planOptions(4).Replicas {
		for k, f := range plan.stepsOf(replicaName(n)) {
			if f.action == actionGone {
				gone++
				assert.Len(t, plan.stepsOf(replicaName(n)), k+1)
			}
		}
	}
	assert.Positive(t, gone)
}

package soak

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestStreamsStayWholeUnderFaults guards against streams that reach callers out of order, in parts of two runs or cut.
func TestStreamsStayWholeUnderFaults(t *testing.T) {
	opts := Options{Seed: 4, Duration: 15 * time.Second, VMs: 3, Replicas: 8, Callers: 12, Binaries: []string{binary}, Dir: t.TempDir(), Out: os.Stdout,
		Faults: Kinds{Network, VMs, Replicas, Versions, StoreFaults, Joints, Repeats, Ends, Lengths, Copies}}
	report, err := Run(t.Context(), opts)
	require.NoError(t, err)
	assert.Empty(t, report.Breaches)
	assert.Positive(t, report.Completed)
}

// TestStreamsStayWholeWhereReplicasAreBackAtOnce guards against cut answers without framing that look whole once the next process listens.
func TestStreamsStayWholeWhereReplicasAreBackAtOnce(t *testing.T) {
	opts := Options{Seed: 8, Duration: 10 * time.Second, VMs: 3, Replicas: 8, Callers: 24, Binaries: []string{binary}, Dir: t.TempDir(), Out: os.Stdout,
		Direct: true, RestartDelay: time.Millisecond, Faults: Kinds{Reborn, Unframed}}
	report, err := Run(t.Context(), opts)
	require.NoError(t, err)
	assert.Empty(t, report.Breaches)
	assert.Positive(t, report.Completed)
}

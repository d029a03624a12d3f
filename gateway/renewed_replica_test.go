package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// TestReplicaBackWithItsVersionLosesItsStreams guards against streams that no VM goes on with since their replica has started again under its ID,
// although its new entry names the same software version.
func TestReplicaBackWithItsVersionLosesItsStreams(t *testing.T) {
	t.Parallel()
	for version, want := range map[string]string{"v1": "v1", "v2": resumption.DoubtedVersion} {
		t.Run(version, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, Stage: placement.StageDecode, SoftwareVersion: "v1", Address: "127.0.0.1:1"}
			runControl(t, s, replica)
			s.control.recordStreams([]string{"a"}, replica)
			s.recordProcess(replica, liveness.Finding{State: liveness.Restarted})
			assert.Equal(t, resumption.DoubtedVersion, s.control.streamOrigin(t.Context(), "a", "p").Version)
			renewed := replica
			renewed.Born, renewed.SoftwareVersion = 8, version
			s.control.ApplyReplicas(ReplicaUpdate{Next: 2, Listed: []placement.Replica{renewed}, versions: map[string]EntryVersion{"r": {Born: 8}}})
			assert.Equal(t, want, s.control.streamOrigin(t.Context(), "a", "p").Version)
			assert.False(t, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
		})
	}
}

// TestHeartbeatOfARestartedReplicaRenewsIt guards against a process that was found before its entry and counts as a new one with each further
// entry, so that it gets work although it has said that it is leaving, and with an entry of an older copy of the store.
func TestHeartbeatOfARestartedReplicaRenewsIt(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, Stage: placement.StageDecode, SoftwareVersion: "v1", Address: "127.0.0.1:1"}
	runControl(t, s, replica)
	s.recordProcess(replica, liveness.Finding{State: liveness.Restarted, Born: 8, At: time.Now()})
	renewed := replica
	renewed.Born = 8
	write := func(sequence int64, restored bool) {
		s.control.ApplyReplicas(ReplicaUpdate{Next: 2, Restored: restored, Listed: []placement.Replica{renewed}, versions: map[string]EntryVersion{"r": {Born: 8, Sequence: sequence}}})
	}
	write(1, false)
	s.control.observeLeaving(renewed, ResponseInfo{Leaving: true})
	serves := func() bool { return ask(s.control, func() bool { return s.control.scheduler.Serves("r") }) }
	assert.False(t, serves())
	write(2, false)
	assert.False(t, serves(), "a heartbeat")
	write(1, true)
	assert.False(t, serves(), "an entry of an older copy of the store")
	assert.True(t, s.control.hasAnswered(t.Context(), renewed, 8, time.Now()), "what was found before stays known")
}

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

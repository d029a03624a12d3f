package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// TestReplicaListedAgainEndsADoubt guards against what is believed of a process that is gone with its entry: answers and streams of it go on, and
// the next entry under its ID may be of the process that wrote them.
func TestReplicaListedAgainEndsADoubt(t *testing.T) {
	t.Parallel()
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, Stage: placement.StageDecode, SoftwareVersion: "v1", Address: "127.0.0.1:1"}
	remove := func(s *Server) { s.control.ApplyReplicas(ReplicaUpdate{Next: 2, Removed: []string{"r"}}) }
	list := func(s *Server, born int64, version string) {
		listed := replica
		listed.Born, listed.SoftwareVersion = born, version
		s.control.ApplyReplicas(ReplicaUpdate{Next: 3, Listed: []placement.Replica{listed}, versions: map[string]EntryVersion{"r": {Born: born}}})
	}
	for name, c := range map[string]struct {
		happens func(s *Server)
		// doubted is whether an answer that began before is of an unknown version, and origin the version of its stream.
		doubted bool
		origin  string
	}{
		"another process is found after the entry is gone": {func(s *Server) { remove(s); s.recordProcess(replica, liveness.Finding{State: liveness.Restarted}) }, true, resumption.DoubtedVersion},
		"the same entry is back": {func(s *Server) {
			s.recordProcess(replica, liveness.Finding{State: liveness.Restarted})
			remove(s)
			list(s, 7, "v1")
		}, true, resumption.DoubtedVersion},
		"the next process has another version": {func(s *Server) { remove(s); list(s, 8, "v2") }, true, resumption.DoubtedVersion},
		"the next process has the same version": {func(s *Server) {
			s.recordProcess(replica, liveness.Finding{State: liveness.Restarted})
			remove(s)
			list(s, 8, "v1")
		}, false, "v1"},
		"nothing is found": {remove, false, "v1"},
		"the process refuses after the entry is gone": {func(s *Server) { remove(s); s.recordProcess(replica, liveness.Finding{State: liveness.Refuses}) }, false, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			runControl(t, s, replica)
			s.control.recordStreams([]string{"a"}, replica)
			began := time.Now()
			c.happens(s)
			assert.Equal(t, c.doubted, s.control.isVersionDoubted("r", began))
			assert.Equal(t, c.origin, s.control.streamOrigin(t.Context(), "a", "p").Version)
		})
	}
}

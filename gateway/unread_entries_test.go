package gateway

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// TestReplicaReplacedInAnOutageKeepsItsVersion guards against streams that begin at a replica which was replaced in place, by another software
// version, while the store was away, and that go on at the version of its entry.
func TestReplicaReplacedInAnOutageKeepsItsVersion(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		report func(net.Conn)
		// lost is whether the store is known to be away when the stream begins, or else is found to be so later.
		lost    bool
		version string
	}{
		"another process":                         {say(200, "born 8"), true, resumption.DoubtedVersion},
		"the listed process":                      {say(200, "born 7"), true, "v1"},
		"another process, store found lost later": {say(200, "born 8"), false, resumption.DoubtedVersion},
		"the listed process, the same":            {say(200, "born 7"), false, "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			var asked atomic.Int32
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, Stage: placement.StageDecode, SoftwareVersion: "v1",
				Address: startReporter(t, func(net.Listener) {}, func(conn net.Conn) {
					asked.Add(1)
					c.report(conn)
				})}
			s.control.readList = func() {}
			runControl(t, s, replica)
			if c.lost {
				s.control.SetStoreReachable(false)
			}
			s.control.recordStreams([]string{"a"}, replica)
			if !c.lost {
				assert.Zero(t, asked.Load(), "nobody is asked while the list is read")
				s.control.SetStoreReachable(false)
			}
			version := func() string { return s.control.streamOrigin(t.Context(), "a", "p").Version }
			assert.Eventually(t, func() bool { return asked.Load() > 0 && version() == c.version }, 3*time.Second, 5*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
			assert.Equal(t, c.version, version())
		})
	}
}

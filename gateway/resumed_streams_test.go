package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// TestRestartedVMKnowsNoVersionsBeforeItsCopy guards against a VM that takes the only software version on the list for that of a
// stream which began before the VM started.
func TestRestartedVMKnowsNoVersionsBeforeItsCopy(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	newVM := func(copied map[string][]string) *Controller {
		c := NewController(peer.Identity{VM: "vm", Incarnation: "x"}, "zone", func(c *Controller) { c.now = func() time.Time { return now } }, WithSharedStore("127.0.0.1:1", func() {}))
		c.applyReplicas(now, ReplicaUpdate{Snapshot: true, Next: 1, Listed: []placement.Replica{{ID: "r", Pool: "p", Address: "127.0.0.1:2", SoftwareVersion: "v2"}}})
		if copied != nil {
			data, err := json.Marshal(copied)
			require.NoError(t, err)
			c.applyCopy([]follow.Record{{Key: copyKeyVersions, Value: data}})
			for len(c.events) > 0 {
				(<-c.events).run()
			}
		}
		return c
	}
	origin := func(c *Controller) (resumption.Origin, resumption.Unknown) {
		return c.streams.OriginOf(now, "attempt", "p", c.scheduler.SoftwareVersions("p"), true)
	}
	v2 := resumption.Origin{Pool: "p", Version: "v2"}
	t.Run("without a copy", func(t *testing.T) {
		c := newVM(nil)
		_, unknown := origin(c)
		assert.Equal(t, resumption.NoHistory, unknown)
		assert.Nil(t, c.streamVersions(), "a copy that lacks versions must not be written")
	})
	t.Run("the copy holds another version", func(t *testing.T) {
		c := newVM(map[string][]string{"p": {"v1"}})
		_, unknown := origin(c)
		assert.Equal(t, resumption.SeveralVersions, unknown)
		assert.Equal(t, map[string][]string{"p": {"v1", "v2"}}, c.streamVersions())
	})
	t.Run("the copy holds the same version", func(t *testing.T) {
		found, unknown := origin(newVM(map[string][]string{"p": {"v2"}}))
		assert.Equal(t, resumption.Known, unknown)
		assert.Equal(t, v2, found)
	})
	t.Run("an unreadable copy", func(t *testing.T) {
		c := newVM(nil)
		c.applyCopy([]follow.Record{{Key: copyKeyVersions, Value: []byte("{")}})
		for len(c.events) > 0 {
			(<-c.events).run()
		}
		_, unknown := origin(c)
		assert.Equal(t, resumption.NoHistory, unknown)
	})
	t.Run("a replica that restarts with another version", func(t *testing.T) {
		c := newVM(map[string][]string{"p": {"v2"}})
		c.applyReplicas(now, ReplicaUpdate{Next: 2, Listed: []placement.Replica{{ID: "r", Pool: "p", Address: "127.0.0.1:2", SoftwareVersion: "v3"}}})
		_, unknown := origin(c)
		assert.Equal(t, resumption.SeveralVersions, unknown)
	})
	t.Run("a replica that has gone", func(t *testing.T) {
		c := newVM(map[string][]string{"p": {"v2"}})
		c.applyReplicas(now, ReplicaUpdate{Next: 2, Listed: []placement.Replica{{ID: "r-3", Pool: "p", Address: "127.0.0.1:3", SoftwareVersion: "v3"}}})
		c.applyReplicas(now, ReplicaUpdate{Next: 3, Removed: []string{"r-3"}})
		assert.Equal(t, map[string][]string{"p": {"v2", "v3"}}, c.streamVersions())
	})
}

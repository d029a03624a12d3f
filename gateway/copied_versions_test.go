package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// TestVersionsAreNotCopied guards against a backup copy without the software versions at which streams may have begun, so that VMs which were all
// restarted go on with streams at another one.
func TestVersionsAreNotCopied(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := NewController(peer.Identity{VM: "vm", Incarnation: "x"}, "zone")
	go c.Run(ctx)
	c.SetDeclarations(routing.Declarations{Version: 1, Pools: []routing.Pool{{Name: "p"}}})
	c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Next: 1, Listed: []placement.Replica{{ID: "r", Pool: "p", Address: "127.0.0.1:1", SoftwareVersion: "v1"}}})
	copied := make(chan string, 16)
	go c.MaintainCopy(ctx, CopyStore{Era: func() uint64 { return 1 }, Newest: func(context.Context) ([]follow.Record, error) { return nil, nil },
		Put: func(_ context.Context, key string, value []byte) error {
			if key == copyKeyVersions {
				copied <- string(value)
			}
			return nil
		}})
	select {
	case versions := <-copied:
		assert.JSONEq(t, `{"p":["v1"]}`, versions)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the versions are not copied")
	}
}

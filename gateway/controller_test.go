package gateway

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// clock is a time that tests set.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

// controlled is a running controller with a clock of its own.
type controlled struct {
	*Controller
	t      *testing.T
	clock  *clock
	nudges int
	sent   chan peer.Beacon
}

func newControlled(t *testing.T) *controlled {
	t.Helper()
	c := &controlled{t: t, clock: &clock{at: start}, sent: make(chan peer.Beacon, 1000)}
	c.Controller = NewController(peer.Identity{VM: "vm-1", Incarnation: "x"}, "zone-a", WithNudge(func() { c.nudges++ }),
		WithBeacons(func(b peer.Beacon, _ []*net.UDPAddr) error {
			select {
			case c.sent <- b:
			default:
			}
			return nil
		}), func(c2 *Controller) { c2.now = c.clock.now })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

// settle waits until all that was posted has been done.
func (c *controlled) settle() { ask(c.Controller, func() bool { return true }) }

func (c *controlled) replicaIDs() []string {
	return ask(c.Controller, func() []string {
		var ids []string
		for _, r := range c.board.Replicas() {
			if !r.Doubtful {
				ids = append(ids, r.ID)
			}
		}
		return ids
	})
}

func replica(id string) placement.Replica {
	return placement.Replica{ID: id, Pool: "p", Address: "10.0.0." + id + ":1", Slots: 6}
}

func TestDeclarationsNeverGoBack(t *testing.T) {
	c := newControlled(t)
	assert.False(t, c.Ready())
	for _, version := range []uint64{3, 2, 5, 4} {
		c.SetDeclarations(routing.Declarations{Version: version})
	}
	c.settle()
	assert.Equal(t, uint64(5), c.Table().Version)
	assert.True(t, c.Ready())
	c.Leave()
	assert.False(t, c.Ready())
}

func TestReplicaEntries(t *testing.T) {
	t.Run("one that vanishes is gone", func(t *testing.T) {
		c := newControlled(t)
		c.ApplyReplicas(ReplicaUpdate{Whole: true, Listed: []placement.Replica{replica("1"), replica("2")}})
		c.ApplyReplicas(ReplicaUpdate{Removed: []string{"1"}})
		assert.Equal(t, []string{"2"}, c.replicaIDs())
		c.ApplyReplicas(ReplicaUpdate{Whole: true, Listed: []placement.Replica{replica("3")}})
		assert.Equal(t, []string{"3"}, c.replicaIDs())
	})
	t.Run("after an outage it may come back", func(t *testing.T) {
		c := newControlled(t)
		c.ApplyReplicas(ReplicaUpdate{Whole: true, Listed: []placement.Replica{replica("1"), replica("2")}})
		c.ApplyReplicas(ReplicaUpdate{Removed: []string{"1", "2"}, Outage: 5 * time.Second})
		assert.Empty(t, c.replicaIDs())
		c.ApplyReplicas(ReplicaUpdate{Listed: []placement.Replica{replica("2")}})
		assert.Equal(t, []string{"2"}, c.replicaIDs())
		known := func() int { return ask(c.Controller, func() int { return len(c.board.Replicas()) }) }
		assert.Equal(t, 2, known(), "the other is kept for need")
		c.clock.advance(returnGrace)
		c.settle()
		assert.Equal(t, 1, known(), "and then gone")
	})
	t.Run("one that had said that it leaves is not kept for need", func(t *testing.T) {
		c := newControlled(t)
		leaving := replica("1")
		leaving.Leaving = true
		c.ApplyReplicas(ReplicaUpdate{Whole: true, Listed: []placement.Replica{leaving}})
		c.ApplyReplicas(ReplicaUpdate{Removed: []string{"1"}, Outage: 5 * time.Second})
		assert.Zero(t, ask(c.Controller, func() int { return len(c.board.Replicas()) }))
	})
}

func TestReplicaUpdate(t *testing.T) {
	decode := func(id string, data []byte) (placement.Replica, error) {
		if string(data) == "bad" {
			return placement.Replica{}, errors.New("bad")
		}
		return replica(id), nil
	}
	update := NewReplicaUpdate(follow.Batch{Records: []follow.Record{
		{Key: "late", Value: []byte("x"), Offset: 9}, {Key: "gone", Value: []byte("x"), Offset: 2}, {Key: "gone", Offset: 3},
		{Key: "bad", Value: []byte("bad"), Offset: 4}, {Key: "early", Value: []byte("x"), Offset: 5}}}, decode)
	var listed []string
	for _, r := range update.Listed {
		listed = append(listed, r.ID)
	}
	assert.Equal(t, []string{"early", "late"}, listed, "in the order of the log")
	assert.Equal(t, []string{"gone", "bad"}, update.Removed)
	assert.Len(t, update.Unreadable, 1)
}

func listVM(c *controlled, name string) {
	c.ApplyVMs(follow.Batch{Records: []follow.Record{{Key: name, Value: []byte(`{"Address": "127.0.0.1:9"}`)}}})
}

func TestBeacons(t *testing.T) {
	beacon := func(sequence uint64) peer.Beacon {
		return peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: sequence, Loads: map[string]placement.Load{"1": {Requests: 7}}}
	}
	loadOfPeer := func(c *controlled) int {
		return ask(c.Controller, func() int { return c.board.PeerRequests("1") })
	}
	newPair := func(t *testing.T) *controlled {
		c := newControlled(t)
		c.ApplyReplicas(ReplicaUpdate{Whole: true, Listed: []placement.Replica{replica("1")}})
		listVM(c, "vm-2")
		return c
	}
	t.Run("loads count while the VM is heard", func(t *testing.T) {
		c := newPair(t)
		c.HearBeacon(beacon(1))
		assert.Equal(t, 7, loadOfPeer(c))
		c.clock.advance(silentAfter + time.Millisecond)
		c.settle()
		c.settle()
		assert.Zero(t, loadOfPeer(c))
	})
	t.Run("an older one is passed over", func(t *testing.T) {
		c := newPair(t)
		c.HearBeacon(beacon(5))
		old := beacon(4)
		old.Loads = nil
		c.HearBeacon(old)
		assert.Equal(t, 7, loadOfPeer(c))
	})
	t.Run("of a VM that is not listed", func(t *testing.T) {
		c := newControlled(t)
		c.ApplyReplicas(ReplicaUpdate{Whole: true, Listed: []placement.Replica{replica("1")}})
		c.HearBeacon(beacon(1))
		assert.Zero(t, loadOfPeer(c))
	})
	t.Run("newer declarations are read, but not again and again", func(t *testing.T) {
		c := newPair(t)
		c.SetDeclarations(routing.Declarations{Version: 3})
		for sequence := range uint64(10) {
			b := beacon(sequence + 1)
			b.Version = 4
			c.HearBeacon(b)
		}
		nudges := func() int { return ask(c.Controller, func() int { return c.nudges }) }
		assert.Equal(t, 1, nudges())
		c.clock.advance(nudgePause)
		b := beacon(20)
		b.Version = 4
		c.HearBeacon(b)
		assert.Equal(t, 2, nudges())
	})
	t.Run("what was spent elsewhere counts", func(t *testing.T) {
		c := newPair(t)
		c.SetDeclarations(routing.Declarations{Version: 1, Accounts: []routing.Account{{Name: "a", TokensPerSecond: 1, BurstTokens: 100}}})
		b := beacon(1)
		b.Spent = map[string]float64{"a": 90}
		c.HearBeacon(b)
		assert.False(t, c.admit("a", "p", 20).ok)
		assert.True(t, c.admit("a", "p", 10).ok)
	})
	t.Run("are sent at once when loads change", func(t *testing.T) {
		c := newPair(t)
		c.settle()
		for len(c.sent) > 0 {
			<-c.sent
		}
		c.clock.advance(beaconPause)
		c.release(99)
		select {
		case b := <-c.sent:
			assert.Equal(t, "vm-1", b.VM)
		case <-time.After(5 * time.Second):
			require.Fail(t, "no beacon was sent")
		}
	})
	t.Run("unreadable records of VMs are passed over", func(t *testing.T) {
		c := newControlled(t)
		for _, value := range []string{"", "{", `{"Address": "nowhere"}`} {
			c.ApplyVMs(follow.Batch{Records: []follow.Record{{Key: "vm-3", Value: []byte(value)}}})
		}
		assert.Zero(t, ask(c.Controller, func() int { return len(c.peers) }))
	})
}

func TestBeaconsBeforeDeclarations(t *testing.T) {
	c := newControlled(t)
	c.ListVM("vm-2", "127.0.0.1:9")
	beacon := peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: 1, Uptime: time.Hour, Spent: map[string]float64{"a": 1e6}, Levels: map[string]float64{"a": 60}}
	c.HearBeacon(beacon)
	c.SetDeclarations(routing.Declarations{Version: 1, Accounts: []routing.Account{{Name: "a", TokensPerSecond: 1, BurstTokens: 100}}})
	beacon.Sequence++
	c.HearBeacon(beacon)
	assert.False(t, c.admit("a", "p", 80).ok, "the level of the VM that had been running")
	assert.True(t, c.admit("a", "p", 50).ok, "what it had admitted before is not taken off")
}

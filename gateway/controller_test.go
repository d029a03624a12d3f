package gateway

import (
	"context"
	"errors"
	"net"
	"net/netip"
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

// fakeClock is a clock that tests advance.
type fakeClock struct {
	mu sync.Mutex
	at time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

// testController is a running Controller with a fake clock. It records the beacons that are sent.
type testController struct {
	*Controller
	t           *testing.T
	clock       *fakeClock
	refreshes   int
	sentBeacons chan peer.Beacon
}

func newTestController(t *testing.T) *testController {
	t.Helper()
	c := &testController{t: t, clock: &fakeClock{at: start}, sentBeacons: make(chan peer.Beacon, 1000)}
	c.Controller = NewController(peer.Identity{VM: "vm-1", Incarnation: "x"}, "zone-a", WithDeclarationsRefresh(func() { c.refreshes++ }),
		WithBeaconSender(func(b peer.Beacon, _ []*net.UDPAddr) error {
			select {
			case c.sentBeacons <- b:
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

// flush waits until all functions posted so far have run.
func (c *testController) flush() { ask(c.Controller, func() bool { return true }) }

func (c *testController) trustedReplicaIDs() []string {
	return ask(c.Controller, func() []string {
		var ids []string
		for _, r := range c.scheduler.Replicas() {
			if !r.Doubtful {
				ids = append(ids, r.ID)
			}
		}
		return ids
	})
}

func testReplica(id string) placement.Replica {
	return placement.Replica{ID: id, Pool: "p", Address: "10.0.0." + id + ":1", Slots: 6}
}

func TestOlderDeclarationsAreIgnored(t *testing.T) {
	c := newTestController(t)
	assert.False(t, c.Ready())
	for _, version := range []uint64{3, 2, 5, 4} {
		c.SetDeclarations(routing.Declarations{Version: version})
	}
	c.flush()
	assert.Equal(t, uint64(5), c.Table().Version)
	assert.True(t, c.Ready())
	c.Leave()
	assert.False(t, c.Ready())
}

func TestReplicaEntries(t *testing.T) {
	t.Run("a missing entry removes the replica", func(t *testing.T) {
		c := newTestController(t)
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{testReplica("1"), testReplica("2")}})
		c.ApplyReplicas(ReplicaUpdate{Removed: []string{"1"}})
		assert.Equal(t, []string{"2"}, c.trustedReplicaIDs())
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{testReplica("3")}})
		assert.Equal(t, []string{"3"}, c.trustedReplicaIDs())
	})
	t.Run("after an outage a missing entry may come back", func(t *testing.T) {
		c := newTestController(t)
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{testReplica("1"), testReplica("2")}})
		c.ApplyReplicas(ReplicaUpdate{Removed: []string{"1", "2"}, Outage: 5 * time.Second})
		assert.Empty(t, c.trustedReplicaIDs())
		c.ApplyReplicas(ReplicaUpdate{Listed: []placement.Replica{testReplica("2")}})
		assert.Equal(t, []string{"2"}, c.trustedReplicaIDs())
		known := func() int { return ask(c.Controller, func() int { return len(c.scheduler.Replicas()) }) }
		assert.Equal(t, 2, known(), "the missing one is kept as doubtful")
		c.clock.advance(recoveryGrace)
		c.flush()
		assert.Equal(t, 1, known(), "it is removed after the grace period")
	})
	t.Run("after a restore that no read saw as an outage a missing entry may come back", func(t *testing.T) {
		c := newTestController(t)
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{testReplica("1"), testReplica("2")}})
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Restored: true, Listed: []placement.Replica{testReplica("1")}})
		assert.Equal(t, []string{"1"}, c.trustedReplicaIDs())
		known := func() int { return ask(c.Controller, func() int { return len(c.scheduler.Replicas()) }) }
		assert.Equal(t, 2, known(), "the missing one is kept as doubtful")
	})
	t.Run("a leaving replica is removed even after an outage", func(t *testing.T) {
		c := newTestController(t)
		leaving := testReplica("1")
		leaving.Leaving = true
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{leaving}})
		c.ApplyReplicas(ReplicaUpdate{Removed: []string{"1"}, Outage: 5 * time.Second})
		assert.Zero(t, ask(c.Controller, func() int { return len(c.scheduler.Replicas()) }))
	})
}

func TestReplicaUpdate(t *testing.T) {
	decode := func(id string, data []byte) (ReplicaEntry, error) {
		if string(data) == "bad" {
			return ReplicaEntry{}, errors.New("bad")
		}
		return ReplicaEntry{Replica: testReplica(id)}, nil
	}
	update := NewReplicaUpdate(follow.Batch{Records: []follow.Record{
		{Key: "late", Value: []byte("x"), Offset: 9}, {Key: "gone", Value: []byte("x"), Offset: 2}, {Key: "gone", Offset: 3},
		{Key: "bad", Value: []byte("bad"), Offset: 4}, {Key: "early", Value: []byte("x"), Offset: 5}}}, decode)
	var listed []string
	for _, r := range update.Listed {
		listed = append(listed, r.ID)
	}
	assert.Equal(t, []string{"early", "late"}, listed, "ordered by offset")
	assert.Equal(t, []string{"gone", "bad"}, update.Removed)
	assert.Len(t, update.Unreadable, 1)
}

func applyTestVM(c *testController, name string) {
	c.ApplyVMRecords(follow.Batch{Records: []follow.Record{{Key: name, Value: []byte(`{"Address": "127.0.0.1:9"}`)}}})
}

// peerAddr is the address in the record of applyTestVM.
var peerAddr = netip.MustParseAddrPort("127.0.0.1:9")

func TestBeacons(t *testing.T) {
	beacon := func(sequence uint64) peer.Beacon {
		return peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: sequence, ReplicaLoads: map[string]placement.Load{"1": {Requests: 7}}}
	}
	peerRequests := func(c *testController) int {
		return ask(c.Controller, func() int { return c.scheduler.PeerInFlight("1") })
	}
	newPair := func(t *testing.T) *testController {
		c := newTestController(t)
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{testReplica("1")}})
		applyTestVM(c, "vm-2")
		return c
	}
	t.Run("loads of a peer are counted until it is silent", func(t *testing.T) {
		c := newPair(t)
		c.HandleBeacon(beacon(1), peerAddr)
		assert.Equal(t, 7, peerRequests(c))
		c.clock.advance(silenceTimeout + time.Millisecond)
		c.flush()
		c.flush()
		assert.Zero(t, peerRequests(c))
	})
	t.Run("an older beacon is ignored", func(t *testing.T) {
		c := newPair(t)
		c.HandleBeacon(beacon(5), peerAddr)
		old := beacon(4)
		old.ReplicaLoads = nil
		c.HandleBeacon(old, peerAddr)
		assert.Equal(t, 7, peerRequests(c))
	})
	addressOf := func(c *testController, vm string) string {
		return ask(c.Controller, func() string { return c.peers[vm].address.String() })
	}
	t.Run("a beacon of an unknown VM registers its sender", func(t *testing.T) {
		c := newTestController(t)
		c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Listed: []placement.Replica{testReplica("1")}})
		c.HandleBeacon(beacon(1), peerAddr)
		assert.Equal(t, 7, peerRequests(c))
		assert.Equal(t, peerAddr.String(), addressOf(c, "vm-2"))
	})
	t.Run("a process that starts at another address is registered there", func(t *testing.T) {
		c := newPair(t)
		moved := beacon(1)
		c.HandleBeacon(moved, peerAddr)
		moved.Incarnation = "z"
		movedAddr := netip.MustParseAddrPort("127.0.0.1:10")
		c.HandleBeacon(moved, movedAddr)
		assert.Equal(t, movedAddr.String(), addressOf(c, "vm-2"))
	})
	t.Run("an own beacon is ignored", func(t *testing.T) {
		c := newTestController(t)
		own := beacon(1)
		own.VM = "vm-1"
		c.HandleBeacon(own, peerAddr)
		assert.Zero(t, ask(c.Controller, func() int { return len(c.peers) }))
	})
	t.Run("newer declarations trigger a rate-limited refresh", func(t *testing.T) {
		c := newPair(t)
		c.SetDeclarations(routing.Declarations{Version: 3})
		for sequence := range uint64(10) {
			b := beacon(sequence + 1)
			b.Version = 4
			c.HandleBeacon(b, peerAddr)
		}
		refreshes := func() int { return ask(c.Controller, func() int { return c.refreshes }) }
		assert.Equal(t, 1, refreshes())
		c.clock.advance(minRefreshInterval)
		b := beacon(20)
		b.Version = 4
		c.HandleBeacon(b, peerAddr)
		assert.Equal(t, 2, refreshes())
	})
	t.Run("tokens spent on a peer are charged to the quota", func(t *testing.T) {
		c := newPair(t)
		c.SetDeclarations(routing.Declarations{Version: 1, Accounts: []routing.Account{{Name: "a", TokensPerSecond: 1, BurstTokens: 100}}})
		b := beacon(1)
		b.SpentTokens = map[string]float64{"a": 90}
		c.HandleBeacon(b, peerAddr)
		assert.False(t, c.admit("a", "p", 20).ok)
		assert.True(t, c.admit("a", "p", 10).ok)
	})
	t.Run("a load change sends a beacon at once", func(t *testing.T) {
		c := newPair(t)
		c.flush()
		for len(c.sentBeacons) > 0 {
			<-c.sentBeacons
		}
		c.clock.advance(minBeaconInterval)
		c.release(99)
		select {
		case b := <-c.sentBeacons:
			assert.Equal(t, "vm-1", b.VM)
		case <-time.After(5 * time.Second):
			require.Fail(t, "no beacon was sent")
		}
	})
	t.Run("invalid VM records are ignored", func(t *testing.T) {
		c := newTestController(t)
		for _, value := range []string{"", "{", `{"Address": "nowhere"}`} {
			c.ApplyVMRecords(follow.Batch{Records: []follow.Record{{Key: "vm-3", Value: []byte(value)}}})
		}
		assert.Zero(t, ask(c.Controller, func() int { return len(c.peers) }))
	})
}

func TestBeaconsBeforeDeclarations(t *testing.T) {
	c := newTestController(t)
	c.RegisterVM("vm-2", "127.0.0.1:9")
	beacon := peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: 1, Uptime: time.Hour, SpentTokens: map[string]float64{"a": 1e6}, BucketLevels: map[string]float64{"a": 60}}
	c.HandleBeacon(beacon, peerAddr)
	c.SetDeclarations(routing.Declarations{Version: 1, Accounts: []routing.Account{{Name: "a", TokensPerSecond: 1, BurstTokens: 100}}})
	beacon.Sequence++
	c.HandleBeacon(beacon, peerAddr)
	assert.False(t, c.admit("a", "p", 80).ok, "the level of the running peer applies")
	assert.True(t, c.admit("a", "p", 50).ok, "tokens that the peer spent before are not deducted")
}

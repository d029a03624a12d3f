package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/routing"
)

// TestLateBeaconOfAnEndedProcessIsApplied guards against a datagram of a VM's process before, which arrives after the first of the next one,
// and by which the VM counts as leaving and its tokens are charged again.
func TestLateBeaconOfAnEndedProcessIsApplied(t *testing.T) {
	c := newTestController(t)
	applyTestVM(c, "vm-2")
	c.SetDeclarations(routing.Declarations{Version: 1, Accounts: []routing.Account{{Name: "a", TokensPerSecond: 1, BurstTokens: 100}}})
	c.clock.advance(time.Minute)
	old := peer.Beacon{VM: "vm-2", Incarnation: "x", Sequence: 70, Uptime: 20 * time.Second, SpentTokens: map[string]float64{"a": 60}}
	c.HandleBeacon(old, peerAddr)
	c.HandleBeacon(peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: 1, Uptime: time.Second}, peerAddr)
	old.Sequence, old.Leaving = 71, true
	c.HandleBeacon(old, peerAddr)
	leaving := ask(c.Controller, func() bool { return c.peers["vm-2"].leaving })
	assert.False(t, leaving)
	assert.True(t, c.admit("a", "p", 35).ok, "60 of 100 tokens are spent")
}

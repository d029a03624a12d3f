package gateway

import (
	"net/netip"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/relay"
)

// Distances of peers through which connections can be opened. Bytes between zones and regions have a price.
const (
	sameZone = iota
	sameRegion
	otherRegion
	relayDistances
)

// maxRelayPeers bounds the number of peers of each distance that are considered.
const maxRelayPeers = 16

// WithPathCheck sets the function that reports whether this VM has no way of its own to the upstream at an address.
func WithPathCheck(isLost func(addr string) bool) Option {
	return func(c *Controller) { c.isPathLost = isLost }
}

// SetCutOff records whether this VM has no way of its own to upstreams that peers reach, and tells the peers. What it has held against
// upstreams before was its own fault.
func (c *Controller) SetCutOff(cutOff bool, lost int) {
	c.post(func() {
		c.cutOff, c.beacon.dirty = cutOff, true
		c.scheduler.ForgetFailures()
		c.log.Warn("upstream-paths", zap.Bool("CutOff", cutOff), zap.Int("Lost", lost), zap.Int("Peers", len(c.RelayPeers())))
	})
}

// RelayPeers returns peers through which connections to upstreams can be opened. It is safe for concurrent use.
func (c *Controller) RelayPeers() []relay.Peer {
	if peers := c.relayPeers.Load(); peers != nil {
		return *peers
	}
	return nil
}

// canRelay reports whether a VM can open connections for others: it has a way of its own, and says that it does so.
func canRelay(cutOff bool, capabilities peer.Capabilities) bool {
	return !cutOff && capabilities.Has(peer.RelaysConnections)
}

// updateRelayPeers determines the peers through which connections to upstreams can be opened.
func (c *Controller) updateRelayPeers() {
	var peers []relay.Peer
	var counts [relayDistances]int
	for name, p := range c.peers {
		distance := c.relayDistance(p)
		if !p.stays() || p.cutOff || counts[distance] == maxRelayPeers {
			continue
		}
		counts[distance]++
		peers = append(peers, relay.Peer{VM: name, Address: p.address.String(), Distance: distance})
	}
	c.relayPeers.Store(&peers)
}

func (c *Controller) relayDistance(p *peerState) int {
	switch {
	case p.zone == c.zone:
		return sameZone
	case c.sharesRegion(p):
		return sameRegion
	}
	return otherRegion
}

// AllowsRelay reports whether a VM at an IP address may have a connection to a target through this one: peers may, to upstreams. It is
// safe for concurrent use.
func (c *Controller) AllowsRelay(from netip.Addr, target string) bool {
	return ask(c, func() bool {
		isPeer := false
		for _, p := range c.peers {
			isPeer = isPeer || p.address.IP.Equal(from.AsSlice())
		}
		return isPeer && c.scheduler.HasAddress(target)
	})
}

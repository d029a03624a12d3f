package gateway

import (
	"net/netip"
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// reportStreams returns the streams of this VM that peers have to know.
func (c *Controller) reportStreams(now time.Time) resumption.Page {
	return c.streams.Report(now, c.poolsOfSeveralVersions())
}

// recordPeerStreams records the streams that a peer tells of, and asks it for those that this VM has missed.
func (c *Controller) recordPeerStreams(now time.Time, b peer.Beacon) {
	c.streams.RecordPeer(now, b.Streams.Streams)
	c.receipts.Add(b.VM, b.Incarnation, b.Streams)
	from, missed := c.receipts.TakeMissed(now, b.VM)
	if !missed {
		return
	}
	request := c.newMessage(peer.ScopeStreamsRequest)
	request.Streams = resumption.Page{From: from, Next: from}
	c.sendSummary(request, c.addressesOf([]string{b.VM}))
}

// handleStreamsMessage handles a message about streams, unless its sender is unknown.
func (c *Controller) handleStreamsMessage(b peer.Beacon, from netip.AddrPort) {
	p := c.peers[b.VM]
	if p == nil || !sameAddress(p.address, from) {
		return
	}
	now := c.now()
	switch {
	case b.Scope == peer.ScopeStreams:
		c.recordStreamsPage(now, p, b)
	case b.Scope == peer.ScopeStreamsRequest:
		answer := c.newMessage(peer.ScopeStreams)
		answer.Sequence = c.beacon.sequence
		answer.Streams = c.streams.PageFrom(now, b.Streams.From)
		c.sendSummary(answer, []peerAddress{p.address})
	case b.Question != nil:
		c.answerStreamsQuestion(now, p, *b.Question)
	case b.Answer != nil:
		c.recordStreamsAnswer(now, b.VM, *b.Answer)
	}
}

// recordStreamsPage records the streams of a page that this VM has asked for. One that a beacon has overtaken may hold origins that were
// corrected since.
func (c *Controller) recordStreamsPage(now time.Time, p *peerState, b peer.Beacon) {
	if b.Incarnation == p.incarnation && b.Sequence >= p.sequence {
		c.recordPeerStreams(now, b)
	}
}

package gateway

import (
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// declarationsRequestDelay is how long a VM that has heard of newer declarations waits for them before it asks, and
	// declarationsRequestInterval the time between two requests.
	declarationsRequestDelay    = 150 * time.Millisecond
	declarationsRequestInterval = 250 * time.Millisecond
)

// declarationRequests is what this VM asks others for, and what it has answered.
type declarationRequests struct {
	sentAt time.Time
	// near is the last VM of this region, and far that of another one, which has told of newer declarations.
	near, far teller
	// busyUntil is when what was sent last has passed the link.
	busyUntil time.Time
}

// teller is a VM that has told of newer declarations.
type teller struct {
	vm string
	at time.Time
}

// lately reports whether the teller has told of them lately.
func (t teller) lately(now time.Time) bool { return t.vm != "" && now.Sub(t.at) <= silenceTimeout }

// recordTeller records who tells of newer declarations, if it answers requests for them. A mate tells of its own; the sender of a summary may lack what its group knows.
func (c *Controller) recordTeller(now time.Time, b peer.Beacon) {
	p := c.peers[b.VM]
	near := c.declarations.requests.near
	switch {
	case p == nil || c.groups == nil || !c.passesOn(b.VM) || !operatorPositionOf(b).after(c.version(), c.zones.next):
	case b.Scope == peer.ScopeGroup && near.lately(now) && c.isMate(near.vm):
	case c.sharesRegion(p):
		c.declarations.requests.near = teller{b.VM, now}
	default:
		c.declarations.requests.far = teller{b.VM, now}
	}
}

// outdatedSince returns when this VM has first heard of the news that it lacks, or the zero time if it lacks none.
func (c *Controller) outdatedSince() time.Time {
	switch {
	case c.firstHeard.version > c.version():
		return c.firstHeard.at
	case c.zones.heard.after(c.zones.next):
		return c.zones.heardAt
	}
	return time.Time{}
}

// declarationsProvider returns the VM to ask for newer declarations, or an empty string. Another region is asked only if none of
// this one has them for a while.
func (c *Controller) declarationsProvider(now time.Time) string {
	r := c.declarations.requests
	switch {
	case r.near.lately(now):
		return r.near.vm
	case r.far.lately(now) && now.Sub(c.outdatedSince()) >= c.refreshWait():
		return r.far.vm
	}
	return ""
}

// declarationsRequestDueIn returns the time until this VM asks another one for newer declarations.
func (c *Controller) declarationsRequestDueIn(now time.Time) time.Duration {
	outdatedSince := c.outdatedSince()
	if !c.feedsDeclarations() || outdatedSince.IsZero() {
		return maxListReadInterval
	}
	return max(declarationsRequestInterval-now.Sub(c.declarations.requests.sentAt), declarationsRequestDelay-now.Sub(outdatedSince))
}

// requestDeclarationsIfDue asks another VM for newer declarations.
func (c *Controller) requestDeclarationsIfDue(now time.Time) {
	if c.declarationsRequestDueIn(now) > 0 {
		return
	}
	c.declarations.requests.sentAt = now
	provider := c.declarationsProvider(now)
	if provider == "" {
		return
	}
	request := c.newMessage(peer.ScopeDeclarationsRequest)
	request.EvacuationsEra, request.EvacuationsOffset = c.zones.next.era, c.zones.next.offset
	c.sendSummary(request, c.addressesOf([]string{provider}))
}

// handleDeclarationsRequest sends a VM the declarations in force if they are newer than its own. While the answers to others take this
// VM's link, there is none: the VM asks again.
func (c *Controller) handleDeclarationsRequest(b peer.Beacon) {
	now := c.now()
	lacks := c.operatorPosition().after(b.Version, listPosition{b.EvacuationsEra, b.EvacuationsOffset})
	if !c.feedsDeclarations() || !lacks || now.Before(c.declarations.requests.busyUntil) {
		return
	}
	size := c.sendDeclarations([]string{b.VM})
	c.declarations.requests.busyUntil = now.Add(time.Duration(size) * time.Second / declarationsBytesPerSecond)
}

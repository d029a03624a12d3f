package gateway

import (
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// listRequestDelay is how long a VM that has heard of a change waits for it before it asks, and listRequestInterval the time
	// between two requests.
	listRequestDelay    = 150 * time.Millisecond
	listRequestInterval = 300 * time.Millisecond
)

// listRequests is what this VM has asked others for of the list of replicas.
type listRequests struct {
	sentAt time.Time
	// count is the number of requests so far.
	count int
}

// listRequestDueIn returns the time until this VM asks another one for what it lacks of the list.
func (c *Controller) listRequestDueIn(now time.Time) time.Duration {
	if !c.feedsList() || c.readsForFleet() {
		return maxListReadInterval
	}
	wait := listRequestInterval - now.Sub(c.feed.requests.sentAt)
	switch {
	case !c.replicas.everRead && c.feed.listens.IsZero():
		return maxListReadInterval
	case !c.replicas.everRead:
		return max(wait, mateListenPeriod-now.Sub(c.feed.listens))
	case c.listSchedule.stale:
		return max(wait, listRequestDelay-now.Sub(c.listSchedule.staleAt))
	}
	return maxListReadInterval
}

// requestListIfDue asks another VM for what this one lacks of the list. Its provider may be lost, so each second request for changes
// goes to the VM that reads for all, which would not have the time to send all VMs the whole list.
func (c *Controller) requestListIfDue(now time.Time) {
	if c.listRequestDueIn(now) > 0 {
		return
	}
	provider := c.listProvider()
	if c.replicas.everRead && c.feed.requests.count%2 == 1 {
		provider = c.fleetReader()
	}
	c.feed.requests.sentAt = now
	c.feed.requests.count++
	if provider == "" {
		return
	}
	request := c.newListMessage(peer.ScopeListRequest, nil)
	request.ListEra, request.ListNext = c.listSchedule.next.era, c.listSchedule.next.offset
	if c.replicas.everRead {
		request.ListAge = now.Sub(c.listSchedule.ranAt)
	}
	c.sendSummary(request, c.addressesOf([]string{provider}))
}

// handleListRequest queues a VM that lacks some of the list, as far as this VM knows it.
func (c *Controller) handleListRequest(b peer.Beacon) {
	from := listPosition{b.ListEra, b.ListNext}
	if b.ListAge < 0 {
		from = noList
	}
	if !c.feedsList() || c.peers[b.VM] == nil || !c.replicas.everRead || from != noList && !c.listSchedule.next.after(from) {
		return
	}
	c.queueListRequest(b.VM, from)
}

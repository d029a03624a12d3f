package gateway

import (
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// wholeListInterval is the minimum time between two whole lists that a VM sends: they fill most of its link. wholeListRepeat is
	// the same for one receiver.
	wholeListInterval = 50 * time.Millisecond
	wholeListRepeat   = time.Second
	// wholeListPatience is how long a VM stays in the queue after it has last asked. It may have got the list elsewhere.
	wholeListPatience = 2*listRequestInterval + 100*time.Millisecond
)

// wholeLists is the queue of the VMs that this VM sends the whole list of replicas.
type wholeLists struct {
	waiting []string
	// askedAt is when a VM last asked, and sentAt when it was last sent the list, by name.
	askedAt, sentAt map[string]time.Time
	lastSentAt      time.Time
}

func newWholeLists() wholeLists {
	return wholeLists{askedAt: map[string]time.Time{}, sentAt: map[string]time.Time{}}
}

// add queues a VM, in front of the others if they can wait for it.
func (l *wholeLists) add(now time.Time, name string, first bool) {
	l.askedAt[name] = now
	if slices.Contains(l.waiting, name) || now.Sub(l.sentAt[name]) < wholeListRepeat {
		return
	}
	if first {
		l.waiting = slices.Insert(l.waiting, 0, name)
		return
	}
	l.waiting = append(l.waiting, name)
}

// dueIn returns the time until the next list is sent.
func (l *wholeLists) dueIn(now time.Time) time.Duration {
	if len(l.waiting) == 0 {
		return maxListReadInterval
	}
	return wholeListInterval - now.Sub(l.lastSentAt)
}

// take takes the next VM off the queue, or an empty string if none is left that has asked lately.
func (l *wholeLists) take(now time.Time) string {
	for len(l.waiting) > 0 {
		name := l.waiting[0]
		l.waiting = l.waiting[1:]
		if now.Sub(l.askedAt[name]) <= wholeListPatience {
			l.lastSentAt, l.sentAt[name] = now, now
			return name
		}
	}
	return ""
}

// queueWholeList queues a VM that lacks the whole list. Readers of other groups come first: their groups wait for them.
func (c *Controller) queueWholeList(name string) {
	c.feed.wholeLists.add(c.now(), name, !c.isMate(name))
}

// sendWholeListIfDue sends the whole list to the VM that is next in the queue.
func (c *Controller) sendWholeListIfDue(now time.Time) {
	if c.feed.wholeLists.dueIn(now) > 0 {
		return
	}
	if name := c.feed.wholeLists.take(now); name != "" {
		c.sendWholeList(now, name)
	}
}

// feedIfWithoutList queues a VM of the group that has not got a list yet.
func (c *Controller) feedIfWithoutList(b peer.Beacon) {
	if !c.feedsList() || b.ListAge >= 0 || b.Leaving || !c.replicas.everRead || !c.readsForGroup() {
		return
	}
	c.queueWholeList(b.VM)
}

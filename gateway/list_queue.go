package gateway

import (
	"math"
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// listBytesPerSecond is the rate at which a VM sends what others have asked for of the list, a part of the slowest links, and
	// listEntryBytes the size of an entry in a message.
	listBytesPerSecond = 1_000_000
	listEntryBytes     = 25
	// wholeListRepeat is the minimum time between two whole lists to the same VM.
	wholeListRepeat = time.Second
	// listQueuePatience is how long a VM stays in the queue after it has last asked. It may have got what it lacked elsewhere.
	listQueuePatience = 2*listRequestInterval + 100*time.Millisecond
)

// noList stands for the position of a VM that has no list.
var noList = listPosition{era: math.MaxUint64}

// listQueue holds the VMs that wait for what they lack of the list of replicas.
type listQueue struct {
	waiting []string
	// from is the position up to which a VM knows the list, or noList, and askedAt when it last asked, by name.
	from    map[string]listPosition
	askedAt map[string]time.Time
	// wholeAt is when a VM was last sent the whole list, by name.
	wholeAt map[string]time.Time
	// busyUntil is when what was sent last has passed the link.
	busyUntil time.Time
}

func newListQueue() listQueue {
	return listQueue{from: map[string]listPosition{}, askedAt: map[string]time.Time{}, wholeAt: map[string]time.Time{}}
}

// add queues a VM that knows the list up to a position, in front of the others if they can wait for it.
func (q *listQueue) add(now time.Time, name string, from listPosition, first bool) {
	q.askedAt[name], q.from[name] = now, from
	switch {
	case slices.Contains(q.waiting, name):
	case first:
		q.waiting = slices.Insert(q.waiting, 0, name)
	default:
		q.waiting = append(q.waiting, name)
	}
}

// dueIn returns the time until the next VM in the queue is sent what it lacks.
func (q *listQueue) dueIn(now time.Time) time.Duration {
	if len(q.waiting) == 0 {
		return maxListReadInterval
	}
	return q.busyUntil.Sub(now)
}

// take takes the next VM off the queue, or an empty string if none is left that has asked lately.
func (q *listQueue) take(now time.Time) string {
	for len(q.waiting) > 0 {
		name := q.waiting[0]
		q.waiting = q.waiting[1:]
		if now.Sub(q.askedAt[name]) <= listQueuePatience {
			return name
		}
	}
	return ""
}

// recordSent records that a number of entries have been sent.
func (q *listQueue) recordSent(now time.Time, entries int) {
	q.busyUntil = now.Add(time.Duration(entries*listEntryBytes) * time.Second / listBytesPerSecond)
}

// queueListRequest queues a VM that knows the list up to a position, or has none. Readers of other groups come first: their groups wait
// for them.
func (c *Controller) queueListRequest(name string, from listPosition) {
	c.feed.queue.add(c.now(), name, from, !c.isMate(name))
}

// answerListRequestIfDue sends the VM that is next in the queue what it lacks of the list.
func (c *Controller) answerListRequestIfDue(now time.Time) {
	if c.feed.queue.dueIn(now) > 0 {
		return
	}
	name := c.feed.queue.take(now)
	if name == "" {
		return
	}
	from := c.feed.queue.from[name]
	switch {
	case from != noList && c.feed.history.knows(from):
		_, entries := c.sendChanges(now, from, []string{name})
		c.feed.queue.recordSent(now, entries)
	case now.Sub(c.feed.queue.wholeAt[name]) >= wholeListRepeat:
		c.feed.queue.wholeAt[name] = now
		c.feed.queue.recordSent(now, c.sendWholeList(now, name))
	}
}

// feedIfWithoutList queues a VM of the group that has not got a list yet.
func (c *Controller) feedIfWithoutList(b peer.Beacon) {
	if !c.feedsList() || b.ListAge >= 0 || b.Leaving || !c.replicas.everRead || !c.readsForGroup() {
		return
	}
	c.queueListRequest(b.VM, noList)
}

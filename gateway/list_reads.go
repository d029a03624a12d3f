package gateway

import (
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// listReadInterval is the interval at which the first VM by rank reads the replica list. A replica must get no more
	// requests 2 s after its entry says that it is leaving.
	listReadInterval = 600 * time.Millisecond
	// maxListReadInterval is the maximum time between two reads by one VM if none of its peers confirms what it knows.
	maxListReadInterval = 10 * time.Second
	// minChangeReadInterval is the minimum time between two reads when a peer has announced a change. It grows with the
	// number of VMs, all of which read, up to maxChangeReadInterval, so that a change is still known after 2 s.
	minChangeReadInterval   = 300 * time.Millisecond
	maxChangeReadInterval   = time.Second
	changeReadIntervalPerVM = 12 * time.Millisecond
)

// listPosition is the offset after a record of the replica list. It holds in one era of the store: in the next one,
// the same offset names another record.
type listPosition struct {
	era, offset uint64
}

// after reports whether p is further than other.
func (p listPosition) after(other listPosition) bool {
	if p.era != other.era {
		return p.era > other.era
	}
	return p.offset > other.offset
}

// listReadSchedule decides when this VM reads the replica list. Entries are rewritten all the time but seldom change,
// so one VM polls the list on behalf of all, and announces changes in its beacons. When its reads stop, others take
// over.
type listReadSchedule struct {
	fleetTask
	// next is the position after the last record read, and changed the position after the last change seen.
	next    listPosition
	changed listPosition
	// vmCount is the number of VMs, and readers how many of them read the list when it has changed.
	vmCount, readers int
	// completeAt is a time of which this VM has read all that was written to the list before.
	completeAt time.Time
	// told is the furthest position of a change of which a peer has told.
	told listPosition
	// stale is whether a peer has seen a change that this VM has not read, staleAt since when, and staleWait how long another VM
	// is given to pass the change on.
	stale     bool
	staleAt   time.Time
	staleWait time.Duration
	// tookOver is whether this VM last read the list since nobody seemed to read it for all.
	tookOver bool
	// confirmedAt is when a peer last told that what this VM knows of the list is all there is up to a further position.
	confirmedAt time.Time
}

func newListReadSchedule() listReadSchedule {
	return listReadSchedule{fleetTask: fleetTask{interval: listReadInterval}}
}

// recordRead records a read of the list up to next. A read in a new era is a change by itself.
func (l *listReadSchedule) recordRead(now time.Time, next listPosition) {
	if next.era != l.next.era {
		l.recordChange(listPosition{era: next.era})
	}
	if next.after(l.next) {
		l.next = next
	}
	l.ranAt, l.stale = later(l.ranAt, now), l.told.after(l.next)
}

// recordChange records that the list has changed before position changed.
func (l *listReadSchedule) recordChange(changed listPosition) {
	if changed.after(l.changed) {
		l.changed = changed
	}
}

// recordPeerChange marks the list as stale if changed, the position after a peer's last change, has not been read yet.
func (l *listReadSchedule) recordPeerChange(now time.Time, changed listPosition) {
	if !changed.after(l.next) {
		return
	}
	if changed.after(l.told) {
		l.told = changed
	}
	if !l.stale {
		l.staleAt = now
	}
	l.stale = true
}

// dueIn returns the time until the next read, which is due if it is 0 or less.
func (l *listReadSchedule) dueIn(now time.Time) time.Duration {
	sinceOwn := now.Sub(l.lastOwn())
	if l.stale {
		interval := min(max(minChangeReadInterval, time.Duration(l.readers)*changeReadIntervalPerVM), maxChangeReadInterval)
		return max(interval-sinceOwn, l.staleWait-now.Sub(l.staleAt))
	}
	return min(l.fleetTask.dueIn(now), maxListReadInterval-now.Sub(later(l.lastOwn(), l.confirmedAt)))
}

// WithListReader sets the function that triggers a read of the replica list. Without it the Controller triggers no
// reads, and updates come from elsewhere, such as a reload of the settings.
func WithListReader(read func()) Option { return func(c *Controller) { c.readList = read } }

// recordListChange records the offset of an entry that changed the set of replicas, and announces it to the peers.
func (c *Controller) recordListChange(offset uint64) {
	c.listSchedule.recordChange(listPosition{c.listSchedule.next.era, offset + 1})
	c.beacon.dirty = true
}

// listNext returns the offset up to which this VM knows the list, or 0 if what it knows was not read from the store.
func (c *Controller) listNext() uint64 {
	if !c.replicas.everRead || c.listSchedule.next.era != c.listSchedule.changed.era {
		return 0
	}
	return c.listSchedule.next.offset
}

// confirmList moves this VM's position in the list on to that of a peer which lists the same replicas. Replicas rewrite their
// entries all the time, and a VM that did not move on would have to read all of that whenever the list has changed.
func (c *Controller) confirmList(now time.Time, b peer.Beacon) {
	next := c.listSchedule.next
	if c.advanceList == nil || !c.replicas.everRead || b.ListEra != next.era || b.ListNext <= next.offset || b.ListDigest != c.replicas.digest.Total {
		return
	}
	c.listSchedule.next.offset, c.listSchedule.confirmedAt = b.ListNext, now
	c.listSchedule.stale = len(c.replicas.doubtful) > 0 || c.listSchedule.told.after(c.listSchedule.next)
	c.advanceList(b.ListNext, b.ListEra)
}

// listReadDueIn returns the time until this VM should read the replica list.
func (c *Controller) listReadDueIn(now time.Time) time.Duration {
	switch {
	case c.readList == nil:
		return maxListReadInterval
	case c.replicas.everRead || !c.listSchedule.requestedAt.IsZero():
		return c.listSchedule.dueIn(now)
	case c.feedsList():
		return c.firstListReadDueIn(now)
	}
	return 0
}

// readListIfDue triggers a read of the replica list if one is due.
func (c *Controller) readListIfDue(now time.Time) {
	if c.listReadDueIn(now) > 0 {
		return
	}
	c.listSchedule.tookOver = !c.listSchedule.stale
	c.requestListRead(now)
}

// requestListRead triggers a read of the replica list.
func (c *Controller) requestListRead(now time.Time) {
	c.listSchedule.requestedAt = now
	c.readList()
}

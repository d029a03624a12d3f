package gateway

import (
	"time"
)

const (
	// listPace is the pause between two readings of the list of replicas by the VM that ranks first. A leaving replica
	// must get no more requests 2 s after it said so.
	listPace = 600 * time.Millisecond
	// listTakeover is how old the newest reading known of may be before another VM reads: the pace, the age of the
	// news itself, and some to spare.
	listTakeover = listPace + beaconPeriod + 100*time.Millisecond
	// rankPause keeps VMs from taking over all at once, and longestRankPause bounds how long the last one waits.
	rankPause        = 40 * time.Millisecond
	longestRankPause = 200 * time.Millisecond
	// ListOwnPace is the longest pause between two readings by one VM, whatever the others read.
	ListOwnPace = 10 * time.Second
	// newsPause is the least pause before a reading because another VM has seen a change.
	newsPause = 300 * time.Millisecond
)

// listReads decides when this VM reads the list of replicas. Entries are written all the time, but change seldom, so one
// VM reads for all, and says in its beacons that there is a change. When its readings stop, others take over.
type listReads struct {
	// readAt is when the list was read last, and askedAt when a reading was asked for.
	readAt  time.Time
	askedAt time.Time
	// next is the offset up to which this VM has read, and changed that after the last change it has seen.
	next    uint64
	changed uint64
	// behind says that another VM has seen a change that this one has not read.
	behind bool
}

func (l *listReads) answered(now time.Time, next uint64) {
	l.readAt, l.next, l.behind = now, max(l.next, next), false
}

// heard takes the offset after the last change that another VM has seen.
func (l *listReads) heard(changed uint64) {
	if changed > l.next {
		l.behind = true
	}
}

// dueIn returns when this VM reads the list. rank is how many VMs read before it, and peersRead when one of them has
// last read.
func (l *listReads) dueIn(now time.Time, rank int, peersRead time.Time) time.Duration {
	last := later(l.readAt, l.askedAt)
	if l.behind {
		return newsPause - now.Sub(last)
	}
	if rank == 0 {
		return listPace - now.Sub(last)
	}
	wait := listTakeover + min(time.Duration(rank)*rankPause, longestRankPause)
	return min(wait-now.Sub(later(last, peersRead)), ListOwnPace-now.Sub(last))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WithListReader sets what reads the list of replicas. Without it the list is read by others, such as at a reload.
func WithListReader(read func()) Option { return func(c *Controller) { c.readList = read } }

// noteListChange notes the offset of an entry that changed what is known of replicas, and has the peers told.
func (c *Controller) noteListChange(offset uint64) {
	c.reads.changed = max(c.reads.changed, offset+1)
	c.beacon.dirty = true
}

// listDueIn returns when this VM reads the list of replicas.
func (c *Controller) listDueIn(now time.Time) time.Duration {
	if c.readList == nil {
		return ListOwnPace
	}
	rank := 0
	var peersRead time.Time
	for name, p := range c.peers {
		if p.silent || p.heardAt.IsZero() || p.leaving {
			continue
		}
		if name < c.self.VM {
			rank++
		}
		peersRead = later(peersRead, p.listReadAt)
	}
	return c.reads.dueIn(now, rank, peersRead)
}

// readListIfDue has the list of replicas read when it is this VM's turn.
func (c *Controller) readListIfDue(now time.Time) {
	if c.listDueIn(now) > 0 {
		return
	}
	c.reads.askedAt = now
	c.readList()
}

package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/placement"
)

// entryReadInterval is the time between two reads of the list while an answer waits for the next entry of its replica.
const entryReadInterval = 200 * time.Millisecond

// entryWatch is an answer that waits for the entries of its replica.
type entryWatch struct {
	*liveness.Watch
	decide func(liveness.State)
	ctx    context.Context
}

// entryWatches holds the answers that wait for entries.
type entryWatches struct {
	open   []entryWatch
	readAt time.Time
}

// namesProcesses reports whether the list of replicas is read again and again, and names the process of a replica.
func (c *Controller) namesProcesses(replica placement.Replica) bool {
	return c.readList != nil && replica.Born != 0
}

// stoodStillSince reports whether this VM has stood still since a time, so that what it reads now may have ended long ago.
func (c *Controller) stoodStillSince(at time.Time) bool {
	return ask(c, func() bool {
		c.noticeStall(c.now())
		return c.stall.endedAt.After(at)
	})
}

// awaitEntry waits for evidence in the list of replicas that the process of a replica lives, until ctx is done.
func (c *Controller) awaitEntry(ctx context.Context, replica placement.Replica) liveness.State {
	found := make(chan liveness.State, 1)
	c.post(func() {
		watch := liveness.NewWatch(replica.ID, replica.Born, c.now())
		c.watches.open = append(c.watches.open, entryWatch{watch, func(s liveness.State) { found <- s }, ctx})
	})
	select {
	case state := <-found:
		return state
	case <-ctx.Done():
		return liveness.Silent
	}
}

// readWatchedEntries reads the list for the answers that wait for entries, if that is due.
func (c *Controller) readWatchedEntries(now time.Time) {
	c.watches.open = slices.DeleteFunc(c.watches.open, func(w entryWatch) bool { return w.ctx.Err() != nil })
	if c.watchesDueIn(now) > 0 {
		return
	}
	c.watches.readAt = now
	c.requestListRead(now)
}

// watchesDueIn returns the time until the list is read for answers that wait for entries.
func (c *Controller) watchesDueIn(now time.Time) time.Duration {
	if len(c.watches.open) == 0 {
		return maxListReadInterval
	}
	return entryReadInterval - now.Sub(c.watches.readAt)
}

// decideWatches decides the answers that wait for entries after a read of the list that was sent at a time.
func (c *Controller) decideWatches(sentAt time.Time) {
	c.watches.open = slices.DeleteFunc(c.watches.open, func(w entryWatch) bool {
		version, known := c.replicas.versions.newest[w.ID]
		if !known {
			return false
		}
		state := w.Read(sentAt, liveness.Entry{Born: version.Born, Sequence: version.Sequence})
		if state == liveness.Silent {
			return false
		}
		w.decide(state)
		return true
	})
}

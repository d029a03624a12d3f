package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/placement"
)

// entryFreshness is how old what is known of the list may be while its entries name the processes of replicas. The list is read every
// listReadInterval, and beacons tell of that.
const entryFreshness = 2 * time.Second

// listKnownAt returns when this VM or a peer last read the list.
func (c *Controller) listKnownAt() time.Time {
	return later(c.listSchedule.ranAt, c.listSchedule.peerRanAt)
}

// entriesUnread reports whether the list is not read at present, so that a replica may have been replaced in place by one of another software
// version without a word.
func (c *Controller) entriesUnread(now time.Time) bool {
	return c.readList != nil && c.checkReplica != nil && (c.storeLost || now.Sub(c.listKnownAt()) > entryFreshness)
}

// doubtUnread puts the version of a replica's streams that begin now in doubt, if the list is not read, until its process has answered.
func (c *Controller) doubtUnread(now time.Time, replica placement.Replica) {
	if !c.entriesUnread(now) || !tellsOfProcess(replica) {
		return
	}
	c.scheduler.RecordProcess(now.Add(-time.Nanosecond), replica.ID, liveness.Finding{State: liveness.Silent})
	c.checkReplica(replica)
}

// doubtStreamsSinceRead puts the versions of the streams in doubt that have begun since the list was last read, until the processes of their
// replicas have answered.
func (c *Controller) doubtStreamsSinceRead(now time.Time) {
	if c.checkReplica == nil {
		return
	}
	since := c.listKnownAt()
	for id := range c.streams.ReplicasSince(since) {
		replica, listed := c.scheduler.Replica(id)
		if !listed || !tellsOfProcess(replica) {
			continue
		}
		if before, _ := c.scheduler.RecordProcess(since, id, liveness.Finding{State: liveness.Silent}); before.Doubted(since) {
			continue
		}
		streams := c.reassignStreams(now, replica, since)
		c.log.Info("streams-doubted", zap.String("Replica", id), zap.Int("Streams", streams), zap.Duration("ListAge", now.Sub(since)))
		c.checkReplica(replica)
	}
}

// tellsOfProcess reports whether a replica can be asked for the process that its entry names. Plain services do not answer that.
func tellsOfProcess(replica placement.Replica) bool {
	return replica.Born != 0 && replica.Stage != placement.StageNone
}

// checkDoubted asks a replica for its process and records what it finds.
func (s *Server) checkDoubted(replica placement.Replica) {
	go func() {
		s.recordProcess(replica, s.checkProcess(context.Background(), replica).FindingOf(replica.Born))
	}()
}

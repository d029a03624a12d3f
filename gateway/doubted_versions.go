package gateway

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

const (
	// silentCheckInterval is how often a replica that did not answer is asked for its process again, and maxSilentChecks how many times.
	// Together they last as long as the doubt about its software version.
	silentCheckInterval = time.Second
	maxSilentChecks     = 10
	// silencePatience is how long a stream waits for a silent replica if it can go on elsewhere. A sound one is silent for a second or so.
	silencePatience = 2 * time.Second
	// peerNoticeDelay is how long after a restart has been found all peers know that the version of a stream is in doubt. Its caller may
	// resume it there once it has broken.
	peerNoticeDelay = 40 * time.Millisecond
)

// noteRefusal marks a replica as ended if an error means that connections to it are refused.
func (s *Server) noteRefusal(replica placement.Replica, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.recordProcess(replica, liveness.Finding{State: liveness.Refuses})
	}
}

// recordProcess records what was found of the process of a replica. One that did not answer is asked again: the way to it may have been
// lost only.
func (s *Server) recordProcess(replica placement.Replica, found liveness.Finding) {
	s.control.recordProcess(replica, found, func() {
		if found.State == liveness.Silent {
			go s.askSilentReplica(replica)
		}
	})
}

// askSilentReplica asks a replica for its process until it answers.
func (s *Server) askSilentReplica(replica placement.Replica) {
	for range maxSilentChecks {
		time.Sleep(silentCheckInterval)
		found := s.checkProcess(context.Background(), replica).FindingOf(replica.Born)
		if found.State != liveness.Silent {
			s.control.recordProcess(replica, found, func() {})
			return
		}
	}
}

// recordProcess records what was found of the process of a replica. onDoubt is called if its software version is in doubt only since then.
func (c *Controller) recordProcess(replica placement.Replica, found liveness.Finding, onDoubt func()) {
	c.post(func() {
		listed, known := c.scheduler.LastListed(replica.ID)
		if !known || listed.Born != replica.Born {
			// The entry has been renewed since.
			return
		}
		now := c.now()
		before, after := c.scheduler.RecordProcess(now, replica.ID, found)
		switch found.State {
		case liveness.Lives:
			c.returnStreams(listed, before.DoubtedSince())
		case liveness.Restarted:
			c.reassignStreams(now, replica, after.DoubtedSince())
		}
		if after.Doubted(now) && !before.Doubted(now) {
			c.log.Info("replica-ended", zap.String("Replica", replica.ID), zap.String("Process", string(found.State)), zap.String("Address", replica.Address), zap.String("SoftwareVersion", replica.SoftwareVersion))
			onDoubt()
		}
	})
}

// returnStreams gives the streams that have begun at a replica since a time, while its process was in doubt, its version again: the process
// lives that was listed all the while. A zero time means that it was not in doubt.
func (c *Controller) returnStreams(replica placement.Replica, since time.Time) {
	if since.IsZero() {
		return
	}
	streams := c.giveStreams(c.now(), replica, since, originOf(replica))
	c.log.Info("replica-lives", zap.String("Replica", replica.ID), zap.Int("Streams", streams))
}

// isVersionDoubted reports whether the software version of a replica was in doubt when an answer of it began.
func (c *Controller) isVersionDoubted(id string, answerBeganAt time.Time) bool {
	return ask(c, func() bool { return c.scheduler.VersionDoubted(c.now(), id, answerBeganAt) })
}

// hasAnswered reports whether a process which is not the listed one had answered for a replica before a connection was opened, so that the
// answer on it is of that process. It waits until ctx is done at most.
func (c *Controller) hasAnswered(ctx context.Context, replica placement.Replica, born int64, openedAt time.Time) bool {
	answered, ok := askUntilDone(ctx, c, func() bool { return c.scheduler.HasAnswered(replica.ID, born, openedAt) })
	return ok && answered
}

// doubtRecentStreams records that the entry of a replica names another software version: the streams that have begun there lately may be of
// either.
func (c *Controller) doubtRecentStreams(now time.Time, old placement.Replica) {
	since := c.scheduler.MarkVersionChanged(now, old.ID)
	streams := c.reassignStreams(now, old, since)
	c.log.Info("replica-version-changed", zap.String("Replica", old.ID), zap.String("SoftwareVersion", old.SoftwareVersion), zap.Int("Streams", streams))
}

// reassignStreams records that streams which have begun at a replica since a time are of an unknown version, and tells peers. It returns
// their number.
func (c *Controller) reassignStreams(now time.Time, replica placement.Replica, since time.Time) int {
	return c.giveStreams(now, replica, since, resumption.Origin{Pool: replica.Pool, Version: resumption.DoubtedVersion})
}

// giveStreams gives the streams that have begun at a replica since a time an origin, and tells peers. It returns how many had another one.
func (c *Controller) giveStreams(now time.Time, replica placement.Replica, since time.Time, origin resumption.Origin) int {
	streams := c.streams.Reassign(now, replica.ID, since, origin)
	if streams > 0 {
		c.beacon.dirty = true
		c.announceStreams()
	}
	return streams
}

// errVersionUnconfirmed means that an answer may be of another process, with another software version, than the one that was asked.
var errVersionUnconfirmed = errors.New("the process that answers may have another software version")

// confirmVersion returns an error if a request that is held to a software version may be answered by another process than the one on the
// list. It asks after the answer has begun: the process that lives then has answered.
func (s *Server) confirmVersion(ctx context.Context, r *request, to placement.Replica, resp *exchange.Response) error {
	if !r.versions.Limited || resp.Status != http.StatusOK || s.protocol.ProcessRequest == nil {
		return nil
	}
	patience := ctx
	if r.state.WithOutcome(attempt.InDoubt).MayRun() {
		var cancel context.CancelFunc
		patience, cancel = context.WithTimeout(ctx, silencePatience)
		defer cancel()
	}
	found := s.awaitProcess(patience, to).FindingOf(to.Born)
	switch {
	case found.State.ConfirmsEnd():
		return nil
	case ctx.Err() != nil:
		// The caller has left before the check was over.
		return context.Cause(ctx)
	}
	s.log.Info("version-not-confirmed", zap.String("Request", r.info.Attempt), zap.String("Replica", to.ID), zap.String("Process", string(found.State)), zap.String("SoftwareVersion", to.SoftwareVersion))
	s.recordProcess(to, found)
	return errVersionUnconfirmed
}

package gateway

import (
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/placement"
)

// doubtedVersion is the software version of streams of which it is not known. No replica has it, so they are not resumed.
const doubtedVersion = "?"

// noteRefusal marks a replica as ended if an error means that connections to it are refused.
func (s *Server) noteRefusal(replica placement.Replica, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.control.markEnded(replica)
	}
}

// markEnded records that the process of a replica has ended.
func (c *Controller) markEnded(replica placement.Replica) {
	c.post(func() {
		c.scheduler.MarkEnded(c.now(), replica.ID)
		c.log.Info("replica-ended", zap.String("Replica", replica.ID), zap.String("Address", replica.Address), zap.String("SoftwareVersion", replica.SoftwareVersion))
	})
}

// isVersionDoubted reports whether the software version of a replica was in doubt when an answer of it began.
func (c *Controller) isVersionDoubted(id string, answerBeganAt time.Time) bool {
	return ask(c, func() bool { return c.scheduler.VersionDoubted(c.now(), id, answerBeganAt) })
}

package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// minStall is the time without a turn of the event loop from which on this VM has been frozen. A beacon is due sooner.
	minStall = 2 * beaconInterval
	// stallBacklogPeriod is how long after a stall messages may still be from before its end.
	stallBacklogPeriod = 200 * time.Millisecond
)

// stall tells when the event loop stood still, as on a VM that was frozen. What peers sent meanwhile has lain in the socket for
// an unknown part of that time.
type stall struct {
	// turnedAt is when it last ran by the steady clock, and timeOfDay by the time of day.
	turnedAt, timeOfDay time.Time
	// suspended is for how long the steady clock has stood still, as far as nobody has taken that into account.
	suspended time.Duration
	// period is the length of the last stall, which ended at endedAt.
	period  time.Duration
	endedAt time.Time
}

// recordTurn records that the event loop runs.
func (s *stall) recordTurn(now time.Time) { s.record(now, now.Round(0)) }

// record records that the event loop runs at a time by the steady clock, and a time of day. On a machine that was suspended the
// steady clock has stood still, and the time of day tells. One that is set forward looks the same.
func (s *stall) record(now, timeOfDay time.Time) {
	gap, gapOfDay := now.Sub(s.turnedAt), timeOfDay.Sub(s.timeOfDay)
	first := s.turnedAt.IsZero()
	s.turnedAt, s.timeOfDay = now, timeOfDay
	if first {
		return
	}
	if gapOfDay-gap >= minStall {
		s.suspended += gapOfDay - gap
		gap = gapOfDay
	}
	if gap >= minStall {
		s.period, s.endedAt = gap, now
	}
}

// takeSuspended returns for how long the steady clock has stood still since the last call.
func (s *stall) takeSuspended() time.Duration {
	suspended := s.suspended
	s.suspended = 0
	return suspended
}

// aged returns a message that is handled now. One that may have arrived during a stall tells of things that are older by up to
// the length of the stall.
func (s *stall) aged(now time.Time, b peer.Beacon) peer.Beacon {
	s.recordTurn(now)
	if s.period == 0 || now.Sub(s.endedAt) >= stallBacklogPeriod {
		return b
	}
	aged := b.Aged(s.period)
	// Whether two VMs started together is decided by uptimes, which are better too low by a moment than too high by a stall.
	aged.Uptime, aged.Members = b.Uptime, b.Members
	return aged
}

// noticeStall records that the event loop runs, and counts what is known as older by the time for which the steady clock has stood still.
func (c *Controller) noticeStall(now time.Time) {
	c.stall.recordTurn(now)
	if suspended := c.stall.takeSuspended(); suspended > 0 {
		c.log.Warn("clock-stood-still", zap.Duration("Period", suspended))
		c.ageEvidence(suspended)
	}
}

// ageEvidence counts what is known of peers and of the list of replicas as older by a period.
func (c *Controller) ageEvidence(by time.Duration) {
	times := []*time.Time{&c.listSchedule.ranAt, &c.listSchedule.peerRanAt}
	for _, p := range c.peers {
		times = append(times, &p.lastBeaconAt)
	}
	for _, at := range times {
		if !at.IsZero() {
			*at = at.Add(-by)
		}
	}
	c.peersChanged = true
}

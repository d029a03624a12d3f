package gateway

import (
	"time"

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
	turnedAt time.Time
	// period is the length of the last stall, which ended at endedAt.
	period  time.Duration
	endedAt time.Time
}

// recordTurn records that the event loop runs.
func (s *stall) recordTurn(now time.Time) {
	if gap := now.Sub(s.turnedAt); !s.turnedAt.IsZero() && gap >= minStall {
		s.period, s.endedAt = gap, now
	}
	s.turnedAt = now
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

package gateway

import "time"

const (
	// beaconInterval is the interval between beacons while nothing changes.
	beaconInterval = 400 * time.Millisecond
	// minBeaconInterval is the minimum time between two beacons.
	minBeaconInterval = 10 * time.Millisecond
	// minSpentBeaconInterval is the minimum time between two beacons if only token usage has changed.
	minSpentBeaconInterval = 100 * time.Millisecond
	// maxBeaconDatagrams is the number of datagrams per second that a VM whose state changes all the time sends to all
	// its peers together, until beaconInterval sets a lower bound.
	maxBeaconDatagrams = 400
)

// beaconSchedule decides when the next beacon is due. A beacon goes to each peer, so the interval between the beacons of
// a changing VM grows with the number of peers.
type beaconSchedule struct {
	sequence uint64
	sentAt   time.Time
	// dirty is whether anything but token usage has changed since sentAt, and tokensSpent whether tokens were spent.
	dirty       bool
	tokensSpent bool
}

// dueIn returns the time until the next beacon to a number of peers, which is due if it is 0 or less.
func (b *beaconSchedule) dueIn(now time.Time, peers int) time.Duration {
	since := now.Sub(b.sentAt)
	pace := min(time.Duration(peers)*time.Second/maxBeaconDatagrams, beaconInterval)
	switch {
	case b.dirty:
		return max(minBeaconInterval, pace) - since
	case b.tokensSpent:
		return max(minSpentBeaconInterval, pace) - since
	}
	return beaconInterval - since
}

package gateway

import "time"

const (
	// takeoverStagger is the additional wait for each rank, so that VMs do not take over at the same time.
	// maxTakeoverStagger limits the total.
	takeoverStagger    = 40 * time.Millisecond
	maxTakeoverStagger = 200 * time.Millisecond
	// takeoverMargin is added to the interval of a task and the maximum age of a beacon to get the age of the latest known
	// run after which another VM takes over.
	takeoverMargin = 100 * time.Millisecond
)

// fleetTask decides when this VM runs a periodic task that one VM, the first by rank, runs on behalf of all. When its runs
// stop, others take over.
type fleetTask struct {
	// interval is the time between two runs by the first VM.
	interval time.Duration
	// ranAt is when this VM last completed the task, and requestedAt when it last started it.
	ranAt       time.Time
	requestedAt time.Time
	// peerRanAt is when a peer last completed it.
	peerRanAt time.Time
	// rank is the number of VMs that take precedence over this one.
	rank int
	// patience is the additional time for which this VM waits before it takes over.
	patience time.Duration
}

// recordPeerRun records that a peer completed the task at the given time.
func (f *fleetTask) recordPeerRun(at time.Time) { f.peerRanAt = later(f.peerRanAt, at) }

// lastOwn returns when this VM last started or completed the task.
func (f *fleetTask) lastOwn() time.Time { return later(f.ranAt, f.requestedAt) }

// dueIn returns the time until this VM runs the task, which is due if it is 0 or less.
func (f *fleetTask) dueIn(now time.Time) time.Duration {
	if f.rank == 0 {
		return f.interval - now.Sub(f.lastOwn())
	}
	wait := f.interval + beaconInterval + takeoverMargin + min(time.Duration(f.rank)*takeoverStagger, maxTakeoverStagger) + f.patience
	return wait - now.Sub(later(f.lastOwn(), f.peerRanAt))
}

// age returns the time since this VM last completed the task, or a negative time if it never has.
func (f *fleetTask) age(now time.Time) time.Duration {
	if f.ranAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(f.ranAt)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

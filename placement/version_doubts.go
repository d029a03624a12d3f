package placement

import (
	"time"

	"github.com/cassiabridge/cassiabridge/liveness"
)

// RecordProcess records what was found at a time of the process of a replica, and returns what was believed of it before and is now. Both
// are zero if the replica is not listed.
func (s *Scheduler) RecordProcess(now time.Time, id string, state liveness.State) (before, after liveness.Belief) {
	r := s.replicas[id]
	if r == nil {
		return before, after
	}
	before = r.process
	r.process = before.WithState(now, state)
	return before, r.process
}

// MarkVersionChanged records that the entry of a replica, which is about to be renewed, names another software version. It returns since
// when that version may have answered.
func (s *Scheduler) MarkVersionChanged(now time.Time, id string) (since time.Time) {
	r := s.replicas[id]
	if r == nil {
		return now.Add(-liveness.RestartNoticePeriod)
	}
	r.process = r.process.WithVersionChange(now)
	return r.process.ChangedFrom()
}

// VersionDoubted reports whether the software version of a replica was in doubt already at a time.
func (s *Scheduler) VersionDoubted(now time.Time, id string, at time.Time) bool {
	r := s.replicas[id]
	return r != nil && r.process.DoubtedAt(now, at)
}

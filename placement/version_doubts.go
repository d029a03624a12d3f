package placement

import (
	"time"

	"github.com/cassiabridge/cassiabridge/liveness"
)

// removedMemory is how long removed replicas are remembered for the answers that began at them.
const removedMemory = 2 * time.Minute

// removedReplica is a replica whose entry is gone, and what is believed of its process. Answers that began there may still be under way.
type removedReplica struct {
	Replica
	process   liveness.Belief
	removedAt time.Time
}

// rememberRemoved keeps what is believed of the process of a replica that is removed, and forgets those that were removed long ago.
func (s *Scheduler) rememberRemoved(now time.Time, r *replica) {
	for id, removed := range s.removed {
		if now.Sub(removed.removedAt) > removedMemory {
			delete(s.removed, id)
		}
	}
	s.removed[r.ID] = &removedReplica{r.Replica, r.process, now}
}

// LastListed returns a replica as it is listed, or was until it was removed lately.
func (s *Scheduler) LastListed(id string) (Replica, bool) {
	if removed := s.removed[id]; removed != nil && s.replicas[id] == nil {
		return removed.Replica, true
	}
	return s.Replica(id)
}

// process returns what is believed of the process of a replica that is listed or was lately, or nil.
func (s *Scheduler) process(id string) *liveness.Belief {
	if r := s.replicas[id]; r != nil {
		return &r.process
	}
	if removed := s.removed[id]; removed != nil {
		return &removed.process
	}
	return nil
}

// RecordProcess records what was found at a time of the process of a replica, and returns what was believed of it before and is now. Both
// are zero if the replica has not been listed lately.
func (s *Scheduler) RecordProcess(now time.Time, id string, found liveness.Finding) (before, after liveness.Belief) {
	process := s.process(id)
	if process == nil {
		return before, after
	}
	before = *process
	*process = before.WithFinding(now, found)
	return before, *process
}

// ConfirmsStart reports whether a process that started at a time has been found to answer for a replica in place of the listed one.
func (s *Scheduler) ConfirmsStart(id string, born int64) bool {
	process := s.process(id)
	return process != nil && process.Confirms(born)
}

// HasAnswered reports whether another process than the listed one, which started at a time, was found to answer for a replica before a moment.
func (s *Scheduler) HasAnswered(id string, born int64, before time.Time) bool {
	process := s.process(id)
	return process != nil && process.HasAnswered(born, before)
}

// MarkVersionChanged records that the entry of a replica, which is about to be renewed, names another software version. It returns since
// when that version may have answered.
func (s *Scheduler) MarkVersionChanged(now time.Time, id string) (since time.Time) {
	process := s.process(id)
	if process == nil {
		return now.Add(-liveness.RestartNoticePeriod)
	}
	*process = process.WithVersionChange(now)
	return process.ChangedFrom()
}

// VersionDoubted reports whether the software version of a replica was in doubt already at a time.
func (s *Scheduler) VersionDoubted(now time.Time, id string, at time.Time) bool {
	process := s.process(id)
	return process != nil && process.DoubtedAt(now, at)
}

// processOf returns what is believed of the process of a replica that is about to be listed.
func (s *Scheduler) processOf(listed Replica) liveness.Belief {
	process := s.process(listed.ID)
	if process == nil {
		return liveness.Belief{}
	}
	last, _ := s.LastListed(listed.ID)
	if last.SoftwareVersion != listed.SoftwareVersion || last.Address != listed.Address {
		return process.WithRenewal()
	}
	return *process
}

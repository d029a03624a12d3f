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
	belief    liveness.Belief
	removedAt time.Time
}

// rememberRemoved keeps what is believed of the process of a replica that is removed, and forgets those that were removed long ago.
func (s *Scheduler) rememberRemoved(now time.Time, r *replica) {
	for id, removed := range s.removed {
		if now.Sub(removed.removedAt) > removedMemory {
			delete(s.removed, id)
		}
	}
	s.removed[r.ID] = &removedReplica{r.Replica, r.belief, now}
}

// LastListed returns a replica as it is listed, or was until it was removed lately.
func (s *Scheduler) LastListed(id string) (Replica, bool) {
	if removed := s.removed[id]; removed != nil && s.replicas[id] == nil {
		return removed.Replica, true
	}
	return s.Replica(id)
}

// belief returns what is believed of the process of a replica that is listed or was lately, or nil.
func (s *Scheduler) belief(id string) *liveness.Belief {
	if r := s.replicas[id]; r != nil {
		return &r.belief
	}
	if removed := s.removed[id]; removed != nil {
		return &removed.belief
	}
	return nil
}

// RecordProcess records what was found at a time of the process of a replica, and returns what was believed of it before and is now. Both
// are zero if the replica has not been listed lately.
func (s *Scheduler) RecordProcess(now time.Time, id string, found liveness.Finding) (before, after liveness.Belief) {
	belief := s.belief(id)
	if belief == nil {
		return before, after
	}
	before = *belief
	*belief = before.WithFinding(now, found)
	return before, *belief
}

// ConfirmsStart reports whether a process that started at a time has been found to answer for a replica in place of the listed one.
func (s *Scheduler) ConfirmsStart(id string, born int64) bool {
	belief := s.belief(id)
	return belief != nil && belief.Confirms(born)
}

// HasAnswered reports whether another process than the listed one, which started at a time, was found to answer for a replica before a moment.
func (s *Scheduler) HasAnswered(id string, born int64, before time.Time) bool {
	belief := s.belief(id)
	return belief != nil && belief.HasAnswered(born, before)
}

// MarkVersionChanged records that the entry of a replica, which is about to be renewed, names another software version. It returns since
// when that version may have answered.
func (s *Scheduler) MarkVersionChanged(now time.Time, id string) (since time.Time) {
	belief := s.belief(id)
	if belief == nil {
		return now.Add(-liveness.RestartNoticePeriod)
	}
	*belief = belief.WithVersionChange(now)
	return belief.ChangedFrom()
}

// VersionDoubted reports whether the software version of a replica was in doubt already at a time.
func (s *Scheduler) VersionDoubted(now time.Time, id string, at time.Time) bool {
	belief := s.belief(id)
	return belief != nil && belief.DoubtedAt(now, at)
}

// beliefWhenListed returns what is believed of the process of a replica that is about to be listed.
func (s *Scheduler) beliefWhenListed(listed Replica) liveness.Belief {
	belief := s.belief(listed.ID)
	if belief == nil {
		return liveness.Belief{}
	}
	last, _ := s.LastListed(listed.ID)
	if last.SoftwareVersion != listed.SoftwareVersion || last.Address != listed.Address {
		return belief.WithRenewal()
	}
	return *belief
}

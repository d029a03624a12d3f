package placement

import "time"

// MarkEnded records that the process of a replica has ended. Until its entry is renewed, which software the process
// has that answers there later is not known. MarkEnded reports whether that was not in doubt before.
func (s *Scheduler) MarkEnded(now time.Time, id string) bool {
	r := s.replicas[id]
	if r == nil {
		return false
	}
	if r.versionDoubted(now) {
		r.onlySilent = false
		return false
	}
	r.endedAt, r.onlySilent = now, false
	return true
}

// MarkSilent records that nothing was heard of the process of a replica, which may have ended. It reports whether that was not in doubt before.
func (s *Scheduler) MarkSilent(now time.Time, id string) bool {
	r := s.replicas[id]
	if r == nil || r.versionDoubted(now) {
		return false
	}
	r.endedAt, r.onlySilent = now, true
	return true
}

// MarkAnswering records that the process of a replica, which was silent, answers and does not say whether it is the listed one.
func (s *Scheduler) MarkAnswering(id string) {
	if r := s.replicas[id]; r != nil && r.onlySilent {
		r.endedAt, r.onlySilent = time.Time{}, false
	}
}

// MarkRestarted records that another process than the listed one answers under the ID of a replica. It returns since when it may do so.
func (s *Scheduler) MarkRestarted(now time.Time, id string) (since time.Time) {
	since = now.Add(-RestartNoticePeriod)
	r := s.replicas[id]
	if r == nil {
		return since
	}
	r.onlySilent = false
	if r.versionDoubted(now) && r.endedAt.Before(since) {
		return r.endedAt
	}
	r.endedAt = since
	return since
}

// MarkLiving records that the listed process of a replica has been found to live. It returns since when that was in doubt, or zero.
func (s *Scheduler) MarkLiving(id string) (since time.Time) {
	if r := s.replicas[id]; r != nil {
		since = r.endedAt
		r.endedAt, r.onlySilent = time.Time{}, false
	}
	return since
}

// MarkVersionChanged records that the entry of a replica, which is about to be renewed, names another software version. It returns since
// when that version may have answered.
func (s *Scheduler) MarkVersionChanged(now time.Time, id string) (since time.Time) {
	since = now.Add(-RestartNoticePeriod)
	r := s.replicas[id]
	if r == nil {
		return since
	}
	if r.versionDoubted(now) && r.endedAt.Before(since) {
		since = r.endedAt
	}
	r.changedFrom, r.changedUntil = since, now
	return since
}

// VersionDoubted reports whether the software version of a replica was in doubt already at a time.
func (s *Scheduler) VersionDoubted(now time.Time, id string, at time.Time) bool {
	r := s.replicas[id]
	return r != nil && (r.versionDoubted(now) && r.endedAt.Before(at) || r.answeredInChange(at))
}

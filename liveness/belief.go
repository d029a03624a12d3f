package liveness

import "time"

const (
	// doubtPeriod is how long it is in doubt whether another process answers for a replica, if none is found and its entry is not renewed.
	doubtPeriod = 10 * time.Second
	// RestartNoticePeriod is for how long a process that has started again may serve while its entry is still that of the one before.
	RestartNoticePeriod = 3 * time.Second
)

// Belief is what is believed of the process that answers for a replica: whether it is the listed one, since when that is in doubt, and on
// which evidence. The zero value is that of a listed process that nothing speaks against. A Belief is immutable.
type Belief struct {
	// since is since when another process may answer, or zero, and evidence is the state that says so.
	since    time.Time
	evidence State
	// restarted is the start of the other process that was found last, in Unix milliseconds by its own clock, or 0, and restartedAt when it
	// answered for the first time.
	restarted   int64
	restartedAt time.Time
	// changedFrom and changedUntil are since when another software version than the listed one may have answered, and until when, the last
	// time that the version changed. They are zero if it has not.
	changedFrom, changedUntil time.Time
}

// WithFinding returns the Belief after a check has found something of the process at a time.
func (b Belief) WithFinding(now time.Time, found Finding) Belief {
	switch found.State {
	case Lives:
		b.restarted, b.restartedAt = 0, time.Time{}
		return b.WithRenewal()
	case Unnamed:
		if b.evidence == Silent {
			return b.WithRenewal()
		}
	case Silent:
		if !b.Doubted(now) {
			b.since, b.evidence = now, Silent
		}
	case Refuses, Replaced:
		if !b.Doubted(now) {
			b.since = now
		}
		if b.evidence != Restarted {
			b.evidence = found.State
		}
	case Restarted:
		b.since, b.evidence = b.restartedSince(now), Restarted
		if b.restarted != found.Born {
			b.restarted, b.restartedAt = found.Born, found.At
		}
	}
	return b
}

// WithRenewal returns the Belief after the process of the newest entry has been found to answer.
func (b Belief) WithRenewal() Belief {
	b.since, b.evidence = time.Time{}, ""
	return b
}

// WithVersionChange returns the Belief when the entry of the replica, which is about to be renewed, names another software version.
func (b Belief) WithVersionChange(now time.Time) Belief {
	b.changedFrom, b.changedUntil = b.restartedSince(now), now
	return b
}

// restartedSince returns since when another process may have answered that is found at a time.
func (b Belief) restartedSince(now time.Time) time.Time {
	since := now.Add(-RestartNoticePeriod)
	if b.Doubted(now) && b.since.Before(since) {
		return b.since
	}
	return since
}

// Confirms reports whether an entry of a process that started at a time is of the one that was found in place of the listed one. Clocks may
// go back between two processes, so that the later one is not the one with the later start.
func (b Belief) Confirms(born int64) bool {
	return b.evidence == Restarted && b.restarted != 0 && b.restarted == born
}

// HasAnswered reports whether another process than the listed one, which started at a time, was found to answer before a moment.
func (b Belief) HasAnswered(born int64, before time.Time) bool {
	return b.restarted == born && !b.restartedAt.IsZero() && b.restartedAt.Before(before)
}

// DoubtedSince returns since when another process than the listed one may answer, or zero.
func (b Belief) DoubtedSince() time.Time { return b.since }

// ChangedFrom returns since when the software version of the newest entry may have answered, or zero if the version has not changed.
func (b Belief) ChangedFrom() time.Time { return b.changedFrom }

// Doubted reports whether another process than the listed one may answer at a time, with another software version.
func (b Belief) Doubted(now time.Time) bool {
	return !b.since.IsZero() && (b.evidence == Restarted || now.Sub(b.since) < doubtPeriod)
}

// DoubtedAt reports whether an answer that began at a time may be of another software version than the listed one.
func (b Belief) DoubtedAt(now, began time.Time) bool {
	inChange := !began.Before(b.changedFrom) && began.Before(b.changedUntil)
	return inChange || b.Doubted(now) && b.since.Before(began)
}

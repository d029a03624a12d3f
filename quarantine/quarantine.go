// Package quarantine finds the parts of prompts, and the whole requests, that end the replicas that answer them, and decides
// which requests may run.
//
// A part is something that several requests share, or a whole request: its path, its account and its body, as a hash.
// Each end of a replica counts against all shared parts of the requests whose answers had just begun there; an answer
// that lasts clears all of its parts. So a part that is in many requests is cleared soon after each end, whereas one that
// ends its replicas is never cleared. A suspected part runs one request at a time on all VMs, a quarantined one none but
// a trial now and then. The VMs exchange their evidence, and merge it in any order to the same result.
// The package performs no I/O, and callers pass in the current time.
package quarantine

import (
	"slices"
	"time"
)

const (
	// SurvivalPeriod is the time from the beginning of an answer after which its parts are cleared, even before its end.
	SurvivalPeriod = 2 * time.Second
	// suspicionMoments and quarantineMoments are the numbers of moments at which replicas ended that make a part
	// suspected and quarantined.
	suspicionMoments  = 1
	quarantineMoments = 3
	// soundFactor multiplies both for parts that were answered before.
	soundFactor = 2
	// momentPeriod is the time within which several ends count as one: replicas that lose power together end together.
	momentPeriod = 300 * time.Millisecond
	// maxEnds bounds the replicas that are kept for a part.
	maxEnds = 16
	// firstTrialDelay is the time from the quarantine to the first trial, and firstSoundTrialDelay that for parts that were
	// answered before. Each later delay is trialDelayFactor times as long, up to maxTrialDelay: a trial that fails costs a
	// replica.
	firstTrialDelay      = 2 * time.Minute
	firstSoundTrialDelay = 20 * time.Second
	trialDelayFactor     = 8
	maxTrialDelay        = 2 * time.Hour
	// evidenceExpiry is the time after its last end at which a part is no longer suspected, quarantineExpiry the time
	// without requests after which a part is no longer quarantined.
	evidenceExpiry   = time.Minute
	quarantineExpiry = 6 * time.Hour
	// clearedExpiry is how long cleared parts are kept, so that older evidence of other VMs does not count again.
	clearedExpiry = 2 * time.Minute
	// suspicionEnds and quarantineEnds are the numbers of replicas under which a whole request that was never answered is
	// suspected and quarantined. One request may be sent to two replicas; that three end while they run the same one by chance
	// is rare, and no other request waits for it.
	suspicionEnds  = 2
	quarantineEnds = 3
	// maxRequestTrials is the number of trials of a quarantined request: it has ended three replicas, which a part need not have.
	maxRequestTrials = 2
	// requestRetryAfter is the time after which a request that is on trial elsewhere can be sent again.
	requestRetryAfter = 500 * time.Millisecond
	// maxSuspects and maxSoundParts bound the memory.
	maxSuspects   = 512
	maxSoundParts = 4096
)

// Verdict is the decision on a request.
type Verdict int

// Verdicts.
const (
	// Admit means that the request may run.
	Admit Verdict = iota
	// Trial means that the request may run as the only one with its suspected parts. EndTrial must be called at its end.
	Trial
	// Busy means that another request with a suspected part is running.
	Busy
	// Refuse means that the request has a quarantined part.
	Refuse
)

// String returns the name of the verdict.
func (v Verdict) String() string { return [...]string{"Admit", "Trial", "Busy", "Refuse"}[v] }

// Decision is a verdict with its reasons.
type Decision struct {
	Verdict Verdict
	// Part is the part that decided, and Ends the number of replicas that ended under it. They are unset for Admit.
	Part string
	Ends int
	// RetryAfter is the time after which a request that may not run can be sent again.
	RetryAfter time.Duration
	// Claimed holds the parts that a Trial has for itself.
	Claimed []string
}

// Evidence is what the VMs know of one part. Evidence of a higher generation replaces that of a lower one; within a
// generation ends add up.
type Evidence struct {
	// Generation is the number of times that the part has been cleared.
	Generation uint64
	// Ends holds the IDs of the replicas that have ended under the part since it was last cleared.
	Ends []string
	// Moments is the number of moments at which they ended. Ends in quick succession have one moment.
	Moments int
	// Sound is whether the part has ever been answered.
	Sound bool
	// Trials is the number of trials since the part was quarantined.
	Trials int
}

// suspect is a part against which there is or was evidence.
type suspect struct {
	// request is whether this is a whole request.
	request    bool
	generation uint64
	// ends holds the IDs of the replicas that ended under the part.
	ends []string
	// moments is the number of moments at which they ended, the last of them at lastMomentAt.
	moments      int
	lastMomentAt time.Time
	sound        bool
	trials       int
	// quarantinedAt is zero unless the part is quarantined, triedAt is the time of the last trial.
	quarantinedAt time.Time
	triedAt       time.Time
	// ownTrials is the number of requests of this VM that run with the part as a trial.
	ownTrials int
	changedAt time.Time
	askedAt   time.Time
}

// Tracker holds the evidence that one VM knows. It is not safe for concurrent use.
type Tracker struct {
	suspects map[string]*suspect
	// sound holds the parts that were answered at this VM.
	sound map[string]bool
	// peerTrials holds the parts of which other VMs run a trial, by VM.
	peerTrials map[string][]string
}

// NewTracker returns a Tracker without evidence.
func NewTracker() *Tracker {
	return &Tracker{suspects: map[string]*suspect{}, sound: map[string]bool{}, peerTrials: map[string][]string{}}
}

// reaches reports whether there is as much evidence as a number of moments, or for a whole request that was never answered, of
// ends. A request that was answered may have run beside one that ends its replicas several times, as those have that are
// repeated all the time.
func (s *suspect) reaches(moments, ends int) bool {
	switch {
	case s.sound:
		return s.moments >= soundFactor*moments
	case s.request:
		return len(s.ends) >= ends
	}
	return s.moments >= moments
}

func (s *suspect) suspected() bool   { return s.reaches(suspicionMoments, suspicionEnds) }
func (s *suspect) quarantined() bool { return !s.quarantinedAt.IsZero() }

// addEnd adds the end of a replica.
func (s *suspect) addEnd(now time.Time, replica string) {
	if slices.Contains(s.ends, replica) || len(s.ends) >= maxEnds {
		return
	}
	s.ends = append(s.ends, replica)
	s.changedAt = now
	if s.moments == 0 || now.Sub(s.lastMomentAt) >= momentPeriod {
		s.moments++
		s.lastMomentAt = now
	}
}

// quarantineIfDue quarantines the part if there is enough evidence, and reports whether it was not before.
func (s *suspect) quarantineIfDue(now time.Time) bool {
	if s.quarantined() || !s.reaches(quarantineMoments, quarantineEnds) {
		return false
	}
	s.quarantinedAt = now
	return true
}

// clear removes the evidence and starts a generation.
func (s *suspect) clear(now time.Time, generation uint64) {
	*s = suspect{request: s.request, generation: generation, sound: s.sound, ownTrials: s.ownTrials, changedAt: now, askedAt: s.askedAt}
}

// trialDueAt returns the time from which a quarantined part may have its next trial.
func (s *suspect) trialDueAt() time.Time {
	delay, from := firstTrialDelay, s.quarantinedAt
	if s.sound {
		delay = firstSoundTrialDelay
	}
	if s.request && s.trials >= maxRequestTrials {
		return s.askedAt.Add(quarantineExpiry)
	}
	for range s.trials {
		delay, from = min(delay*trialDelayFactor, maxTrialDelay), s.triedAt
	}
	return from.Add(delay)
}

// suspect returns the entry of a part, and creates it if there is none.
func (t *Tracker) suspect(now time.Time, part string) *suspect {
	s := t.suspects[part]
	if s == nil {
		s = &suspect{request: isRequest(part), changedAt: now, askedAt: now}
		t.suspects[part] = s
	}
	return s
}

// removeExcess removes the parts with the least evidence, and of these those that changed first, until at most maxSuspects are
// left. Requests that ran once beside the end of a replica can't push out one that has ended several.
func (t *Tracker) removeExcess() {
	for len(t.suspects) > maxSuspects {
		oldest := ""
		for part, s := range t.suspects {
			if oldest == "" || s.expendableBefore(t.suspects[oldest]) {
				oldest = part
			}
		}
		delete(t.suspects, oldest)
	}
}

func (s *suspect) expendableBefore(other *suspect) bool {
	switch {
	case s.quarantined() != other.quarantined():
		return !s.quarantined()
	case len(s.ends) != len(other.ends):
		return len(s.ends) < len(other.ends)
	}
	return s.changedAt.Before(other.changedAt)
}

// RecordEnd records that a replica ended just after it began the answer to a request with these shared parts. It returns
// the parts that become quarantined.
func (t *Tracker) RecordEnd(now time.Time, parts []string, replica string) (quarantined []string) {
	for _, part := range parts {
		s := t.suspect(now, part)
		s.sound = s.sound || t.sound[part]
		s.addEnd(now, replica)
		if s.quarantineIfDue(now) {
			quarantined = append(quarantined, part)
		}
	}
	t.removeExcess()
	return quarantined
}

// RecordSurvival records that an answer to a request with these shared parts was complete, or lasted for SurvivalPeriod.
// It returns the parts that are cleared by it.
func (t *Tracker) RecordSurvival(now time.Time, parts []string) (cleared []string) {
	for _, part := range parts {
		t.markSound(part)
		s := t.suspects[part]
		if s == nil || len(s.ends) == 0 {
			continue
		}
		s.sound = true
		s.clear(now, s.generation+1)
		cleared = append(cleared, part)
	}
	return cleared
}

func (t *Tracker) markSound(part string) {
	if len(t.sound) >= maxSoundParts && !t.sound[part] {
		for other := range t.sound {
			delete(t.sound, other)
			break
		}
	}
	t.sound[part] = true
}

// Decide decides whether a request with these shared parts may run now.
func (t *Tracker) Decide(now time.Time, parts []string) Decision {
	var trial Decision
	for _, part := range parts {
		s := t.suspects[part]
		if s == nil || !s.suspected() || t.explainedByOthers(s, parts) {
			continue
		}
		s.askedAt = now
		decision := Decision{Part: part, Ends: len(s.ends)}
		switch {
		case s.quarantined() && (now.Before(s.trialDueAt()) || t.onTrial(part, s)):
			decision.Verdict, decision.RetryAfter = Refuse, max(s.trialDueAt().Sub(now), SurvivalPeriod)
			return decision
		case t.onTrial(part, s):
			decision.Verdict, decision.RetryAfter = Busy, s.busyRetryAfter()
			return decision
		}
		decision.Verdict, decision.Claimed = Trial, append(trial.Claimed, part)
		trial = decision
	}
	for _, part := range trial.Claimed {
		t.startTrial(now, t.suspects[part])
	}
	return trial
}

// busyRetryAfter returns the time after which a request with a part that is on trial can be sent again.
func (s *suspect) busyRetryAfter() time.Duration {
	if s.request {
		return requestRetryAfter
	}
	return SurvivalPeriod
}

// Any reports whether there is evidence against any part.
func (t *Tracker) Any() bool { return len(t.suspects) > 0 }

// explainedByOthers reports whether every end under a part of a request was also one under another part that the request
// does not have. Two parts that always came together cannot be told apart until a request has only one of them. Whole requests
// excuse nothing: many run at a replica when it ends, and each is tried alone soon.
func (t *Tracker) explainedByOthers(s *suspect, parts []string) bool {
	for part, other := range t.suspects {
		if other == s || other.request || len(other.ends) < len(s.ends) || slices.Contains(parts, part) {
			continue
		}
		if !slices.ContainsFunc(s.ends, func(replica string) bool { return !slices.Contains(other.ends, replica) }) {
			return true
		}
	}
	return false
}

// onTrial reports whether any VM runs a request with a part as a trial.
func (t *Tracker) onTrial(part string, s *suspect) bool {
	if s.ownTrials > 0 {
		return true
	}
	for _, parts := range t.peerTrials {
		if slices.Contains(parts, part) {
			return true
		}
	}
	return false
}

func (t *Tracker) startTrial(now time.Time, s *suspect) {
	s.ownTrials++
	if s.quarantined() {
		s.trials++
		s.triedAt = now
		s.changedAt = now
	}
}

// EndTrial ends a trial that claimed these parts.
func (t *Tracker) EndTrial(parts []string) {
	for _, part := range parts {
		if s := t.suspects[part]; s != nil && s.ownTrials > 0 {
			s.ownTrials--
		}
	}
}

// Expire removes evidence that is too old.
func (t *Tracker) Expire(now time.Time) {
	for part, s := range t.suspects {
		switch {
		case s.ownTrials > 0:
		case len(s.ends) == 0:
			if now.Sub(s.changedAt) > clearedExpiry {
				delete(t.suspects, part)
			}
		case s.quarantined() && now.Sub(s.askedAt) > quarantineExpiry, !s.quarantined() && now.Sub(s.changedAt) > evidenceExpiry:
			s.clear(now, s.generation+1)
		}
	}
}

// QuarantinedCount returns the number of quarantined parts.
func (t *Tracker) QuarantinedCount() int {
	count := 0
	for _, s := range t.suspects {
		if s.quarantined() {
			count++
		}
	}
	return count
}

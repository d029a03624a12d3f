package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxSharedParts bounds the parts in a report to other VMs.
	maxSharedParts = 24
	// sharePeriod is how long reports name a part that is not quarantined after a change. A fleet sends its reports from
	// each VM to all others several times a second, and plain ends of replicas leave many suspected parts.
	sharePeriod = 5 * time.Second
)

// OwnTrials returns the sorted parts of which this VM runs a trial.
func (t *Tracker) OwnTrials() []string {
	var parts []string
	for part, s := range t.suspects {
		if s.ownTrials > 0 {
			parts = append(parts, part)
		}
	}
	slices.Sort(parts)
	return parts
}

// SetPeerTrials replaces the parts of which another VM runs a trial.
func (t *Tracker) SetPeerTrials(vm string, parts []string) {
	if len(parts) == 0 {
		delete(t.peerTrials, vm)
		return
	}
	t.peerTrials[vm] = parts
}

// Report returns the evidence to send to the other VMs, whichever VM found it: on quarantined parts, and on those that have
// changed lately.
func (t *Tracker) Report(now time.Time) map[string]Evidence {
	var parts []string
	for part, s := range t.suspects {
		if s.quarantined() || now.Sub(s.changedAt) < sharePeriod {
			parts = append(parts, part)
		}
	}
	if len(parts) > maxSharedParts {
		slices.SortFunc(parts, func(a, b string) int {
			x, y := t.suspects[a], t.suspects[b]
			return cmp.Or(y.urgency(now)-x.urgency(now), y.changedAt.Compare(x.changedAt), cmp.Compare(a, b))
		})
		parts = parts[:maxSharedParts]
	}
	report := make(map[string]Evidence, len(parts))
	for _, part := range parts {
		report[part] = t.suspects[part].evidence()
	}
	return report
}

// urgency orders the parts in a report that is too short for all: first what has just been quarantined, then what others must
// know to quarantine it, then what is only repeated. A replica that ends leaves evidence against all that ran there.
func (s *suspect) urgency(now time.Time) int {
	recent := now.Sub(s.changedAt) < sharePeriod
	switch {
	case s.quarantined() && recent:
		return maxEnds + 1
	case recent:
		return len(s.ends)
	}
	return 0
}

// Quarantined returns the evidence on all quarantined parts.
func (t *Tracker) Quarantined() map[string]Evidence {
	quarantined := map[string]Evidence{}
	for part, s := range t.suspects {
		if s.quarantined() {
			quarantined[part] = s.evidence()
		}
	}
	return quarantined
}

func (s *suspect) evidence() Evidence {
	return Evidence{Generation: s.generation, Ends: slices.Clone(s.ends), Moments: s.moments, Sound: s.sound, Trials: s.trials}
}

// Merge adds evidence of other VMs. It returns the parts that become quarantined by it.
func (t *Tracker) Merge(now time.Time, report map[string]Evidence) (quarantined []string) {
	for _, part := range slices.Sorted(maps.Keys(report)) {
		if t.merge(now, part, report[part]) {
			quarantined = append(quarantined, part)
		}
	}
	t.removeExcess()
	return quarantined
}

// merge adds the evidence on one part and reports whether the part becomes quarantined by it.
func (t *Tracker) merge(now time.Time, part string, e Evidence) bool {
	s := t.suspect(now, part)
	if e.Generation < s.generation {
		// The sender has not heard that the part was cleared.
		if len(e.Ends) > 0 {
			s.changedAt = now
		}
		return false
	}
	s.sound = s.sound || e.Sound || t.sound[part]
	if e.Generation > s.generation {
		s.clear(now, e.Generation)
	}
	for _, replica := range e.Ends {
		s.addEnd(now, replica)
	}
	s.moments = max(s.moments, e.Moments)
	if e.Trials > s.trials {
		s.trials, s.triedAt = e.Trials, now
	}
	return s.quarantineIfDue(now)
}

package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is d after the start of a test.
func at(d time.Duration) time.Time { return startTime.Add(d) }

// endAt records the end of a new replica under the parts at each of the times.
func endAt(t *Tracker, parts []string, times ...time.Duration) {
	for _, d := range times {
		t.RecordEnd(at(d), parts, fmt.Sprint("r-", d))
	}
}

func assertVerdict(t *testing.T, want Verdict, tracker *Tracker, now time.Duration, parts ...string) Decision {
	t.Helper()
	decision := tracker.Decide(at(now), parts)
	assert.Equal(t, want, decision.Verdict, "%+v", decision)
	return decision
}

func TestPartsAreQuarantined(t *testing.T) {
	t.Run("a part is suspected after one end and quarantined after three", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"bad"}, 0)
		tracker.EndTrial(assertVerdict(t, Trial, tracker, time.Second, "bad").Claimed)
		endAt(tracker, []string{"bad"}, time.Second)
		assert.Equal(t, []string{"bad"}, tracker.RecordEnd(at(2*time.Second), []string{"bad"}, "r"))
		decision := assertVerdict(t, Refuse, tracker, 3*time.Second, "other", "bad")
		assert.Equal(t, Decision{Verdict: Refuse, Part: "bad", Ends: 3, RetryAfter: firstTrialDelay - time.Second}, decision)
		assertVerdict(t, Admit, tracker, 3*time.Second, "other")
	})
	t.Run("replicas that end together are one moment", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"a"}, 0, 10*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond)
		assertVerdict(t, Trial, tracker, time.Second, "a")
	})
	t.Run("the end of one replica counts once", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 5 {
			tracker.RecordEnd(at(time.Duration(n)*time.Second), []string{"a"}, "r")
		}
		assertVerdict(t, Trial, tracker, time.Second, "a")
	})
	t.Run("a suspected part runs one request at a time", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"a"}, 0)
		first := assertVerdict(t, Trial, tracker, time.Second, "a")
		assertVerdict(t, Busy, tracker, time.Second, "a")
		tracker.EndTrial(first.Claimed)
		assertVerdict(t, Trial, tracker, time.Second, "a")
	})
	t.Run("a part on trial at another VM is busy", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"a"}, 0)
		tracker.SetPeerTrials("vm-2", []string{"a"})
		assertVerdict(t, Busy, tracker, time.Second, "a")
		tracker.SetPeerTrials("vm-2", nil)
		assertVerdict(t, Trial, tracker, time.Second, "a")
	})
}

func TestSoundPartsAreNotQuarantined(t *testing.T) {
	t.Run("an answer that lasts clears the part", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"a"}, 0, time.Second)
		assert.Equal(t, []string{"a"}, tracker.RecordSurvival(at(2*time.Second), []string{"a", "b"}))
		assertVerdict(t, Admit, tracker, 3*time.Second, "a")
		endAt(tracker, []string{"a"}, 4*time.Second)
		assertVerdict(t, Admit, tracker, 5*time.Second, "a")
	})
	t.Run("a first part that came with the harmful one only is admitted without it", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"first", "bad"}, 0, time.Second, 2*time.Second)
		assertVerdict(t, Refuse, tracker, 3*time.Second, "first", "bad")
		assertVerdict(t, Admit, tracker, 3*time.Second, "first", "other")
		tracker.RecordSurvival(at(4*time.Second), []string{"first", "other"})
		assertVerdict(t, Refuse, tracker, 5*time.Second, "first", "bad")
		assertVerdict(t, Refuse, tracker, 5*time.Second, "second", "bad")
	})
	t.Run("the part that ends replicas with and without the other is found", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"bad", "companion"}, 0, time.Second, 2*time.Second)
		assertVerdict(t, Admit, tracker, 3*time.Second, "bad")
		endAt(tracker, []string{"bad"}, 3*time.Second)
		assertVerdict(t, Refuse, tracker, 4*time.Second, "bad")
		assertVerdict(t, Admit, tracker, 4*time.Second, "companion")
	})
	t.Run("a part that was answered before needs more evidence", func(t *testing.T) {
		tracker := NewTracker()
		tracker.RecordSurvival(at(0), []string{"a"})
		endAt(tracker, []string{"a"}, time.Second, 2*time.Second, 3*time.Second, 4*time.Second, 5*time.Second)
		tracker.EndTrial(assertVerdict(t, Trial, tracker, 6*time.Second, "a").Claimed)
		endAt(tracker, []string{"a"}, 7*time.Second)
		assertVerdict(t, Refuse, tracker, 8*time.Second, "a")
	})
	t.Run("old evidence expires", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"a"}, 0, time.Second)
		tracker.Expire(at(evidenceExpiry + 2*time.Second))
		assertVerdict(t, Admit, tracker, evidenceExpiry+2*time.Second, "a")
	})
}

func TestTrialsOfQuarantinedParts(t *testing.T) {
	quarantined := func() *Tracker {
		tracker := NewTracker()
		endAt(tracker, []string{"a"}, 0, time.Second, 2*time.Second)
		return tracker
	}
	due := 2*time.Second + firstTrialDelay
	t.Run("a trial that fails makes the next one later", func(t *testing.T) {
		tracker := quarantined()
		assertVerdict(t, Refuse, tracker, due-time.Millisecond, "a")
		trial := assertVerdict(t, Trial, tracker, due, "a")
		assertVerdict(t, Refuse, tracker, due, "a")
		endAt(tracker, []string{"a"}, due)
		tracker.EndTrial(trial.Claimed)
		assertVerdict(t, Refuse, tracker, due+firstTrialDelay, "a")
		assertVerdict(t, Trial, tracker, due+trialDelayFactor*firstTrialDelay, "a")
	})
	t.Run("a trial that succeeds clears the part", func(t *testing.T) {
		tracker := quarantined()
		trial := assertVerdict(t, Trial, tracker, due, "a")
		tracker.RecordSurvival(at(due+time.Second), []string{"a"})
		tracker.EndTrial(trial.Claimed)
		assertVerdict(t, Admit, tracker, due+time.Second, "a")
		assert.Zero(t, tracker.QuarantinedCount())
	})
	t.Run("the trial of one VM is that of all", func(t *testing.T) {
		tracker, other := quarantined(), NewTracker()
		other.Merge(at(2*time.Second), tracker.Report(at(2*time.Second)))
		tracker.Decide(at(due), []string{"a"})
		other.Merge(at(due), tracker.Report(at(due)))
		assertVerdict(t, Refuse, other, due, "a")
		assertVerdict(t, Refuse, other, due+firstTrialDelay, "a")
	})
}

func TestEvidenceIsShared(t *testing.T) {
	t.Run("the ends that several VMs saw add up", func(t *testing.T) {
		a, b := NewTracker(), NewTracker()
		endAt(a, []string{"bad"}, 0, time.Second)
		endAt(b, []string{"bad"}, time.Second, 2*time.Second)
		assert.Equal(t, []string{"bad"}, b.Merge(at(3*time.Second), a.Report(at(3*time.Second))))
		assertVerdict(t, Refuse, b, 4*time.Second, "bad")
	})
	t.Run("a VM that starts learns of a quarantine from one report", func(t *testing.T) {
		a, b := NewTracker(), NewTracker()
		endAt(a, []string{"bad"}, 0, time.Second, 2*time.Second)
		assert.Equal(t, []string{"bad"}, b.Merge(at(3*time.Second), a.Report(at(3*time.Second))))
		assertVerdict(t, Refuse, b, 3*time.Second, "bad")
	})
	t.Run("a part that was cleared at one VM is cleared at all", func(t *testing.T) {
		a, b := NewTracker(), NewTracker()
		endAt(a, []string{"first"}, 0, time.Second, 2*time.Second)
		b.Merge(at(2*time.Second), a.Report(at(2*time.Second)))
		b.RecordSurvival(at(3*time.Second), []string{"first"})
		b.Merge(at(4*time.Second), a.Report(at(4*time.Second)))
		a.Merge(at(4*time.Second), b.Report(at(4*time.Second)))
		assertVerdict(t, Admit, a, 5*time.Second, "first")
		assertVerdict(t, Admit, b, 5*time.Second, "first")
	})
	t.Run("old evidence of a VM that was suspended does not count", func(t *testing.T) {
		a, b := NewTracker(), NewTracker()
		endAt(a, []string{"first"}, 0, time.Second, 2*time.Second)
		b.Merge(at(2*time.Second), a.Report(at(2*time.Second)))
		b.RecordSurvival(at(3*time.Second), []string{"first"})
		b.Expire(at(time.Minute))
		b.Merge(at(time.Minute), a.Report(at(time.Minute)))
		assertVerdict(t, Admit, b, time.Minute, "first")
		a.Merge(at(time.Minute), b.Report(at(time.Minute)))
		assertVerdict(t, Admit, a, time.Minute, "first")
	})
	t.Run("a part that is only suspected is reported while that is news", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{"suspected"}, 0)
		endAt(tracker, []string{"quarantined"}, 0, time.Second, 2*time.Second)
		assert.Len(t, tracker.Report(at(2*time.Second)), 2)
		assert.Equal(t, []string{"quarantined"}, slices.Collect(maps.Keys(tracker.Report(at(2*time.Second+sharePeriod)))))
	})
	t.Run("reports and memory are bounded", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 2 * maxSuspects {
			endAt(tracker, []string{fmt.Sprint("part-", n)}, time.Duration(n)*time.Millisecond)
			tracker.RecordSurvival(at(0), []string{fmt.Sprint("sound-", 10*n)})
		}
		assert.Len(t, tracker.suspects, maxSuspects)
		report := tracker.Report(at(2 * maxSuspects * time.Millisecond))
		require.Len(t, report, maxSharedParts)
		assert.Contains(t, report, fmt.Sprint("part-", 2*maxSuspects-1), "the newest evidence is reported")
	})
}

package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStopRefusesWhatItCouldFinish guards against a VM that stops and refuses requests which it could finish, or takes others.
func TestStopRefusesWhatItCouldFinish(t *testing.T) {
	endsAt := start.Add(7 * time.Second)
	scenarios := []struct {
		name              string
		timeout, expected time.Duration
		want              bool
	}{
		{"short work", 14 * time.Second, time.Second, true},
		{"work that just fits", 14 * time.Second, 7 * time.Second, true},
		{"work that is too long", 14 * time.Second, 7*time.Second + time.Millisecond, false},
		{"long work whose timeout passes before", 5 * time.Second, 10 * time.Second, true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			var stop stopping
			assert.True(t, stop.canFinish(start, start.Add(s.timeout), s.expected), "a VM that is not stopping takes everything")
			stop.endsAt.Store(&endsAt)
			assert.Equal(t, s.want, stop.canFinish(start, start.Add(s.timeout), s.expected))
		})
	}
}

func TestWorkTimes(t *testing.T) {
	t.Run("unknown route", func(t *testing.T) {
		var w workTimes
		_, samples := w.estimate("a", 0)
		assert.Zero(t, samples)
	})
	t.Run("most of the answers count", func(t *testing.T) {
		var w workTimes
		for n := range workTimeSamples {
			w.record("a", 0, time.Duration(n+1)*time.Millisecond, 0)
		}
		expected, samples := w.estimate("a", 0)
		assert.Equal(t, workTimeSamples, samples)
		assert.InDelta(t, 61*time.Millisecond, expected, float64(2*time.Millisecond))
	})
	t.Run("old answers are forgotten", func(t *testing.T) {
		var w workTimes
		for n := range 2 * workTimeSamples {
			w.record("a", 0, time.Second/time.Duration(1+n/workTimeSamples), 0)
		}
		expected, _ := w.estimate("a", 0)
		assert.Equal(t, time.Second/2, expected)
	})
	t.Run("longer output takes longer", func(t *testing.T) {
		var w workTimes
		w.record("a", 100*time.Millisecond, 600*time.Millisecond, 50)
		expected, _ := w.estimate("a", 100)
		assert.Equal(t, 1100*time.Millisecond, expected)
	})
}

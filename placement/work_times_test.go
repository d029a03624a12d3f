package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestWorkTimes(t *testing.T) {
	t.Run("unknown route", func(t *testing.T) {
		var w WorkTimes
		_, samples := w.Estimate("a", 0)
		assert.Zero(t, samples)
	})
	t.Run("most of the answers count", func(t *testing.T) {
		var w WorkTimes
		for n := range workTimeSamples {
			w.Record("a", 0, time.Duration(n+1)*time.Millisecond, 0)
		}
		expected, samples := w.Estimate("a", 0)
		assert.Equal(t, workTimeSamples, samples)
		assert.InDelta(t, 61*time.Millisecond, expected, float64(2*time.Millisecond))
	})
	t.Run("old answers are forgotten", func(t *testing.T) {
		var w WorkTimes
		for n := range 2 * workTimeSamples {
			w.Record("a", 0, time.Second/time.Duration(1+n/workTimeSamples), 0)
		}
		expected, _ := w.Estimate("a", 0)
		assert.Equal(t, time.Second/2, expected)
	})
	t.Run("longer output takes longer", func(t *testing.T) {
		var w WorkTimes
		w.Record("a", 100*time.Millisecond, 600*time.Millisecond, 50)
		expected, _ := w.Estimate("a", 100)
		assert.Equal(t, 1100*time.Millisecond, expected)
	})
}

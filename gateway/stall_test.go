package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestStall(t *testing.T) {
	begin := time.Now()
	t.Run("the event loop stood still", func(t *testing.T) {
		var s stall
		s.recordTurn(begin)
		s.recordTurn(begin.Add(3 * time.Second))
		assert.Equal(t, 3*time.Second, s.period)
		assert.Zero(t, s.takeSuspended(), "its clock went on")
	})
	t.Run("the steady clock stood still", func(t *testing.T) {
		var s stall
		s.record(begin, begin)
		s.record(begin.Add(10*time.Millisecond), begin.Add(4*time.Second))
		assert.Equal(t, 4*time.Second-10*time.Millisecond, s.takeSuspended())
		assert.Equal(t, 4*time.Second, s.period)
		assert.Zero(t, s.takeSuspended(), "taken once")
	})
	t.Run("the time of day is set back", func(t *testing.T) {
		var s stall
		s.record(begin, begin)
		s.record(begin.Add(10*time.Millisecond), begin.Add(-4*time.Second))
		assert.Zero(t, s.period)
		assert.Zero(t, s.takeSuspended())
	})
}

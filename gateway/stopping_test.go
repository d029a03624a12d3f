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

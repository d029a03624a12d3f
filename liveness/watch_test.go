package liveness

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestDeadProcessHasLived plays a process that writes entries, may end and be followed by another one, against reads that begin at any time.
// It guards against a process that counts as living after a moment at which it had ended.
func TestDeadProcessHasLived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		written := Entry{Born: 7, Sequence: 1}
		ended := false
		var endedAt, since time.Time
		var watch *Watch
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"the process writes an entry": func(*rapid.T) {
				if !ended || written.Born == 8 {
					written.Sequence++
				}
			},
			"the process ends": func(*rapid.T) {
				if !ended {
					ended, endedAt = true, now
				}
			},
			"another process writes an entry": func(*rapid.T) {
				if ended {
					written = Entry{Born: 8, Sequence: 1}
				}
			},
			"an answer ends": func(*rapid.T) {
				if watch == nil {
					watch, since = NewWatch("r", 7, now), now
				}
			},
			"the list is read": func(*rapid.T) {
				if watch == nil {
					return
				}
				switch watch.Read(now, written) {
				case Lives:
					if ended && endedAt.Before(since) {
						t.Fatalf("the process ended at %v and counts as living after %v", endedAt, since)
					}
				case Restarted:
					if written.Born == 7 {
						t.Fatal("no other process has written")
					}
				}
			},
		})
	})
}

func TestWatch(t *testing.T) {
	start := time.Unix(100, 0)
	later := start.Add(time.Second)
	for name, c := range map[string]struct {
		reads  []Entry
		sentAt time.Time
		state  State
	}{
		"one entry":                     {[]Entry{{7, 3}}, later, Silent},
		"the same entry again":          {[]Entry{{7, 3}, {7, 3}}, later, Silent},
		"a later entry":                 {[]Entry{{7, 3}, {7, 4}}, later, Lives},
		"reads that were sent before":   {[]Entry{{7, 3}, {7, 4}}, start.Add(-time.Second), Silent},
		"another process":               {[]Entry{{8, 1}}, later, Restarted},
		"another process, a later read": {[]Entry{{7, 3}, {8, 1}}, later, Restarted},
	} {
		t.Run(name, func(t *testing.T) {
			watch := NewWatch("r", 7, start)
			state := Silent
			for _, entry := range c.reads {
				state = watch.Read(c.sentAt, entry)
			}
			assert.Equal(t, c.state, state)
		})
	}
}

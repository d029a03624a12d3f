package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/placement"
)

// TestAnswerThatEndedInAStallIsWhole guards against half an answer of a plain replica that is whole since the next process under its ID answers:
// this VM has stood still and reads the end after that process has started.
func TestAnswerThatEndedInAStallIsWhole(t *testing.T) {
	t.Parallel()
	const born = 7
	for name, c := range map[string]struct {
		stalled bool
		// entries are what successive reads of the list find.
		entries []EntryVersion
		whole   bool
	}{
		"no stall":                     {false, nil, true},
		"another process":              {true, []EntryVersion{{born, 3}, {born + 1, 1}}, false},
		"the process writes no more":   {true, []EntryVersion{{born, 3}}, false},
		"the process goes on to write": {true, []EntryVersion{{born, 3}, {born, 3}, {born, 4}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: born, Address: startReporter(t, func(net.Listener) {}, say(400, "", NativeHeaders.NotRun+": 1\r\n"))}
			var reads atomic.Int32
			s.control.readList = func() {
				if len(c.entries) == 0 {
					return
				}
				version := c.entries[min(int(reads.Add(1)), len(c.entries))-1]
				go s.control.ApplyReplicas(ReplicaUpdate{Next: 1, CompleteAt: time.Now(), Listed: []placement.Replica{replica}, versions: map[string]EntryVersion{"r": version}})
			}
			runControl(t, s, replica)
			r := &request{answer: answerProgress{startedAt: time.Now()}}
			if c.stalled {
				ask(s.control, func() bool {
					s.control.stall.endedAt = time.Now()
					return true
				})
			}
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			err := readConfirmed(ctx, t, s, r, replica)
			assert.Equal(t, c.whole, err == nil, "%v", err)
		})
	}
}

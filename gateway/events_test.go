package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCompleteEvents(t *testing.T) {
	scenarios := []struct{ name, stream, complete, lastID string }{
		{"no complete event", "id: 1\ndata: a", "", ""},
		{"one complete and one partial event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1"},
		{"CRLF line endings", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "2"},
		{"mixed line endings", "id: 1\n\r\nid: 2\n\nid", "id: 1\n\r\nid: 2\n\n", "2"},
		{"split between CR and LF", "id: 1\r\ndata: a\r\n\r", "", ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			complete := s.stream[:completeEventsLen([]byte(s.stream))]
			assert.Equal(t, s.complete, complete)
			lastID, _ := lastEventID([]byte(complete))
			assert.Equal(t, s.lastID, lastID)
		})
	}
}

func TestEventTail(t *testing.T) {
	scenarios := []struct {
		name   string
		pieces []string
		inside bool
	}{
		{"between two events", []string{"id: 1\ndata: a\n", "\n"}, false},
		{"between two events with carriage returns", []string{"data: a\r\n\r", "\n"}, false},
		{"inside a line", []string{"data: a\n\n", "da"}, true},
		{"after a line", []string{"data: a\n\ndata: b\n"}, true},
		{"nothing", nil, true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var tail eventTail
			for _, piece := range scenario.pieces {
				tail.add([]byte(piece))
			}
			assert.Equal(t, scenario.inside, tail.insideEvent())
		})
	}
}

package eventstream

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestCompleteEvents(t *testing.T) {
	scenarios := []struct{ name, stream, complete, lastID string }{
		{"no complete event", "id: 1\ndata: a", "", ""},
		{"one complete and one partial event", "id: 1\ndata: a\n\nid: 2\nda", "id: 1\ndata: a\n\n", "1"},
		{"CRLF line endings", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\nid", "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n", "2"},
		{"mixed line endings", "id: 1\n\r\nid: 2\n\nid", "id: 1\n\r\nid: 2\n\n", "2"},
		{"CR line endings", "id: 1\rdata: a\r\rid: 2\rda", "id: 1\rdata: a\r\r", "1"},
		{"split between CR and LF", "id: 1\r\ndata: a\r\n\r", "", ""},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			complete := s.stream[:CompleteLen([]byte(s.stream))]
			assert.Equal(t, s.complete, complete)
			var sequence Sequence
			_, err := sequence.Add([]byte(complete))
			require.NoError(t, err)
			assert.Equal(t, s.lastID, sequence.LastID())
		})
	}
}

func TestTail(t *testing.T) {
	scenarios := []struct {
		name      string
		pieces    []string
		truncated bool
	}{
		{"between two events", []string{"id: 1\ndata: a\n", "\n"}, false},
		{"between two events with carriage returns", []string{"data: a\r\n\r", "\n"}, false},
		{"inside a line", []string{"data: a\n\n", "da"}, true},
		{"after a line", []string{"data: a\n\ndata: b\n"}, true},
		{"nothing", nil, true},
		{"between two events with CR alone", []string{"data: a\r", "\rdata: b\r\r"}, false},
		{"inside a line that ends with CR", []string{"data: a\r\rdata: b\r"}, true},
		{"after a comment", []string{"data: a\n\n", ": keep-alive\n"}, false},
		{"after a retry time", []string{"data: a\n\nretry: 10\r\n"}, false},
		{"inside a comment", []string{"data: a\n\n: keep"}, true},
		{"comments alone", []string{": one\n", ": two\n"}, true},
		{"inside a field after a comment", []string{"data: a\n\n: keep-alive\nda"}, true},
		{"after a long event whose end comes in pieces", []string{"data: a\n\ndata: ", strings.Repeat("b", 2*maxTailBytes) + "\n", "\n"}, false},
		{"inside a long event", []string{"data: a\n\ndata: ", strings.Repeat("b", maxTailBytes+1)}, true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var tail Tail
			for _, piece := range scenario.pieces {
				tail.Add([]byte(piece))
			}
			assert.Equal(t, scenario.truncated, !tail.Started() || HoldsEvent(tail.Rest()))
		})
	}
}

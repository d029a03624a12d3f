package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/exchange"
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
			complete := s.stream[:completeEventsLen([]byte(s.stream))]
			assert.Equal(t, s.complete, complete)
			lastID, _ := lastEventID([]byte(complete))
			assert.Equal(t, s.lastID, lastID)
		})
	}
}

func TestEventTail(t *testing.T) {
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
		{"inside a long event", []string{"data: a\n\ndata: ", strings.Repeat("b", maxEventBytes+1)}, true},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var tail eventTail
			for _, piece := range scenario.pieces {
				tail.add([]byte(piece))
			}
			assert.Equal(t, scenario.truncated, tail.truncated())
		})
	}
}

// goneCaller is a caller that disconnects after a number of writes.
type goneCaller struct {
	*httptest.ResponseRecorder
	writes int
}

func (g *goneCaller) Write(p []byte) (int, error) {
	if g.writes == 0 {
		return 0, errors.New("broken pipe")
	}
	g.writes--
	return g.ResponseRecorder.Write(p)
}

// TestCallerWhoLeavesAtTheLastEventIsAFailureOfTheUpstream guards against blaming an engine for a caller that has left.
func TestCallerWhoLeavesAtTheLastEventIsAFailureOfTheUpstream(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\nid: 2\ndata: b\n")
	}))
	t.Cleanup(upstream.Close)
	client, closeClient := exchange.NewClient()
	t.Cleanup(closeClient)
	for writes := range 2 {
		resp, err := client.Do(context.Background(), upstream.Listener.Addr().String(), exchange.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, err)
		defer resp.Close()
		caller := &goneCaller{ResponseRecorder: httptest.NewRecorder(), writes: writes}
		w := &responseWriter{ResponseWriter: caller, controller: http.NewResponseController(caller.ResponseRecorder)}
		_, err = w.copyEvents(resp, "")
		var own *Error
		if assert.ErrorAs(t, err, &own, "%d writes", writes) {
			assert.Equal(t, ErrCallerGone, own.Kind)
		}
	}
}

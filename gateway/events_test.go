package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
)

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
		w.prepare(resp.Status, resp.Header, resp.Framing, -1)
		err = w.copyEvents(resp, &eventstream.Sequence{})
		var own *Error
		if assert.ErrorAs(t, err, &own, "%d writes", writes) {
			assert.Equal(t, ErrCallerGone, own.Kind)
		}
	}
}

// TestStreamOfAnnouncedLengthThatEndsInsideAnEventLooksComplete guards against a length that is taken for the end of the stream.
func TestStreamOfAnnouncedLengthThatEndsInsideAnEventLooksComplete(t *testing.T) {
	const whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	scenarios := []struct {
		name, body string
		complete   bool
	}{
		{"whole", whole, true},
		{"whole, with a comment at its end", whole + ": end\n", true},
		{"inside an event", whole[:len(whole)-1], false},
		{"inside the first event", "id: 1\nda", false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			client, closeClient := exchange.NewClient(exchange.WithDial(rawUpstream{lengthAnswer(scenario.body), 1}.dial))
			t.Cleanup(closeClient)
			resp, err := client.Do(context.Background(), "upstream", exchange.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
			require.NoError(t, err)
			defer resp.Close()
			recorder := httptest.NewRecorder()
			w := &responseWriter{ResponseWriter: recorder, controller: http.NewResponseController(recorder), chunks: true}
			w.prepare(resp.Status, resp.Header, resp.Framing, bodyLength(resp, true))
			err = w.copyStream(resp, nil)
			assert.Equal(t, scenario.complete, err == nil, "%v", err)
			assert.Empty(t, recorder.Header().Get("Content-Length"), "the length would complete the stream")
		})
	}
}

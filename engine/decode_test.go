package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// decodeFrom decodes attempt "a" from the lines that a fake engine sends, starting at token 2.
func decodeFrom(t *testing.T, lines ...string) (text string, err error) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, strings.Join(lines, "\n"), "\n")
	}))
	defer server.Close()
	c, closeClient := NewClient()
	defer closeClient()
	_, err = c.Decode(context.Background(), server.Listener.Addr().String(), DecodeRequest{Attempt: "a", FirstIndex: 2}, func(token Token) error {
		text += token.Text
		return nil
	})
	return text, err
}

func assertKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	var engineErr *Error
	if assert.ErrorAs(t, err, &engineErr) {
		assert.Equal(t, kind, engineErr.Kind)
	}
}

// Lines of another attempt, repeated or skipped tokens and truncated streams must end the decode with an
// error, so that no wrong token reaches the caller.
func TestInvalidStreamLines(t *testing.T) {
	scenarios := []struct {
		name  string
		lines []string
	}{
		{name: "line of another attempt", lines: []string{`{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "b", "Index": 3, "Text": "y"}`, `{"Attempt": "a", "Finish": "stop"}`}},
		{name: "token repeated", lines: []string{`{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "a", "Finish": "stop"}`}},
		{name: "token skipped", lines: []string{`{"Attempt": "a", "Index": 3, "Text": "x"}`, `{"Attempt": "a", "Finish": "stop"}`}},
		{name: "missing end of stream", lines: []string{`{"Attempt": "a", "Index": 2, "Text": "x"}`}},
		{name: "truncated JSON", lines: []string{`{"Attempt": "a", "Index": 2, "Te`}},
		{name: "line too long", lines: []string{strings.Repeat("x", 2*maxLineBytes)}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := decodeFrom(t, s.lines...)
			assertKind(t, err, ErrBroken)
		})
	}
	t.Run("complete response", func(t *testing.T) {
		text, err := decodeFrom(t, `{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "a", "Index": 3, "Text": "y"}`, `{"Attempt": "a", "Finish": "stop"}`)
		assert.NoError(t, err)
		assert.Equal(t, "xy", text)
	})
}

func TestCancellerRetriesUntilConfirmed(t *testing.T) {
	statuses := []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusOK}
	requests := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path
		w.WriteHeader(statuses[0])
		if statuses[0] == http.StatusOK {
			fmt.Fprint(w, `{"Held": true}`)
		}
		statuses = statuses[1:]
	}))
	defer server.Close()
	c, closeClient := NewClient()
	defer closeClient()
	canceller, closeCanceller := NewCanceller(c, 10*time.Second)
	canceller.Cancel(server.Listener.Addr().String(), "a")
	canceller.Cancel(server.Listener.Addr().String(), "a")
	closeCanceller()
	assert.Len(t, requests, 3)
}

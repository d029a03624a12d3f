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

// decodeFrom decodes attempt "a" from lines that a fake engine answers.
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

func TestCrossedAndLateLines(t *testing.T) {
	scenarios := []struct {
		name  string
		lines []string
	}{
		{name: "of another attempt", lines: []string{`{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "b", "Index": 3, "Text": "y"}`, `{"Attempt": "a", "Finish": "stop"}`}},
		{name: "token repeated", lines: []string{`{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "a", "Finish": "stop"}`}},
		{name: "token skipped", lines: []string{`{"Attempt": "a", "Index": 3, "Text": "x"}`, `{"Attempt": "a", "Finish": "stop"}`}},
		{name: "no proper end", lines: []string{`{"Attempt": "a", "Index": 2, "Text": "x"}`}},
		{name: "not JSON", lines: []string{`{"Attempt": "a", "Index": 2, "Te`}},
		{name: "endless line", lines: []string{strings.Repeat("x", 2*maxTokenLine)}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := decodeFrom(t, s.lines...)
			assertKind(t, err, ErrBroken)
		})
	}
	t.Run("a whole answer", func(t *testing.T) {
		text, err := decodeFrom(t, `{"Attempt": "a", "Index": 2, "Text": "x"}`, `{"Attempt": "a", "Index": 3, "Text": "y"}`, `{"Attempt": "a", "Finish": "stop"}`)
		assert.NoError(t, err)
		assert.Equal(t, "xy", text)
	})
}

func TestCancellerRepeatsUntilConfirmed(t *testing.T) {
	answers := []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusOK}
	asked := make(chan string, 10)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
		w.WriteHeader(answers[0])
		if answers[0] == http.StatusOK {
			fmt.Fprint(w, `{"Held": true}`)
		}
		answers = answers[1:]
	}))
	defer server.Close()
	c, closeClient := NewClient()
	defer closeClient()
	cancels, wait := NewCanceller(c, 10*time.Second)
	cancels.Cancel(server.Listener.Addr().String(), "a")
	cancels.Cancel(server.Listener.Addr().String(), "a")
	wait()
	assert.Len(t, asked, 3)
}

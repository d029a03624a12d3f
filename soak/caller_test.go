package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// readAnswer returns the outcome of an answer to stream c1-1 of three events, after which its connection ends in an orderly way, and the
// kinds of its breaches.
func readAnswer(t *testing.T, framing, body string) (outcome, []BreachKind) {
	t.Helper()
	conn, replica := net.Pipe()
	go func() {
		_, _ = io.WriteString(replica, "HTTP/1.1 200 OK\r\n"+framing+"\r\n"+body)
		_ = replica.Close()
	}()
	c := &caller{conn: conn, reader: bufio.NewReader(conn), results: newResults()}
	resp, err := http.ReadResponse(c.reader, nil)
	require.NoError(t, err)
	judge := newChecker(prompt{Name: "c1-1", Events: 3})
	end := c.read(&stream{checker: judge, judge: judge}, "c1-1-01", resp)
	var kinds []BreachKind
	for _, b := range c.results.report(Options{}).Breaches {
		kinds = append(kinds, b.Kind)
	}
	return end, kinds
}

// TestUnframedAnswerThatEndsEarlyIsABreach guards against cut streams that are passed over because nothing in their bytes tells.
func TestUnframedAnswerThatEndsEarlyIsABreach(t *testing.T) {
	scenarios := []struct {
		name, framing, body string
		want                outcome
		breaches            []BreachKind
	}{
		{"unframed, whole", "Connection: close\r\n", testEvents(1, 2, 3), complete, nil},
		{"unframed, between two events", "Connection: close\r\n", testEvents(1, 2), wrong, []BreachKind{EndsEarly}},
		{"unframed, inside an event", "Connection: close\r\n", testEvents(1, 2) + "id: 3", wrong, []BreachKind{EndsInside}},
		{"unframed, no event", "Connection: close\r\n", "", wrong, []BreachKind{EndsEarly}},
		{"by length, cut", "Content-Length: 1000\r\n", testEvents(1, 2), broken, nil},
		{"in chunks, no last chunk", "Transfer-Encoding: chunked\r\n", "", broken, nil},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			end, breaches := readAnswer(t, scenario.framing, scenario.body)
			assert.Equal(t, scenario.want, end)
			assert.Equal(t, scenario.breaches, breaches)
		})
	}
}

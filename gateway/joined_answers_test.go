package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
)

// rawUpstream answers one request with bytes, written in pieces, and then closes its connection.
type rawUpstream struct {
	answer string
	// piece is the length of a piece in bytes.
	piece int
}

// dial implements exchange.Dial.
func (u rawUpstream) dial(context.Context, string, string) (net.Conn, error) {
	own, other := net.Pipe()
	go func() {
		defer own.Close()
		if _, err := http.ReadRequest(bufio.NewReader(own)); err != nil {
			return
		}
		for rest := u.answer; rest != ""; {
			n := min(max(u.piece, 1), len(rest))
			if _, err := io.WriteString(own, rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
		}
	}()
	return other, nil
}

// chunkedAnswer returns a stream in one chunk. It is ended if ended.
func chunkedAnswer(stream string, ended bool) string {
	answer := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if stream != "" {
		answer += fmt.Sprintf("%x\r\n%s\r\n", len(stream), stream)
	}
	if ended {
		answer += "0\r\n\r\n"
	}
	return answer
}

// unframedAnswer returns a stream that the end of its connection ends.
func unframedAnswer(stream string) string {
	return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + stream
}

// lengthAnswer returns a stream whose length is announced.
func lengthAnswer(stream string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(stream), stream)
}

// joinAnswers relays the answers of upstreams, one after the other while they break off and the stream can be resumed. answer returns the
// answer of the next upstream, which is told the last event. joinAnswers returns what the caller gets, and whether as a complete stream.
func joinAnswers(t testing.TB, answers int, piece int, answer func(n int, lastID string) string) (string, bool) {
	t.Helper()
	recorder := httptest.NewRecorder()
	w := &responseWriter{ResponseWriter: recorder, controller: http.NewResponseController(recorder), chunks: true}
	events := eventstream.NewSequence("", eventstream.Numbering{Increasing: true, Counting: true})
	for n := range answers {
		client, closeClient := exchange.NewClient(exchange.WithDial(rawUpstream{answer(n, events.LastID()), piece}.dial))
		resp, err := client.Do(context.Background(), "upstream", exchange.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err == nil {
			if !w.started {
				w.prepare(resp.Status, resp.Header, resp.Framing, -1)
			}
			events.BeginAnswer()
			err = w.copyEvents(resp, &events)
			resp.Close()
		}
		closeClient()
		if err == nil {
			return recorder.Body.String(), true
		}
		if !events.CanResume() {
			break
		}
	}
	return recorder.Body.String(), false
}

// numbersOf returns the numbers of the complete events of a stream.
func numbersOf(t testing.TB, stream string) []int {
	t.Helper()
	stream = stream[:eventstream.CompleteLen([]byte(stream))]
	var numbers []int
	for _, line := range strings.FieldsFunc(stream, func(r rune) bool { return r == '\r' || r == '\n' }) {
		if id, found := strings.CutPrefix(line, "id: "); found {
			number, err := strconv.Atoi(id)
			require.NoError(t, err)
			numbers = append(numbers, number)
		}
	}
	return numbers
}

// numberedEvents returns the events of a stream from one number to another.
func numberedEvents(lineEnd string, from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d%sdata: d%s%s", n, lineEnd, lineEnd, lineEnd)
	}
	return b.String()
}

// lastNumber is the number of the last event of the streams in the test below. It has more digits than those before it.
const lastNumber = 10

// TestAnswersJoinedAtEachByteAreOutOfOrder guards against streams that break off at any byte and reach their callers with events twice, out
// of order or missing, or cut as complete ones, whatever the next upstream sends.
func TestAnswersJoinedAtEachByteAreOutOfOrder(t *testing.T) {
	next := map[string]func(lineEnd string, last int) string{
		"goes on":                    func(end string, last int) string { return numberedEvents(end, last+1, lastNumber) },
		"begins anew":                func(end string, _ int) string { return numberedEvents(end, 1, lastNumber) },
		"begins with the last event": func(end string, last int) string { return numberedEvents(end, max(last, 1), lastNumber) },
		"leaves an event out": func(end string, last int) string {
			// A stream of which nothing is known may begin with any number.
			return numberedEvents(end, last+1+min(last, 1), lastNumber)
		},
		"goes on after a comment": func(end string, last int) string { return ": c" + end + end + numberedEvents(end, last+1, lastNumber) },
		"without IDs":             func(end string, _ int) string { return "data: d" + end + end },
		"nothing":                 func(string, int) string { return "" },
		"a text":                  func(string, int) string { return "no such stream" },
	}
	framings := map[string]func(stream string) string{
		"reset in a chunk":      func(stream string) string { return chunkedAnswer(stream, false) },
		"chunks that are ended": func(stream string) string { return chunkedAnswer(stream, true) },
		"unframed":              unframedAnswer,
		"announced length":      lengthAnswer,
	}
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		whole := numberedEvents(lineEnd, 1, lastNumber)
		for framing, frame := range framings {
			for name, second := range next {
				t.Run(fmt.Sprintf("%q %s %s", lineEnd, framing, name), func(t *testing.T) {
					t.Parallel()
					for cut := range len(whole) {
						between := eventstream.CompleteLen([]byte(whole[:cut])) == cut && cut > 0 || cut == 0 && framing != "unframed"
						if framing != "reset in a chunk" && between {
							// Nothing tells that the stream is not whole.
							continue
						}
						body, complete := joinAnswers(t, 2, 1+cut%7, func(n int, lastID string) string {
							if n == 0 {
								return frame(whole[:cut])
							}
							last, _ := strconv.Atoi(lastID)
							return chunkedAnswer(second(lineEnd, last), true)
						})
						assertInOrder(t, body, complete, fmt.Sprintf("cut after %d bytes", cut))
					}
				})
			}
		}
	}
}

// assertInOrder checks that a caller got the first events of a stream, all of them if it is complete, or nothing.
func assertInOrder(t *testing.T, body string, complete bool, what string) {
	t.Helper()
	numbers := numbersOf(t, body)
	for n, number := range numbers {
		require.Equal(t, n+1, number, "%s: %q", what, body)
	}
	if complete && body != "" && len(numbers) > 0 {
		assert.Len(t, numbers, lastNumber, "%s: %q", what, body)
	}
}

// FuzzJoinedAnswers checks that the numbers of the events that a caller gets increase, whatever two upstreams send.
func FuzzJoinedAnswers(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\nda"), []byte("id: 2\ndata: b\n\n"), 3, false)
	f.Add([]byte("id: 9\r\ndata: a\r\n\r\n"), []byte("\nid: 10\r\r"), 1, true)
	f.Add([]byte("data: a\n\n"), []byte("data: a\n\n"), 100, false)
	f.Add([]byte("id: 1\n\n"), []byte("id: 18446744073709551616\n\n"), 5, true)
	f.Fuzz(func(t *testing.T, first, second []byte, piece int, ended bool) {
		last := ""
		body, _ := joinAnswers(t, 2, piece, func(n int, lastID string) string {
			if n == 0 {
				return chunkedAnswer(string(first), ended)
			}
			last = lastID
			return chunkedAnswer(string(second), true)
		})
		var events eventstream.Sequence
		complete := body[:eventstream.CompleteLen([]byte(body))]
		_, err := events.Add([]byte(complete))
		var orderErr *eventstream.Error
		if errors.As(err, &orderErr) {
			t.Errorf("%v in %q, joined after %q", err, body, last)
		}
	})
}

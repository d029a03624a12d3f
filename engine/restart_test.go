package engine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/transport"
)

const streamTokens = 6

// streamFrom returns the lines of a whole stream from a token on.
func streamFrom(from int) string {
	var b strings.Builder
	for n := from; n < streamTokens; n++ {
		fmt.Fprintf(&b, "{\"Attempt\": \"a\", \"Index\": %d, \"Text\": \"t%d \"}\n", n, n)
	}
	return b.String() + "{\"Attempt\": \"a\", \"Finish\": \"stop\"}\n"
}

// newMortalEngine returns a dial function to an engine that writes a part of a response and ends, as a killed process does, and that is back
// at its address at once. The process after it answers each request with resumed.
func newMortalEngine(part, resumed string) transport.Dial {
	response := part
	return func(context.Context, string, string) (net.Conn, error) {
		conn, engineEnd := net.Pipe()
		go respond(engineEnd, response)
		response = resumed
		return conn, nil
	}
}

// respond reads a request and ends its connection after a response.
func respond(conn net.Conn, response string) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(conn, response)
}

func newPipeClient(dial transport.Dial) *Client {
	connections := transport.New(0)
	connections.DialContext = dial
	return &Client{http: &http.Client{Transport: connections}}
}

// generate decodes as a VM does: a stream that breaks off is resumed at its engine, and then goes on from the tokens so far at another one.
func generate(t *testing.T, dial transport.Dial) (text string, err error) {
	t.Helper()
	c := newPipeClient(dial)
	tokens := 0
	emit := func(token Token) error {
		text += token.Text
		tokens++
		return nil
	}
	_, err = c.Decode(t.Context(), "engine", DecodeRequest{Attempt: "a"}, emit)
	var engineErr *Error
	if errors.As(err, &engineErr) && engineErr.Kind == ErrBroken {
		_, err = c.Resume(t.Context(), "engine", "a", tokens, emit)
	}
	if err != nil {
		elsewhere := newPipeClient(newMortalEngine("HTTP/1.1 200 OK\r\n\r\n"+streamFrom(tokens), ""))
		_, err = elsewhere.Decode(t.Context(), "elsewhere", DecodeRequest{Attempt: "a", FirstIndex: tokens}, emit)
	}
	return text, err
}

// inChunks encodes a body, with or without the last chunk.
func inChunks(body string, whole bool) string {
	var b strings.Builder
	w := httputil.NewChunkedWriter(&b)
	_, _ = io.WriteString(w, body)
	if whole {
		w.Close()
		b.WriteString("\r\n")
	}
	return b.String()
}

// TestStreamOfAnEngineThatIsBackHasGaps guards against a completion with a gap, a repetition or an early end when an engine is killed
// anywhere in its stream, in any framing, and another process that knows nothing or goes on wrongly is at its address at once.
func TestStreamOfAnEngineThatIsBackHasGaps(t *testing.T) {
	var want strings.Builder
	for n := range streamTokens {
		fmt.Fprintf(&want, "t%d ", n)
	}
	framings := map[string]func(part string) string{
		"unframed":             func(part string) string { return "\r\n" + part },
		"chunks":               func(part string) string { return "Transfer-Encoding: chunked\r\n\r\n" + inChunks(part, false) },
		"chunks, orderly end":  func(part string) string { return "Transfer-Encoding: chunked\r\n\r\n" + inChunks(part, true) },
		"length of what comes": func(part string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n", len(part)) + part },
	}
	resumed := map[string]string{
		"knows nothing":     "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
		"ends":              "",
		"empty":             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"from the start":    "HTTP/1.1 200 OK\r\n\r\n" + streamFrom(0),
		"from the middle":   "HTTP/1.1 200 OK\r\n\r\n" + streamFrom(3),
		"of another stream": "HTTP/1.1 200 OK\r\n\r\n" + strings.NewReplacer(`"a"`, `"b"`, `"t`, `"other `).Replace(streamFrom(3)),
	}
	whole := streamFrom(0)
	for framing, encode := range framings {
		for name, answer := range resumed {
			t.Run(framing+", "+name, func(t *testing.T) {
				t.Parallel()
				for cut := range len(whole) + 1 {
					text, err := generate(t, newMortalEngine("HTTP/1.1 200 OK\r\n"+encode(whole[:cut]), answer))
					assert.NoError(t, err, "cut at %d", cut)
					assert.Equal(t, want.String(), text, "cut at %d", cut)
				}
			})
		}
	}
}

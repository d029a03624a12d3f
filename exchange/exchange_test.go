package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// upstreamScript is the behavior of a test upstream on one connection.
type upstreamScript func(t *testing.T, conn net.Conn, reader *bufio.Reader)

// startUpstream runs script for each accepted connection. It returns the address and the number of accepted
// connections.
func startUpstream(t *testing.T, script upstreamScript) (string, *atomic.Int32) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	var count atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			count.Add(1)
			go func() {
				defer conn.Close()
				script(t, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String(), &count
}

// respondWith returns a script that writes response after each request.
func respondWith(response string) upstreamScript {
	return func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
		}
	}
}

func readRequest(reader *bufio.Reader) bool {
	r, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

func newClient(t *testing.T) *Client {
	c, closeClient := NewClient()
	t.Cleanup(closeClient)
	return c
}

func get(ctx context.Context, c *Client, addr string) (int, string, error) {
	resp, err := c.Do(ctx, addr, Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{}})
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	body, err := resp.ReadAll(1 << 20)
	return resp.Status, string(body), err
}

func assertKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	var exchangeErr *Error
	if assert.ErrorAs(t, err, &exchangeErr) {
		assert.Equal(t, kind, exchangeErr.Kind, err)
	}
}

func TestResponseBodies(t *testing.T) {
	scenarios := []struct {
		name, response, body string
		broken               bool
	}{
		{name: "Content-Length", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		{name: "chunked", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		{name: "after a 1xx response", response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		{name: "truncated", response: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", broken: true},
		{name: "truncated in a chunk", response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", broken: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			addr, _ := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, s.response)
			})
			_, body, err := get(context.Background(), newClient(t), addr)
			if s.broken {
				assertKind(t, err, ErrBroken)
				return
			}
			assert.NoError(t, err)
			assert.Equal(t, s.body, body)
		})
	}
}

// TestMalformedStatusLine checks that stray bytes on a connection, even if they parse as a status line, are
// not returned as a response.
func TestMalformedStatusLine(t *testing.T) {
	addr, _ := startUpstream(t, respondWith("HTTP/1.1 200 \x00\x01\x00\xff garbage\r\n\r\nok"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err := get(ctx, newClient(t), addr)
	assertKind(t, err, ErrInDoubt)
}

func TestErrorKinds(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		_, _, err := get(context.Background(), newClient(t), "127.0.0.1:1")
		assertKind(t, err, ErrUnsent)
	})
	t.Run("closed without a response", func(t *testing.T) {
		addr, _ := startUpstream(t, func(_ *testing.T, _ net.Conn, reader *bufio.Reader) { readRequest(reader) })
		_, _, err := get(context.Background(), newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
	})
	t.Run("malformed response", func(t *testing.T) {
		addr, _ := startUpstream(t, respondWith("nonsense\r\n\r\n"))
		_, _, err := get(context.Background(), newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
	})
	t.Run("timeout", func(t *testing.T) {
		addr, _ := startUpstream(t, func(_ *testing.T, _ net.Conn, reader *bufio.Reader) {
			readRequest(reader)
			_, _ = reader.ReadByte()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, _, err := get(ctx, newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestConnectionReuse(t *testing.T) {
	scenarios := []struct {
		name, response string
		pause          time.Duration
		want           int32
	}{
		{name: "reused after a complete response", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: 1},
		{name: "not reused after Connection: close", response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", want: 2},
		{name: "not reused with unexpected data after the response", response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", pause: 20 * time.Millisecond, want: 2},
		{name: "not reused with an idle timeout of 0", response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", want: 2},
		{name: "not reused after the idle timeout", response: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", pause: time.Second, want: 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			addr, connections := startUpstream(t, respondWith(s.response))
			c := newClient(t)
			for range 2 {
				_, body, err := get(context.Background(), c, addr)
				require.NoError(t, err)
				require.Equal(t, "ok", body)
				time.Sleep(s.pause)
			}
			assert.Equal(t, s.want, connections.Load())
		})
	}
	t.Run("not reused with unexpected data while idle", func(t *testing.T) {
		response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		addr, connections := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
			for readRequest(reader) {
				_, _ = io.WriteString(conn, response)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, response)
			}
		})
		c := newClient(t)
		for range 2 {
			_, _, err := get(context.Background(), c, addr)
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, int32(2), connections.Load())
	})
	t.Run("not reused beyond MaxIdle of the request", func(t *testing.T) {
		addr, connections := startUpstream(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		c := newClient(t)
		for range 2 {
			resp, err := c.Do(context.Background(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, MaxIdle: time.Nanosecond})
			require.NoError(t, err)
			resp.Close()
		}
		assert.Equal(t, int32(2), connections.Load())
	})
}

func TestMismatchedResponsesAreSkipped(t *testing.T) {
	response := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	do := func(c *Client, addr string) (string, error) {
		resp, err := c.Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
			AcceptResponse: func(h http.Header) bool { return h.Get("Id") == "mine" }})
		if err != nil {
			return "", err
		}
		defer resp.Close()
		body, err := resp.ReadAll(100)
		return string(body), err
	}
	t.Run("followed by the matching response", func(t *testing.T) {
		addr, _ := startUpstream(t, respondWith(response("other")+response("mine")))
		body, err := do(newClient(t), addr)
		assert.NoError(t, err)
		assert.Equal(t, "mine", body)
	})
	t.Run("without a matching response", func(t *testing.T) {
		addr, _ := startUpstream(t, respondWith(response("a")+response("b")+response("c")))
		_, err := do(newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
	})
}

// TestEndlessResponseFillsMemory guards against bytes without end in place of a response, which are kept or awaited until
// the deadline of the request.
func TestEndlessResponseFillsMemory(t *testing.T) {
	const foreign = "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n"
	scenarios := []struct {
		name, start, repeated string
		limit                 int
	}{
		{name: "status line", repeated: "x", limit: maxHeadBytes},
		{name: "header line", start: "HTTP/1.1 200 OK\r\nEndless: ", repeated: "x", limit: maxHeadBytes},
		{name: "header fields", start: "HTTP/1.1 200 OK\r\n", repeated: "A: b\r\n", limit: maxHeadBytes},
		{name: "1xx responses", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n", limit: maxHeadBytes},
		{name: "response to another request", start: foreign, repeated: "x", limit: maxHeadBytes + maxSkippedBytes},
		{name: "header fields after a response to another request", start: "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", repeated: "A: b\r\n",
			limit: 2*maxHeadBytes + maxSkippedBytes},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			clientEnd, upstreamEnd := net.Pipe()
			defer upstreamEnd.Close()
			sent := make(chan int, 1)
			go func() {
				readRequest(bufio.NewReader(upstreamEnd))
				sent <- writeEndlessly(upstreamEnd, s.start, s.repeated, 2*s.limit)
			}()
			c := newClient(t)
			c.dial = func(context.Context, string, string) (net.Conn, error) { return clientEnd, nil }
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			resp, err := c.Do(ctx, "upstream", Request{Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{},
				AcceptResponse: func(h http.Header) bool { return h.Get("Id") != "other" }})
			assertKind(t, err, ErrInDoubt)
			assert.NoError(t, ctx.Err(), "the request ends before its deadline")
			assert.LessOrEqual(t, <-sent, s.limit)
			if err == nil {
				resp.Close()
			}
		})
	}
	t.Run("a long body is no endless head", func(t *testing.T) {
		body := strings.Repeat("x", 2*maxHeadBytes)
		addr, _ := startUpstream(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		c := newClient(t)
		for range 2 {
			_, got, err := get(context.Background(), c, addr)
			assert.NoError(t, err)
			assert.Equal(t, body, got)
		}
	})
}

// writeEndlessly writes start and then repeated in blocks until conn is closed. It gives up and closes conn once most bytes
// have been taken. It returns the number of bytes that were taken.
func writeEndlessly(conn net.Conn, start, repeated string, most int) int {
	defer conn.Close()
	taken, err := io.WriteString(conn, start)
	block := strings.Repeat(repeated, 512/len(repeated))
	for n := 0; err == nil && taken <= most; taken += n {
		n, err = io.WriteString(conn, block)
	}
	return taken
}

// TestLateCopyOfARefusalAnswersTheNextTry guards against the late second copy of a response that is taken for the response to
// the next try of the same request.
func TestLateCopyOfARefusalAnswersTheNextTry(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\nId: mine\r\nContent-Length: 0\r\n\r\n"
	var requests atomic.Int32
	addr, connections := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		late := ""
		for readRequest(reader) {
			answer := "HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 0\r\n\r\n"
			if requests.Add(1) == 1 {
				answer = refusal
			}
			_, _ = io.WriteString(conn, late+answer)
			late = answer
		}
	})
	c := newClient(t)
	do := func(history *History) int {
		resp, err := c.Do(context.Background(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, History: history,
			AcceptResponse: func(h http.Header) bool { return h.Get("Id") == "mine" }})
		require.NoError(t, err)
		defer resp.Close()
		return resp.Status
	}
	var history History
	assert.Equal(t, http.StatusServiceUnavailable, do(&history))
	assert.Equal(t, http.StatusOK, do(&history), "the second try gets its own response")
	assert.Equal(t, int32(2), connections.Load())
	do(&History{})
	assert.Equal(t, int32(2), connections.Load(), "another request reuses the connections")
}

func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	addr, connections := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
	})
	c := newClient(t)
	for range 2 {
		resp, err := c.Do(context.Background(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: make([]byte, 8<<20)})
		require.NoError(t, err)
		assert.Equal(t, http.StatusRequestEntityTooLarge, resp.Status)
		resp.Close()
	}
	assert.Equal(t, int32(2), connections.Load(), "connection reused although the request body was not fully written")
}

func TestRequestIsSentUnchanged(t *testing.T) {
	received := make(chan string, 1)
	addr, _ := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		received <- strings.Join([]string{r.Method, r.RequestURI, r.Host, r.Header.Get("A"), string(body)}, " ")
		_, _ = io.WriteString(conn, "HTTP/1.1 204 No Content\r\n\r\n")
	})
	resp, err := newClient(t).Do(context.Background(), addr, Request{Method: "PURGE", Target: "/a%2Fb//c?x=%20&y", Host: "h.example", Header: http.Header{"A": {"1"}}, Body: []byte("body")})
	require.NoError(t, err)
	resp.Close()
	assert.Equal(t, "PURGE /a%2Fb//c?x=%20&y h.example 1 body", <-received)
}

func TestCancelWhileReadingBody(t *testing.T) {
	closed := make(chan error, 1)
	addr, _ := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		readRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart")
		_, err := reader.ReadByte()
		closed <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	resp, err := newClient(t).Do(ctx, addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	require.NoError(t, err)
	defer resp.Close()
	cancel()
	select {
	case err := <-closed:
		assert.Error(t, err, "upstream should see the connection closed")
	case <-time.After(5 * time.Second):
		assert.Fail(t, "connection was not closed after the context was canceled")
	}
}

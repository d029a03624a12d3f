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

// peerScript plays an upstream on one connection after another.
type peerScript func(t *testing.T, conn net.Conn, reader *bufio.Reader)

// listen runs a script for each connection and returns the address and the number of connections so far.
func listen(t *testing.T, script peerScript) (string, *atomic.Int32) {
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

// answering answers each request with the same bytes.
func answering(answer string) peerScript {
	return func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
		for readRequest(reader) {
			if _, err := io.WriteString(conn, answer); err != nil {
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

func TestAnswers(t *testing.T) {
	scenarios := []struct {
		name, answer, body string
		broken             bool
	}{
		{name: "with a length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		{name: "in chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		{name: "after an interim answer", answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		{name: "cut", answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", broken: true},
		{name: "cut in a chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok", broken: true},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			addr, _ := listen(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, s.answer)
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

// TestStrayBytesAreNoAnswer plays an upstream whose bytes after one answer and before the next look like a status line
// together.
func TestStrayBytesAreNoAnswer(t *testing.T) {
	addr, _ := listen(t, answering("HTTP/1.1 200 \x00\x01\x00\xff garbage\r\n\r\nok"))
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, _, err := get(ctx, newClient(t), addr)
	assertKind(t, err, ErrInDoubt)
}

func TestWhetherARequestWasSent(t *testing.T) {
	t.Run("nobody listens", func(t *testing.T) {
		_, _, err := get(context.Background(), newClient(t), "127.0.0.1:1")
		assertKind(t, err, ErrUnsent)
	})
	t.Run("closed without an answer", func(t *testing.T) {
		addr, _ := listen(t, func(_ *testing.T, _ net.Conn, reader *bufio.Reader) { readRequest(reader) })
		_, _, err := get(context.Background(), newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
	})
	t.Run("bytes that are no answer", func(t *testing.T) {
		addr, _ := listen(t, answering("nonsense\r\n\r\n"))
		_, _, err := get(context.Background(), newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
	})
	t.Run("no answer in time", func(t *testing.T) {
		addr, _ := listen(t, func(_ *testing.T, _ net.Conn, reader *bufio.Reader) {
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

func TestConnectionsAreKept(t *testing.T) {
	scenarios := []struct {
		name, answer string
		pause        time.Duration
		want         int32
	}{
		{name: "after a whole answer", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: 1},
		{name: "not when the upstream closes", answer: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", want: 2},
		{name: "not with bytes that nobody asked for", answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n", pause: 20 * time.Millisecond, want: 2},
		{name: "not when they may be idle for no time", answer: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok", want: 2},
		{name: "not past their idle time", answer: "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", pause: time.Second, want: 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			addr, connections := listen(t, answering(s.answer))
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
	t.Run("not with bytes that come late", func(t *testing.T) {
		answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
		addr, connections := listen(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
			for readRequest(reader) {
				_, _ = io.WriteString(conn, answer)
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(conn, answer)
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
	t.Run("not for a request that may not wait on an old one", func(t *testing.T) {
		addr, connections := listen(t, answering("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		c := newClient(t)
		for range 2 {
			resp, err := c.Do(context.Background(), addr, Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, MaxIdle: time.Nanosecond})
			require.NoError(t, err)
			resp.Close()
		}
		assert.Equal(t, int32(2), connections.Load())
	})
}

func TestLateAnswersOfOthersArePassedOver(t *testing.T) {
	answer := func(id string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(id), id)
	}
	do := func(c *Client, addr string) (string, error) {
		resp, err := c.Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
			Accept: func(h http.Header) bool { return h.Get("Id") == "mine" }})
		if err != nil {
			return "", err
		}
		defer resp.Close()
		body, err := resp.ReadAll(100)
		return string(body), err
	}
	t.Run("before the own one", func(t *testing.T) {
		addr, _ := listen(t, answering(answer("other")+answer("mine")))
		body, err := do(newClient(t), addr)
		assert.NoError(t, err)
		assert.Equal(t, "mine", body)
	})
	t.Run("without the own one", func(t *testing.T) {
		addr, _ := listen(t, answering(answer("a")+answer("b")+answer("c")))
		_, err := do(newClient(t), addr)
		assertKind(t, err, ErrInDoubt)
	})
}

func TestAnswerBeforeTheBodyWasRead(t *testing.T) {
	addr, connections := listen(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
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
	assert.Equal(t, int32(2), connections.Load(), "nothing may follow a body that was not sent to its end")
}

func TestRequestsArriveAsTheyWereSent(t *testing.T) {
	received := make(chan string, 1)
	addr, _ := listen(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
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

func TestAbandonedBody(t *testing.T) {
	closed := make(chan error, 1)
	addr, _ := listen(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
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
		assert.Error(t, err, "the upstream sees that the caller left")
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the connection stayed open")
	}
}

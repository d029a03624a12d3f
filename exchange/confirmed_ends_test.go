package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestUnconfirmedEndIsWhole guards against a body that only its connection ends and that is whole without the word of its upstream.
func TestUnconfirmedEndIsWhole(t *testing.T) {
	errGone := errors.New("the process has gone")
	for name, s := range map[string]struct {
		response string
		confirm  error
		calls    int32
		broken   bool
	}{
		"confirmed":     {"HTTP/1.1 200 OK\r\n\r\nok", nil, 1, false},
		"not confirmed": {"HTTP/1.1 200 OK\r\n\r\nok", errGone, 1, true},
		"by length":     {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", errGone, 0, false},
		"in chunks":     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", errGone, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
				readRequest(reader)
				_, _ = io.WriteString(conn, s.response)
			})
			var calls atomic.Int32
			began := time.Now()
			resp, err := newClient(t).Do(context.Background(), addr, Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ConfirmEnd: func(_ context.Context, openedAt time.Time) error {
				assert.WithinRange(t, openedAt, began, time.Now())
				calls.Add(1)
				return s.confirm
			}})
			require.NoError(t, err)
			defer resp.Close()
			for range 2 {
				_, err = io.ReadAll(resp)
				if s.broken {
					assertKind(t, err, ErrBroken)
					assert.ErrorIs(t, err, errGone)
				} else {
					assert.NoError(t, err)
				}
			}
			assert.Equal(t, s.calls, calls.Load())
		})
	}
}

// TestEndOfARefusingUpstreamIsWhole guards against a body that is whole although its upstream refuses connections, where nobody confirms ends.
func TestEndOfARefusingUpstreamIsWhole(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		listener.Close()
		if err != nil {
			return
		}
		defer conn.Close()
		readRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part")
	}()
	_, _, err = get(context.Background(), newClient(t), listener.Addr().String())
	assertKind(t, err, ErrBroken)
}

// TestNewConnectionIsAKeptOne guards against a request for a new connection that gets a kept one, or ends those that are kept.
func TestNewConnectionIsAKeptOne(t *testing.T) {
	addr, connections := startUpstream(t, respondWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	c := newClient(t)
	do := func(r Request) {
		r.Method, r.Target, r.Host, r.Header = http.MethodGet, "/", "h", http.Header{}
		resp, err := c.Do(context.Background(), addr, r)
		require.NoError(t, err)
		resp.Close()
	}
	do(Request{})
	do(Request{MaxIdle: -1})
	assert.Equal(t, int32(2), connections.Load())
	assert.Len(t, c.idle[addr], 2, "both are kept")
}

package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// limitedServer is an HTTP server whose connection limits can be changed by tests.
type limitedServer struct {
	mu     sync.Mutex
	limits connLimits
	conns  *callerConns
	addr   string
	// expireWhenRead lets the timeout of each connection pass just when a request has been read.
	expireWhenRead bool
	served         atomic.Int64
}

func newLimitedServer(t *testing.T, limits connLimits) *limitedServer {
	t.Helper()
	l := &limitedServer{limits: limits}
	l.conns = newCallerConns(func() connLimits {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.limits
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnState: l.onState, ConnContext: withCallerConn, Handler: l.conns.handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.served.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
	}))}
	go func() { _ = server.Serve(callerListener{listener, l.conns}) }()
	t.Cleanup(func() { server.Close() })
	l.addr = listener.Addr().String()
	return l
}

func (l *limitedServer) onState(conn net.Conn, state http.ConnState) {
	if c := conn.(*callerConn); l.expireWhenRead && state == http.StateActive {
		l.conns.mu.Lock()
		c.deadline = time.Now()
		l.conns.mu.Unlock()
		c.expire()
	}
	l.conns.onState(conn, state)
}

func (l *limitedServer) setLimits(limits connLimits) {
	l.mu.Lock()
	l.limits = limits
	l.mu.Unlock()
	l.conns.applyIdleLimit()
}

func (l *limitedServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// readUntilClosed returns everything that is read until the server closes the connection.
func readUntilClosed(t *testing.T, conn net.Conn) string {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	data, err := io.ReadAll(conn)
	assert.NoError(t, err, "the server must close the connection")
	return string(data)
}

// assertOK reads a response and checks that its status is 200.
func assertOK(t *testing.T, conn net.Conn) {
	t.Helper()
	buffer := make([]byte, 1024)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200 OK"))
}

const (
	longLimit       = time.Minute
	shortLimit      = 50 * time.Millisecond
	completeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

func TestCallerConnLimits(t *testing.T) {
	t.Run("closes a connection that never sends a request", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: shortLimit, header: longLimit})
		assert.Empty(t, readUntilClosed(t, l.dial(t, "")))
	})
	t.Run("closes a connection that is idle after a request", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: shortLimit, header: longLimit})
		assert.Contains(t, readUntilClosed(t, l.dial(t, completeRequest)), "200 OK")
	})
	t.Run("times out a slow header", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: longLimit, header: shortLimit})
		assert.Contains(t, readUntilClosed(t, l.dial(t, "GET / HTTP/1.1\r\nHo")), "408 Request Timeout")
	})
	t.Run("times out a slow header of a later request", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: longLimit, header: shortLimit})
		conn := l.dial(t, completeRequest)
		assertOK(t, conn)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
		require.NoError(t, err)
		assert.Contains(t, readUntilClosed(t, conn), "408 Request Timeout")
	})
	t.Run("closes a connection whose next header began before the response", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: shortLimit, header: longLimit})
		assert.Contains(t, readUntilClosed(t, l.dial(t, completeRequest+"GET / HTTP/1.1\r\nHo")), "200 OK")
	})
	t.Run("does not time out while a request is served", func(t *testing.T) {
		const limit = time.Second // long enough to read the header on a busy machine
		l := newLimitedServer(t, connLimits{idle: limit, header: limit})
		conn := l.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\na")
		time.Sleep(3 * limit / 2)
		_, err := io.WriteString(conn, "b")
		require.NoError(t, err)
		assert.Contains(t, readUntilClosed(t, conn), "200 OK")
	})
	t.Run("applies a shorter limit to an idle connection", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: longLimit, header: longLimit})
		conn := l.dial(t, completeRequest)
		assertOK(t, conn)
		l.setLimits(connLimits{idle: shortLimit, header: longLimit})
		assert.Empty(t, readUntilClosed(t, conn))
	})
	t.Run("drops closed connections", func(t *testing.T) {
		l := newLimitedServer(t, connLimits{idle: longLimit, header: longLimit})
		l.dial(t, completeRequest).Close()
		assert.Eventually(t, func() bool {
			l.conns.mu.Lock()
			defer l.conns.mu.Unlock()
			return len(l.conns.conns) == 0
		}, 10*time.Second, time.Millisecond)
	})
}

// TestRequestIsServedOnAnExpiredConnection guards against a request that is served although its caller has got 408, which promises that it
// never runs, since the timeout of its header passed while its last byte was read.
func TestRequestIsServedOnAnExpiredConnection(t *testing.T) {
	l := newLimitedServer(t, connLimits{idle: longLimit, header: longLimit})
	l.expireWhenRead = true
	assert.Contains(t, readUntilClosed(t, l.dial(t, completeRequest)), "408 Request Timeout")
	// The connection may be closed before its request is served.
	assert.Never(t, func() bool { return l.served.Load() > 0 }, 200*time.Millisecond, 5*time.Millisecond)
}

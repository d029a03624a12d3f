package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// limited serves connections under limits that tests change.
type limited struct {
	mu     sync.Mutex
	limits connLimits
	conns  *callerConns
	addr   string
}

func newLimited(t *testing.T, limits connLimits) *limited {
	t.Helper()
	l := &limited{limits: limits}
	l.conns = newCallerConns(func() connLimits {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.limits
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnState: l.conns.onState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
	})}
	go func() { _ = server.Serve(callerListener{listener, l.conns}) }()
	t.Cleanup(func() { server.Close() })
	l.addr = listener.Addr().String()
	return l
}

func (l *limited) set(limits connLimits) {
	l.mu.Lock()
	l.limits = limits
	l.mu.Unlock()
	l.conns.shorten()
}

func (l *limited) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.addr)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	return conn
}

// readAll returns what comes until the connection ends.
func readAll(t *testing.T, conn net.Conn) string {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	data, err := io.ReadAll(conn)
	assert.NoError(t, err, "the connection is closed")
	return string(data)
}

// assertAnswered reads one answer.
func assertAnswered(t *testing.T, conn net.Conn) {
	t.Helper()
	buffer := make([]byte, 1024)
	n, err := conn.Read(buffer)
	require.NoError(t, err)
	require.True(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 200 OK"))
}

const (
	long  = time.Minute
	short = 50 * time.Millisecond
	whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
)

func TestConnectionsOfCallersAreLimited(t *testing.T) {
	t.Run("idle from the start", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: short, header: long})
		assert.Empty(t, readAll(t, l.dial(t, "")))
	})
	t.Run("idle after a request", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: short, header: long})
		assert.Contains(t, readAll(t, l.dial(t, whole)), "200 OK")
	})
	t.Run("a slow header", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: long, header: short})
		assert.Contains(t, readAll(t, l.dial(t, "GET / HTTP/1.1\r\nHo")), "408 Request Timeout")
	})
	t.Run("a slow header of a later request", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: long, header: short})
		conn := l.dial(t, whole)
		assertAnswered(t, conn)
		_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHo")
		require.NoError(t, err)
		assert.Contains(t, readAll(t, conn), "408 Request Timeout")
	})
	t.Run("a slow header that began before the answer", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: short, header: long})
		assert.Contains(t, readAll(t, l.dial(t, whole+"GET / HTTP/1.1\r\nHo")), "200 OK")
	})
	t.Run("not while a request is served", func(t *testing.T) {
		const limit = time.Second // enough for a busy machine to read the header
		l := newLimited(t, connLimits{idle: limit, header: limit})
		conn := l.dial(t, "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\na")
		time.Sleep(3 * limit / 2)
		_, err := io.WriteString(conn, "b")
		require.NoError(t, err)
		assert.Contains(t, readAll(t, conn), "200 OK")
	})
	t.Run("idle already when a shorter limit comes", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: long, header: long})
		conn := l.dial(t, whole)
		assertAnswered(t, conn)
		l.set(connLimits{idle: short, header: long})
		assert.Empty(t, readAll(t, conn))
	})
	t.Run("ended ones are forgotten", func(t *testing.T) {
		l := newLimited(t, connLimits{idle: long, header: long})
		l.dial(t, whole).Close()
		assert.Eventually(t, func() bool {
			l.conns.mu.Lock()
			defer l.conns.mu.Unlock()
			return len(l.conns.conns) == 0
		}, 10*time.Second, time.Millisecond)
	})
}

package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// requestTimeoutResponse is sent to a caller whose header takes too long. The request has not run, because its header
// was never complete.
const requestTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connPhase says what a connection of a caller is waiting for.
type connPhase int

const (
	phaseIdle    connPhase = iota // waiting for the first byte of a request
	phaseHeader                   // waiting for the rest of a header
	phaseActive                   // serving a request; no timeout applies
	phaseExpired                  // closed because a timeout has passed
)

// connLimits holds the idle timeout of callers' connections and the timeout for reading a request header.
type connLimits struct {
	idle, header time.Duration
}

// callerConns enforces the idle and header timeouts of callers' connections. It exists because the limits change with
// the declarations, and net/http reads such timeouts only once, when a server starts.
type callerConns struct {
	limits func() connLimits

	mu    sync.Mutex
	conns map[*callerConn]bool
}

// newCallerConns returns an empty callerConns. limits returns the limits currently in force.
func newCallerConns(limits func() connLimits) *callerConns {
	return &callerConns{limits: limits, conns: map[*callerConn]bool{}}
}

// callerConn is a connection of a caller. Its phase and deadline are guarded by owner.mu.
type callerConn struct {
	net.Conn
	owner    *callerConns
	timer    *time.Timer
	phase    connPhase
	deadline time.Time
}

// callerConnKey is the key of a request's connection in its context.
type callerConnKey struct{}

// withCallerConn is the http.Server.ConnContext hook. It makes a connection available to the requests on it.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerConnOf returns the connection of a request, or nil if it did not come through ListenCallers.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// setResetOnClose sets whether the end of the connection, also by the end of the process, is a reset. Otherwise it is an
// orderly close.
func (c *callerConn) setResetOnClose(reset bool) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if reset {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}

// handler returns a handler that passes requests to next, but those whose connection has expired: their callers have been told that they do
// not run.
func (a *callerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := callerConnOf(r); conn != nil && conn.hasExpired() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// callerListener accepts connections and registers them with conns.
type callerListener struct {
	net.Listener
	conns *callerConns
}

// Accept waits for the next connection and returns it as a *callerConn.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.conns.add(conn), nil
}

// add registers a connection and starts its idle timeout.
func (a *callerConns) add(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, owner: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = true
	c.timer = time.AfterFunc(a.limits().idle, c.expire)
	c.deadline = time.Now().Add(a.limits().idle)
	return c
}

// Read reads from the connection. The first byte of a request ends the idle phase and starts the header timeout.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.owner.mu.Lock()
		defer c.owner.mu.Unlock()
		if c.phase == phaseIdle {
			c.startPhase(phaseHeader, c.owner.limits().header)
		}
	}
	return n, err
}

// startPhase sets the phase and restarts the timer. The caller must hold owner.mu.
func (c *callerConn) startPhase(phase connPhase, limit time.Duration) {
	c.phase = phase
	c.deadline = time.Now().Add(limit)
	c.timer.Reset(limit)
}

// onState is the http.Server.ConnState hook. It tracks the phase of each connection and removes closed ones.
func (a *callerConns) onState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		c.timer.Stop()
		if c.phase != phaseExpired {
			c.phase = phaseActive
		}
	case http.StateIdle:
		c.startPhase(phaseIdle, a.limits().idle)
	case http.StateClosed, http.StateHijacked:
		c.timer.Stop()
		delete(a.conns, c)
	}
}

// expire is called by the timer and closes the connection if its deadline has passed. It does nothing while a request
// is served, or if the deadline has been moved since the timer fired.
func (c *callerConn) expire() {
	phase, expired := c.tryExpire()
	if !expired {
		return
	}
	if phase == phaseHeader {
		_, _ = c.Write([]byte(requestTimeoutResponse))
	}
	c.Close()
}

// tryExpire marks the connection as expired if its deadline has passed. It returns what the connection was waiting for.
func (c *callerConn) tryExpire() (connPhase, bool) {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	phase := c.phase
	if phase == phaseActive || phase == phaseExpired || time.Now().Before(c.deadline) {
		return phase, false
	}
	c.phase = phaseExpired
	return phase, true
}

// hasExpired reports whether the connection has been closed because a timeout has passed.
func (c *callerConn) hasExpired() bool {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	return c.phase == phaseExpired
}

// applyIdleLimit applies a shorter idle limit to connections that are already idle.
func (a *callerConns) applyIdleLimit() {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limits().idle
	for c := range a.conns {
		if c.phase == phaseIdle && time.Until(c.deadline) > limit {
			c.startPhase(phaseIdle, limit)
		}
	}
}

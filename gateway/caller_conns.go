package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// requestTimeoutAnswer is what a caller gets whose header takes too long. Nothing has been read that could run.
const requestTimeoutAnswer = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// connPhase is what a connection of a caller waits for.
type connPhase int

const (
	phaseIdle   connPhase = iota // the first byte of a request
	phaseHeader                  // the rest of a header
	phaseActive                  // nothing: a request is being served
)

// connLimits says how long connections of callers may be idle, and how long a header may take.
type connLimits struct {
	idle, header time.Duration
}

// callerConns closes connections of callers that take longer than the limits in force allow. net/http takes such
// limits only once, at the start of a server.
type callerConns struct {
	limits func() connLimits

	mu    sync.Mutex
	conns map[*callerConn]bool
}

func newCallerConns(limits func() connLimits) *callerConns {
	return &callerConns{limits: limits, conns: map[*callerConn]bool{}}
}

// callerConn is one connection. The lock of its callerConns guards it.
type callerConn struct {
	net.Conn
	all   *callerConns
	timer *time.Timer
	phase connPhase
	dueAt time.Time
}

// callerListener wraps the connections that it accepts.
type callerListener struct {
	net.Listener
	all *callerConns
}

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.all.add(conn), nil
}

func (a *callerConns) add(conn net.Conn) *callerConn {
	c := &callerConn{Conn: conn, all: a}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.conns[c] = true
	c.timer = time.AfterFunc(a.limits().idle, c.expire)
	c.dueAt = time.Now().Add(a.limits().idle)
	return c
}

// Read notices the first byte of a header.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.all.mu.Lock()
		defer c.all.mu.Unlock()
		if c.phase == phaseIdle {
			c.enter(phaseHeader, c.all.limits().header)
		}
	}
	return n, err
}

func (c *callerConn) enter(phase connPhase, limit time.Duration) {
	c.phase = phase
	c.dueAt = time.Now().Add(limit)
	c.timer.Reset(limit)
}

// onState follows the states of a server's connections.
func (a *callerConns) onState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch state {
	case http.StateActive:
		c.phase = phaseActive
		c.timer.Stop()
	case http.StateIdle:
		c.enter(phaseIdle, a.limits().idle)
	case http.StateClosed, http.StateHijacked:
		c.timer.Stop()
		delete(a.conns, c)
	}
}

// expire closes a connection whose time is over.
func (c *callerConn) expire() {
	c.all.mu.Lock()
	phase := c.phase
	due := !time.Now().Before(c.dueAt)
	c.all.mu.Unlock()
	if phase == phaseActive || !due {
		return
	}
	if phase == phaseHeader {
		_, _ = c.Write([]byte(requestTimeoutAnswer))
	}
	c.Close()
}

// shorten applies new limits to the connections that are idle already.
func (a *callerConns) shorten() {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limits().idle
	for c := range a.conns {
		if c.phase == phaseIdle && time.Until(c.dueAt) > limit {
			c.enter(phaseIdle, limit)
		}
	}
}

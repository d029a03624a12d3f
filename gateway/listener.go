package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readHeaderTimeout ends connections that send a header too slowly.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds what is read before the limits of the declarations are looked up.
	maxHeaderBytes = 256 << 10
	// defaultIdleTimeout closes idle connections while no declarations are in force.
	defaultIdleTimeout = 15 * time.Second
)

// idleConns closes connections that have been idle for longer than the declarations in force allow.
type idleConns struct {
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// onState follows the states of a server's connections.
func (i *idleConns) onState(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	timer := i.timers[conn]
	switch state {
	case http.StateNew, http.StateIdle:
		if timer != nil {
			timer.Reset(i.limit())
			return
		}
		i.timers[conn] = time.AfterFunc(i.limit(), func() { i.expire(conn) })
	case http.StateActive:
		if timer != nil {
			timer.Stop()
		}
	case http.StateClosed, http.StateHijacked:
		if timer != nil {
			timer.Stop()
		}
		delete(i.timers, conn)
	}
}

func (i *idleConns) expire(conn net.Conn) {
	i.mu.Lock()
	_, known := i.timers[conn]
	i.mu.Unlock()
	if known {
		conn.Close()
	}
}

// ListenCallers serves callers at an address. failed gets the error with which serving ended early. The returned
// function stops listening and waits for the requests under way until its context is done.
func (s *Server) ListenCallers(addr string, failed chan<- error) (stop func(context.Context) error, err error) {
	idle := &idleConns{timers: map[net.Conn]*time.Timer{}, limit: func() time.Duration {
		if table := s.control.Table(); table != nil && table.Limits.IdleTimeout > 0 {
			return table.Limits.IdleTimeout
		}
		return defaultIdleTimeout
	}}
	server := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: idle.onState}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrUnreadable, Err: err}
	}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- &Error{Op: "serve " + addr, Kind: ErrUnreadable, Err: err}
		}
	}()
	return server.Shutdown, nil
}

// ReadinessHandler answers whether the VM takes new connections.
func (c *Controller) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
)

const (
	// defaultHeaderTimeout is the header timeout while no declarations are in force, or if they set none.
	defaultHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the request header that net/http reads. The declared limit is checked after that.
	maxHeaderBytes = 256 << 10
	// defaultIdleTimeout is the idle timeout while no declarations are in force, or if they set none.
	defaultIdleTimeout = 15 * time.Second
)

// ListenCallers serves callers on a TCP address. It returns an error if it cannot listen there; if serving fails later,
// the error is sent to failed. The returned function stops listening and waits until the requests in flight have ended
// or its context is done.
func (s *Server) ListenCallers(addr string, failed chan<- error) (stop func(context.Context) error, err error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: ErrUnreadable, Err: err}
	}
	conns := newCallerConns(s.connLimits)
	s.control.onDeclarations(conns.applyIdleLimit)
	server := &http.Server{Handler: conns.handler(s), MaxHeaderBytes: maxHeaderBytes, ConnState: conns.onState, ConnContext: withCallerConn, ErrorLog: zap.NewStdLog(s.log)}
	go func() {
		if err := server.Serve(callerListener{listener, conns}); !errors.Is(err, http.ErrServerClosed) {
			failed <- &Error{Op: "serve " + addr, Kind: ErrUnreadable, Err: err}
		}
	}()
	return func(ctx context.Context) error {
		err := server.Shutdown(ctx)
		// Shutdown looks only every half second whether the last request has ended.
		if err != nil && s.logCutRequests() == 0 {
			return nil
		}
		return err
	}, nil
}

// connLimits returns the declared limits for callers' connections, with defaults for those that are not declared.
func (s *Server) connLimits() connLimits {
	limits := connLimits{idle: defaultIdleTimeout, header: defaultHeaderTimeout}
	table := s.control.Table()
	if table == nil {
		return limits
	}
	if declared := table.Limits.IdleTimeout; declared > 0 {
		limits.idle = declared
	}
	if declared := table.Limits.HeaderTimeout; declared > 0 {
		limits.header = declared
	}
	return limits
}

// ReadinessHandler returns a handler that responds with 200 if the VM takes new connections and with 503 otherwise.
func (c *Controller) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !c.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

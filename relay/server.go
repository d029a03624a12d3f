package relay

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
)

const (
	// maxRelayed is the number of connections that a VM relays at a time, so that its own callers have room.
	maxRelayed = 400
	// serverDialTimeout bounds an attempt to open a connection for a peer, which waits a little longer.
	serverDialTimeout = 150 * time.Millisecond
	// requestTimeout bounds the time in which a peer must have sent its request.
	requestTimeout = time.Second
	// relayBufferBytes is the size of the buffer of one direction of a relayed connection.
	relayBufferBytes = 8 << 10
)

// Server opens connections to upstreams for peers.
type Server struct {
	paths *Paths
	dial  exchange.Dial
	// allows reports whether a peer at an address may have a connection to a target.
	allows func(from netip.Addr, target string) bool
	log    *zap.Logger
	now    func() time.Time
	http   *http.Server

	leaving atomic.Bool
	places  chan struct{}
	relayed sync.WaitGroup
	mu      sync.Mutex
	conns   map[net.Conn]struct{}
}

// Listen serves peers on addr. allows reports whether a peer at an address may have a connection to a target, an IP address and
// port. The returned function closes the connections that are still relayed when its context is done.
func Listen(addr string, paths *Paths, dial exchange.Dial, allows func(from netip.Addr, target string) bool, log *zap.Logger) (*Server, func(context.Context), error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, &Error{Op: "listen for peers", Kind: ErrFailed, Err: err}
	}
	s := &Server{paths: paths, dial: dial, allows: allows, log: log, now: time.Now, places: make(chan struct{}, maxRelayed), conns: map[net.Conn]struct{}{}}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: requestTimeout, ErrorLog: zap.NewStdLog(log)}
	go func() {
		if err := s.http.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error("relay-stopped", zap.String("Address", addr), zap.Error(err))
		}
	}()
	return s, s.stop, nil
}

// Leave makes the server open no more connections. Those that are open go on.
func (s *Server) Leave() { s.leaving.Store(true) }

// stop waits for the relayed connections until ctx is done, and then closes them.
func (s *Server) stop(ctx context.Context) {
	s.Leave()
	ended := make(chan struct{})
	go func() {
		s.relayed.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	_ = s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		reset(conn)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	target, request := r.Host, r.Header.Get(headerRequest)
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	switch {
	case r.Method != http.MethodConnect:
		http.Error(w, "only CONNECT is served", http.StatusMethodNotAllowed)
		return
	case err != nil || !s.allows(from.Addr().Unmap(), target):
		s.log.Warn("relay-denied", zap.String("Request", request), zap.String("From", r.RemoteAddr), zap.String("Address", target))
		http.Error(w, "not a peer, or not an upstream", http.StatusForbidden)
		return
	case s.leaving.Load() || s.paths.CutOff():
		http.Error(w, "this VM opens no connections", http.StatusServiceUnavailable)
		return
	}
	select {
	case s.places <- struct{}{}:
		defer func() { <-s.places }()
	default:
		http.Error(w, "too many connections are relayed", http.StatusServiceUnavailable)
		return
	}
	s.relayed.Add(1)
	defer s.relayed.Done()
	s.relay(w, r, request, target)
}

// relay opens a connection to a target, and relays it.
func (s *Server) relay(w http.ResponseWriter, r *http.Request, request, target string) {
	ctx, cancel := context.WithTimeout(r.Context(), serverDialTimeout)
	defer cancel()
	upstream, err := s.dial(ctx, "tcp", target)
	s.paths.recordDirect(s.now(), target, err == nil)
	s.log.Info("connection-opened-for-peer", zap.String("Request", request), zap.String("From", r.RemoteAddr), zap.String("Address", target), zap.Error(err))
	if err != nil {
		s.writeDialError(w, err)
		return
	}
	caller, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		upstream.Close()
		s.log.Error("connection-not-relayed", zap.String("Request", request), zap.Error(err))
		return
	}
	defer s.track(caller, upstream)()
	_ = caller.SetDeadline(time.Time{})
	if _, err := caller.Write([]byte("HTTP/1.1 200 Connected\r\n\r\n")); err != nil {
		caller.Close()
		upstream.Close()
		return
	}
	err = tunnel{caller, upstream}.run()
	s.log.Info("connection-of-peer-ended", zap.String("Request", request), zap.String("From", r.RemoteAddr), zap.String("Address", target), zap.Error(err))
}

// writeDialError answers that a connection could not be opened. One that was not refused may have been lost on the way of a VM that has
// reached no upstream lately.
func (s *Server) writeDialError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		w.Header().Set(headerKind, string(ErrRefused))
	case s.paths.Sound(s.now()):
		w.Header().Set(headerKind, string(ErrUnreachable))
	}
	http.Error(w, "the upstream cannot be reached", http.StatusBadGateway)
}

// track keeps connections until the returned function is called, so that stop can close them.
func (s *Server) track(conns ...net.Conn) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range conns {
		s.conns[conn] = struct{}{}
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, conn := range conns {
			delete(s.conns, conn)
		}
	}
}

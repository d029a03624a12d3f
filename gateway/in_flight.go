package gateway

import (
	"sync"

	"go.uber.org/zap"
)

// inFlight is the set of requests that are being served. It is safe for concurrent use.
type inFlight struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

// add adds a request until the returned function is called.
func (f *inFlight) add(r *request) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.requests == nil {
		f.requests = map[*request]struct{}{}
	}
	f.requests[r] = struct{}{}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.requests, r)
	}
}

// logCutRequests logs each request that the end of the process cuts. Requests are still being served meanwhile, so only
// fields that do not change are read.
func (s *Server) logCutRequests() {
	s.inFlight.mu.Lock()
	defer s.inFlight.mu.Unlock()
	now := s.control.now()
	for r := range s.inFlight.requests {
		s.log.Warn("request-cut", zap.String("Request", r.info.Attempt), zap.String("Host", r.http.Host), zap.Duration("Age", now.Sub(r.arrivedAt)))
	}
}

package gateway

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

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

// all returns the requests in flight.
func (f *inFlight) all() []*request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Keys(f.requests))
}

// longest returns the longest time for which other requests of the route of r have been in flight.
func (f *inFlight) longest(now time.Time, r *request) time.Duration {
	longest := time.Duration(0)
	for _, other := range f.all() {
		if other != r && other.http.Host == r.http.Host && strings.HasPrefix(other.http.URL.Path, r.route.Prefix) {
			longest = max(longest, now.Sub(other.arrivedAt))
		}
	}
	return longest
}

// logCutRequests logs each request that the end of the process cuts, and returns their number. Requests are still being
// served meanwhile, so only fields that do not change are read.
func (s *Server) logCutRequests() int {
	now := s.control.now()
	cut := s.inFlight.all()
	for _, r := range cut {
		s.log.Warn("request-cut", zap.String("Request", r.info.Attempt), zap.String("Host", r.http.Host), zap.Duration("Age", now.Sub(r.arrivedAt)))
	}
	return len(cut)
}

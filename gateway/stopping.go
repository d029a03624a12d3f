package gateway

import (
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/placement"
)

const (
	// stoppingRetryAfter is the Retry-After sent when this VM stops too soon for a request. Other VMs take it at once.
	stoppingRetryAfter = 100 * time.Millisecond
	// unansweredMargin is how long before the end of a stop the requests without an answer are ended, so that their callers
	// receive an error in place of a closed connection.
	unansweredMargin = 150 * time.Millisecond
)

// errStopping is the cancellation cause of a request that outlasts the stop of its VM.
var errStopping = errors.New("this VM stops before the request is done")

// stopping is the planned end of a VM. The zero value is a VM that is not stopping.
type stopping struct {
	// endsAt is when requests without an answer are ended, or nil.
	endsAt atomic.Pointer[time.Time]
}

// canFinish reports whether a request that expires at deadline and is expected to take expected has its answer before the end
// of the stop. A request that expires before has at least its error by then.
func (s *stopping) canFinish(now, deadline time.Time, expected time.Duration) bool {
	endsAt := s.endsAt.Load()
	return endsAt == nil || !deadline.After(*endsAt) || !now.Add(expected).After(*endsAt)
}

// BeginStop marks the VM as leaving. Until endsAt it finishes what it has taken, and takes what it can finish. Then requests
// that have no answer yet end with an error.
func (s *Server) BeginStop(endsAt time.Time) {
	unansweredAt := endsAt.Add(-unansweredMargin)
	s.stopping.endsAt.Store(&unansweredAt)
	s.control.Leave()
	time.AfterFunc(time.Until(unansweredAt), s.endUnanswered)
}

// endUnanswered ends the requests whose callers have not received the beginning of an answer.
func (s *Server) endUnanswered() {
	for _, r := range s.inFlight.all() {
		if !r.w.answering.Load() && r.cancel != nil {
			s.log.Warn("request-ended-by-stop", zap.String("Request", r.info.Attempt), zap.Duration("Age", s.control.now().Sub(r.arrivedAt)))
			r.cancel(errStopping)
		}
	}
}

// checkStopping returns an error if this VM stops before it could finish the request.
func (s *Server) checkStopping(r *request) *Error {
	if !s.control.Leaving() {
		return nil
	}
	now := s.control.now()
	tokens := r.outputTokens()
	expected, samples := s.workTimes.Estimate(r.route.Name, tokens)
	if samples < placement.MinWorkTimeSamples {
		expected = max(expected, s.inFlight.longest(now, r))
	}
	canFinish := s.stopping.canFinish(now, r.deadline, expected)
	s.log.Info("stop-weighed", zap.String("Request", r.info.Attempt), zap.Duration("Expected", expected), zap.Int("Samples", samples),
		zap.Time("Deadline", r.deadline), zap.Bool("CanFinish", canFinish))
	if canFinish {
		return nil
	}
	return errorf("admit", ErrStopping, "%w: it is expected to take %v", errStopping, expected).withRetryAfter(stoppingRetryAfter)
}

// outputTokens returns the expected output in tokens, or 0 if the request's pool has no engines.
func (r *request) outputTokens() int {
	if r.pool.Engine == nil {
		return 0
	}
	return r.expectedOutput()
}

// recordWorkTime records how long a request took that has its whole answer, or whose time ran out while an upstream was at
// work on it.
func (s *Server) recordWorkTime(r *request, reqErr *Error, took time.Duration) {
	answered := reqErr == nil && r.w.status == http.StatusOK
	timedOut := reqErr != nil && reqErr.Kind == ErrTimeout && !r.w.started
	if !answered && !timedOut {
		return
	}
	untilFirst := took
	if answered && !r.w.firstByteAt.IsZero() {
		untilFirst = r.w.firstByteAt.Sub(r.arrivedAt)
	}
	s.workTimes.Record(r.route.Name, untilFirst, took, r.outputTokens())
}

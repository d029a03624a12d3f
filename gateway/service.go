package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// maxTries bounds how many upstreams one request is offered, those that did not run it included.
	maxTries = 4
	// guardedIdle bounds how long a connection may have been idle to carry a request that must not run twice: a
	// connection that breaks as it is used again leaves the request in doubt.
	guardedIdle = 400 * time.Millisecond
)

// callService sends a request to an upstream of a plain service, and to further ones as far as it may be sent again.
func (s *Server) callService(ctx context.Context, r *request) *Error {
	for try := 1; ; try++ {
		replica, found := s.control.pickService(r.pool.Name, r.avoid)
		if !found {
			return refuse("pick upstream", ErrNoUpstream, "no upstream of pool %q is left after %d tries", r.pool.Name, try-1).withRetryAfter(noUpstreamRetry)
		}
		sentAt := s.control.now()
		resp, failed := s.exchange(ctx, r, replica, Hop{Replica: replica.ID, Account: r.accountName(), LastEvent: r.call.LastEvent})
		if failed == nil && resp.Status >= http.StatusInternalServerError && s.mayRunAgain(r, try) {
			s.log.Info("answer-passed-over", zap.String("Request", r.call.Attempt), zap.String("Replica", replica.ID), zap.Int("Status", resp.Status))
			resp.Close()
			s.control.releaseService(replica.ID, 0)
			r.avoid = append(r.avoid, replica.ID)
			continue
		}
		if failed == nil {
			s.control.releaseService(replica.ID, s.control.now().Sub(sentAt))
			return s.passOn(r, replica, resp)
		}
		s.control.releaseService(replica.ID, 0)
		if refusal := s.afterFailure(ctx, r, failed, try); refusal != nil {
			return refusal
		}
	}
}

// mayRunAgain reports whether a request that may have run may run at a further upstream, and takes the repeat from
// the budget.
func (s *Server) mayRunAgain(r *request, try int) bool {
	return r.route.Repeat == routing.Idempotent && r.attempts < r.route.MaxAttempts && try < maxTries && s.mayRepeat(r)
}

func (s *Server) mayRepeat(r *request) bool {
	if !s.control.mayRepeat(r.pool.Name) {
		s.log.Info("repeat-refused", zap.String("Request", r.call.Attempt), zap.String("Pool", r.pool.Name))
		return false
	}
	s.metrics.Repeats.WithLabelValues(r.pool.Name).Inc()
	return true
}

// attemptFailure is an exchange that gave no answer to pass on.
type attemptFailure struct {
	// arrived says that the upstream saw the request, and mayHaveRun that it may have run it.
	arrived    bool
	mayHaveRun bool
	// final says that the retry budget has been asked already, in vain.
	final bool
	err   error
}

// afterFailure returns the refusal with which a request ends after a failed exchange, or nil if it is to be sent to a
// further upstream.
func (s *Server) afterFailure(ctx context.Context, r *request, failed *attemptFailure, try int) *Error {
	switch {
	case ctx.Err() != nil:
		return s.ended(ctx, r)
	case failed.mayHaveRun && !s.mayRunAgain(r, try):
		return &Error{Op: "forward", Kind: ErrUpstream, Err: failed.err}
	case failed.mayHaveRun:
		return nil
	case try >= maxTries, failed.arrived && !s.mayRepeat(r):
		return (&Error{Op: "forward", Kind: ErrOverload, Err: failed.err}).withRetryAfter(noUpstreamRetry)
	}
	return nil
}

// ended returns why a request is over: its time is up or its caller has left.
func (s *Server) ended(ctx context.Context, r *request) *Error {
	if r.http.Context().Err() != nil {
		return &Error{Op: "forward", Kind: ErrCallerGone, Err: context.Cause(ctx)}
	}
	if r.attempts == 0 {
		return &Error{Op: "forward", Kind: ErrOverload, Err: errors.New("no upstream took the request in its time")}
	}
	return &Error{Op: "forward", Kind: ErrTimeout, Err: context.Cause(ctx)}
}

// exchange sends the request to one upstream. The answer is the upstream's own; one that says that the request has
// not run is a failure.
func (s *Server) exchange(ctx context.Context, r *request, to placement.Replica, hop Hop) (*exchange.Response, *attemptFailure) {
	hop.Remaining = r.until.Sub(s.control.now())
	header := s.protocol.Forward(r.http.Header)
	s.protocol.Address(header, hop)
	message := exchange.Request{Method: r.http.Method, Target: r.target, Host: r.http.Host, Header: header, Body: r.body,
		Accept: func(h http.Header) bool {
			attempt := s.protocol.ReadAnswer(http.StatusOK, h).Attempt
			return attempt == "" || attempt == r.call.Attempt
		}}
	if r.route.Repeat == routing.AtMostOnce {
		message.MaxIdle = guardedIdle
	}
	sentAt := s.control.now()
	resp, err := s.upstreams.Do(ctx, to.Address, message)
	if err != nil {
		return nil, s.exchangeFailed(ctx, r, to, hop, sentAt, err)
	}
	verdict := s.protocol.ReadAnswer(resp.Status, resp.Header)
	if !verdict.NotRun {
		if hop.Stage == placement.StageNone {
			r.attempts++
		}
		s.log.Debug("upstream-answered", zap.String("Request", r.call.Attempt), zap.String("Replica", to.ID), zap.Int("Status", resp.Status))
		return resp, nil
	}
	resp.Close()
	s.log.Info("upstream-refused", zap.String("Request", r.call.Attempt), zap.String("Replica", to.ID), zap.Int("Status", resp.Status),
		zap.Bool("Misdirected", verdict.Misdirected), zap.Stringer("Stage", hop.Stage))
	s.metrics.UpstreamFailures.WithLabelValues(r.pool.Name, "Refused").Inc()
	if verdict.Misdirected {
		s.control.replaced(to)
		s.upstreams.Forget(to.Address)
	}
	full := !verdict.Misdirected
	if full && to.Stage != placement.StageNone {
		// An engine that has no room now may have some when the request is placed again.
		s.control.full(to)
	} else {
		r.avoid = append(r.avoid, to.ID)
	}
	return nil, &attemptFailure{arrived: true, err: errors.New("the upstream did not run the request")}
}

// exchangeFailed notes an exchange without an answer.
func (s *Server) exchangeFailed(ctx context.Context, r *request, to placement.Replica, hop Hop, sentAt time.Time, err error) *attemptFailure {
	var exchangeErr *exchange.Error
	unsent := errors.As(err, &exchangeErr) && exchangeErr.Kind == exchange.ErrUnsent
	if !unsent && hop.Stage == placement.StageNone {
		r.attempts++
	}
	kind := string(exchange.ErrInDoubt)
	if exchangeErr != nil {
		kind = string(exchangeErr.Kind)
	}
	s.log.Info("upstream-failed", zap.String("Request", r.call.Attempt), zap.String("Replica", to.ID), zap.String("Address", to.Address),
		zap.Stringer("Stage", hop.Stage), zap.String("Kind", kind), zap.Duration("After", s.control.now().Sub(sentAt)), zap.Error(err))
	s.metrics.UpstreamFailures.WithLabelValues(r.pool.Name, kind).Inc()
	if ctx.Err() == nil {
		s.control.failed(to, unsent)
	}
	r.avoid = append(r.avoid, to.ID)
	return &attemptFailure{arrived: !unsent, mayHaveRun: !unsent, err: err}
}

// passOn passes the answer of an upstream on to the caller.
func (s *Server) passOn(r *request, from placement.Replica, resp *exchange.Response) *Error {
	defer resp.Close()
	r.notes = append(r.notes, zap.String("Replica", from.ID))
	r.w.start(resp.Status, s.protocol.AnswerHeaders(resp.Header), resp.Length)
	return answerError(r.w.copyWhole(resp))
}

// answerError says why an answer could not be passed on to its end.
func answerError(err error) *Error {
	var own *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &own):
		return own
	}
	return &Error{Op: "pass on answer", Kind: ErrUpstream, Err: err}
}

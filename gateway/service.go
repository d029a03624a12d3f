package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// maxOffers bounds how often one request is offered to an upstream, those that did not run it included.
	maxOffers = 4
	// guardedIdle bounds how long a connection may have been idle to carry a request that must not run twice: a
	// connection that breaks as it is used again leaves the request in doubt.
	guardedIdle = 400 * time.Millisecond
)

// callService sends a request to an upstream of a plain service, and to further ones as far as it may be sent again.
func (s *Server) callService(ctx context.Context, r *request) *Error {
	for {
		replica, found := s.control.pickService(r.pool.Name, r.avoid)
		if !found {
			return refuse("pick upstream", ErrNoUpstream, "no upstream of pool %q is left after %d offers", r.pool.Name, r.state.Offers()).withRetryAfter(noUpstreamRetry)
		}
		r.state = r.state.WithOffer()
		sentAt := s.control.now()
		x := s.exchange(ctx, r, replica, Hop{Replica: replica.ID, Account: r.accountName(), LastEvent: r.call.LastEvent})
		if !s.goesOn(ctx, r, r.state.Next(x.outcome), 1) {
			return s.endService(ctx, r, replica, x, s.control.now().Sub(sentAt))
		}
		s.control.releaseService(replica.ID, 0)
		if x.resp != nil {
			s.log.Info("answer-passed-over", zap.String("Request", r.call.Attempt), zap.String("Replica", replica.ID), zap.Int("Status", x.resp.Status))
			x.resp.Close()
			r.avoid = append(r.avoid, replica.ID)
		}
	}
}

// goesOn reports whether a request is offered to a further upstream, and takes the arrivals there from the budget.
func (s *Server) goesOn(ctx context.Context, r *request, step attempt.Step, arrivals int) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case step == attempt.AgainWithinBudget:
		return s.mayRepeat(r, arrivals)
	}
	return step == attempt.Again
}

// endService ends a request with the answer of the last exchange, or with a failure if there is none.
func (s *Server) endService(ctx context.Context, r *request, replica placement.Replica, x exchanged, took time.Duration) *Error {
	if x.resp == nil {
		s.control.releaseService(replica.ID, 0)
		return s.failure(ctx, r, x.err)
	}
	s.control.releaseService(replica.ID, took)
	return s.passOn(r, replica, x.resp)
}

func (s *Server) mayRepeat(r *request, arrivals int) bool {
	if !s.control.mayRepeat(r.pool.Name, arrivals) {
		s.log.Info("repeat-refused", zap.String("Request", r.call.Attempt), zap.String("Pool", r.pool.Name), zap.Int("Arrivals", arrivals))
		return false
	}
	s.metrics.Repeats.WithLabelValues(r.pool.Name).Add(float64(arrivals))
	return true
}

// exchanged is the end of an exchange with an upstream.
type exchanged struct {
	outcome attempt.Outcome
	// resp is the upstream's own answer, to be closed, or nil if err says why there is none.
	resp *exchange.Response
	err  error
}

// failure returns the error with which a request ends without an answer of an upstream.
func (s *Server) failure(ctx context.Context, r *request, err error) *Error {
	switch {
	case ctx.Err() != nil:
		return s.ended(ctx, r)
	case r.state.NotRun():
		return (&Error{Op: "forward", Kind: ErrOverload, Err: err}).withRetryAfter(noUpstreamRetry)
	}
	return &Error{Op: "forward", Kind: ErrUpstream, Err: err}
}

// ended returns why a request is over: its time is up or its caller has left.
func (s *Server) ended(ctx context.Context, r *request) *Error {
	if r.http.Context().Err() != nil {
		return &Error{Op: "forward", Kind: ErrCallerGone, Err: context.Cause(ctx)}
	}
	if r.state.NotRun() {
		return &Error{Op: "forward", Kind: ErrOverload, Err: errors.New("no upstream took the request in its time")}
	}
	return &Error{Op: "forward", Kind: ErrTimeout, Err: context.Cause(ctx)}
}

// exchange sends the request to one upstream, and notes what it says of the request and of the upstream.
func (s *Server) exchange(ctx context.Context, r *request, to placement.Replica, hop Hop) exchanged {
	runs := hop.Stage == placement.StageNone
	if runs {
		r.state = r.state.WithSent()
	}
	sentAt := s.control.now()
	resp, err := s.upstreams.Do(ctx, to.Address, s.message(r, hop))
	x := exchanged{outcome: attempt.Answered, resp: resp, err: err}
	switch {
	case err != nil:
		x.outcome = s.noteNoAnswer(ctx, r, to, hop, sentAt, err)
	case s.protocol.ReadAnswer(resp.Status, resp.Header).NotRun:
		s.noteRefusal(r, to, hop, resp)
		x = exchanged{outcome: attempt.Refused, err: errors.New("the upstream did not run the request")}
	case resp.Status >= http.StatusInternalServerError:
		x.outcome = attempt.Failed
	}
	if runs {
		r.state = r.state.WithOutcome(x.outcome)
	}
	s.log.Debug("exchange-ended", zap.String("Request", r.call.Attempt), zap.String("Replica", to.ID), zap.Stringer("Outcome", x.outcome),
		zap.Int("Runs", r.state.Runs()))
	return x
}

// message is the request as an upstream gets it.
func (s *Server) message(r *request, hop Hop) exchange.Request {
	hop.Remaining = r.until.Sub(s.control.now())
	header := s.protocol.Forward(r.http.Header)
	s.protocol.Address(header, hop)
	message := exchange.Request{Method: r.http.Method, Target: r.target, Host: r.http.Host, Header: header, Body: r.body,
		Accept: func(h http.Header) bool {
			answers := s.protocol.ReadAnswer(http.StatusOK, h).Attempt
			return answers == "" || answers == r.call.Attempt
		}}
	if r.route.Repeat == routing.AtMostOnce {
		message.MaxIdle = guardedIdle
	}
	return message
}

// noteRefusal notes that an upstream has not run the request.
func (s *Server) noteRefusal(r *request, to placement.Replica, hop Hop, resp *exchange.Response) {
	verdict := s.protocol.ReadAnswer(resp.Status, resp.Header)
	resp.Close()
	s.log.Info("upstream-refused", zap.String("Request", r.call.Attempt), zap.String("Replica", to.ID), zap.Int("Status", resp.Status),
		zap.Bool("Misdirected", verdict.Misdirected), zap.Stringer("Stage", hop.Stage))
	s.metrics.UpstreamFailures.WithLabelValues(r.pool.Name, attempt.Refused.String()).Inc()
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
}

// noteNoAnswer notes an exchange without an answer, and returns what is known of the request.
func (s *Server) noteNoAnswer(ctx context.Context, r *request, to placement.Replica, hop Hop, sentAt time.Time, err error) attempt.Outcome {
	outcome := attempt.InDoubt
	var exchangeErr *exchange.Error
	if errors.As(err, &exchangeErr) && exchangeErr.Kind == exchange.ErrUnsent {
		outcome = attempt.Unsent
	}
	s.log.Info("upstream-failed", zap.String("Request", r.call.Attempt), zap.String("Replica", to.ID), zap.String("Address", to.Address),
		zap.Stringer("Stage", hop.Stage), zap.Stringer("Kind", outcome), zap.Duration("After", s.control.now().Sub(sentAt)), zap.Error(err))
	s.metrics.UpstreamFailures.WithLabelValues(r.pool.Name, outcome.String()).Inc()
	if ctx.Err() == nil {
		s.control.failed(to, outcome == attempt.Unsent)
	}
	r.avoid = append(r.avoid, to.ID)
	return outcome
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

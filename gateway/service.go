package gateway

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/relay"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// maxTries bounds how often one request is sent to an upstream, including upstreams that did not run it.
	maxTries = 4
	// atMostOnceMaxIdle is the longest idle time of a pooled connection that may carry a request that must not run
	// twice. If a stale connection breaks when it is reused, it is unknown whether the request has run.
	atMostOnceMaxIdle = 400 * time.Millisecond
	// busyRetryAfter and busyRetryJitter give the Retry-After of a call that found all upstreams busy. Bursts last for some
	// seconds.
	busyRetryAfter  = 700 * time.Millisecond
	busyRetryJitter = 700 * time.Millisecond
)

// callService sends a request to an upstream of a plain service, and retries at other upstreams as far as the route's
// retry policy and the retry budget allow.
func (s *Server) callService(ctx context.Context, r *request) *Error {
	for {
		endTrial, reqErr := s.admitParts(r)
		if reqErr != nil {
			return reqErr
		}
		reqErr, retry := s.tryService(ctx, r)
		endTrial()
		if !retry {
			return reqErr
		}
	}
}

// tryService sends a request to one upstream of a plain service. It reports whether the request is to be tried again.
func (s *Server) tryService(ctx context.Context, r *request) (reqErr *Error, retry bool) {
	decision := s.control.pickService(r.serviceCall(s.control.now()))
	switch {
	case !decision.Found:
		return errorf("pick upstream", ErrNoUpstream, "no upstream of pool %q is left after %d offers", r.pool.Name, r.state.Tries()).withRetryAfter(noUpstreamRetryAfter), false
	case decision.Refused:
		return s.refuseBusy(r, decision), false
	}
	replica := decision.Replica
	r.state = r.state.WithTry()
	sentAt := s.control.now()
	result := s.exchange(ctx, r, replica, Hop{Replica: replica.ID, Account: r.accountName(), LastEventID: r.info.LastEventID})
	if !s.shouldRetry(ctx, r, r.state.Next(result.outcome), 1) {
		return s.endService(ctx, r, replica, result, s.control.now().Sub(sentAt)), false
	}
	s.control.releaseService(replica.ID, 0, result.load, false)
	if result.resp != nil {
		s.log.Info("response-discarded", zap.String("Request", r.info.Attempt), zap.String("Replica", replica.ID), zap.Int("Status", result.resp.Status))
		result.resp.Close()
		r.avoid = append(r.avoid, replica.ID)
	}
	return nil, true
}

// serviceCall returns what placement needs to know of a request for a plain service.
func (r *request) serviceCall(now time.Time) placement.ServiceCall {
	return placement.ServiceCall{Pool: r.pool.Name, Avoid: r.avoid, Regions: r.regions, Versions: r.versions, Priority: r.route.PriorityFor(r.account),
		Target: r.route.LatencyTarget - now.Sub(r.arrivedAt), Again: r.state.Tries() > 0}
}

// refuseBusy returns the error for a call that is turned away since all upstreams are too busy to complete it in time. Callers
// return at random moments of a second, so that they do not all meet at the same one.
func (s *Server) refuseBusy(r *request, d placement.ServiceDecision) *Error {
	retryAfter := busyRetryAfter + time.Duration(s.random()*float64(busyRetryJitter))
	s.metrics.BusyRefusals.WithLabelValues(r.pool.Name, strconv.Itoa(r.route.PriorityFor(r.account))).Inc()
	s.log.Info("service-busy", zap.String("Request", r.info.Attempt), zap.String("Replica", d.Replica.ID), zap.Duration("QueueWait", d.QueueWait),
		zap.Duration("LoadAge", d.LoadAge), zap.Int("Priority", r.route.PriorityFor(r.account)), zap.Float64("Rate", math.Round(d.Rate)), zap.Float64("Admissible", math.Round(d.Admissible)),
		zap.Float64("Fraction", d.Fraction))
	return errorf("pick upstream", ErrOverload, "the upstreams of pool %q are busy", r.pool.Name).withRetryAfter(retryAfter)
}

// logInvalidLoad logs a load that could not be used, once for each replica and value.
func (s *Server) logInvalidLoad(replica placement.Replica, value string) {
	if value == "" {
		return
	}
	s.control.post(func() { s.control.logInvalidHeader("replica-load-invalid", replica, value) })
}

// shouldRetry reports whether a request is sent to another upstream. If step requires it, cost is charged to the retry
// budget.
func (s *Server) shouldRetry(ctx context.Context, r *request, step attempt.Step, cost int) bool {
	switch {
	case ctx.Err() != nil:
		return false
	case step == attempt.RetryWithinBudget:
		return s.takeRetryBudget(r, cost)
	}
	return step == attempt.Retry
}

// endService relays the response of the last exchange, or returns an error if there is no response. took is the
// duration of that exchange.
func (s *Server) endService(ctx context.Context, r *request, replica placement.Replica, result exchangeResult, took time.Duration) *Error {
	if result.resp == nil {
		s.control.releaseService(replica.ID, 0, result.load, false)
		return s.forwardError(ctx, r, result.err)
	}
	s.control.releaseService(replica.ID, took, result.load, result.resp.Status < http.StatusBadRequest)
	s.watchAnswer(r)
	if result.resp.Status == http.StatusOK {
		s.recordOrigin(r, replica)
	}
	reqErr := s.relayResponse(r, replica, result.resp)
	switch {
	case reqErr == nil:
		s.recordLasting(r)
	case isBroken(reqErr) && ctx.Err() == nil:
		go s.recordBroken(r, replica, r.answer.lasted)
	}
	return reqErr
}

// takeRetryBudget charges cost, a number of requests to upstreams, to the pool's retry budget. It returns false if the
// budget does not cover it.
func (s *Server) takeRetryBudget(r *request, cost int) bool {
	if !s.control.takeRetries(r.pool.Name, cost) {
		s.log.Info("repeat-refused", zap.String("Request", r.info.Attempt), zap.String("Pool", r.pool.Name), zap.Int("Arrivals", cost))
		return false
	}
	s.metrics.Retries.WithLabelValues(r.pool.Name).Add(float64(cost))
	return true
}

// exchangeResult is the result of one exchange with an upstream.
type exchangeResult struct {
	outcome attempt.Outcome
	// resp is the upstream's response, which the receiver must close. It is nil if err is set.
	resp *exchange.Response
	err  error
	// load is what the upstream said of its load, or nil.
	load *placement.ServiceLoad
}

// forwardError returns the error for a request that ends without a response of an upstream. The kind depends on whether
// ctx is done and whether an upstream may have run the request.
func (s *Server) forwardError(ctx context.Context, r *request, err error) *Error {
	switch {
	case ctx.Err() != nil:
		return s.contextError(ctx, r)
	case r.state.NotRun():
		return (&Error{Op: "forward", Kind: ErrOverload, Err: err}).withRetryAfter(noUpstreamRetryAfter)
	}
	return &Error{Op: "forward", Kind: ErrUpstream, Err: err}
}

// contextError returns the error for a request whose context is done: the caller disconnected or the deadline passed.
func (s *Server) contextError(ctx context.Context, r *request) *Error {
	if r.http.Context().Err() != nil {
		return &Error{Op: "forward", Kind: ErrCallerGone, Err: context.Cause(ctx)}
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		return r.stoppingError()
	}
	if r.state.NotRun() {
		return &Error{Op: "forward", Kind: ErrOverload, Err: errors.New("no upstream took the request in its time")}
	}
	return &Error{Op: "forward", Kind: ErrTimeout, Err: context.Cause(ctx)}
}

// stoppingError returns the error for a request that outlasts the stop of this VM.
func (r *request) stoppingError() *Error {
	if r.state.NotRun() {
		return (&Error{Op: "forward", Kind: ErrStopping, Err: errStopping}).withRetryAfter(stoppingRetryAfter)
	}
	return &Error{Op: "forward", Kind: ErrUpstream, Err: errStopping}
}

// exchange sends the request to one upstream and classifies the outcome. It updates the state of the request, and
// reports failures and refusals to the controller.
func (s *Server) exchange(ctx context.Context, r *request, to placement.Replica, hop Hop) exchangeResult {
	runs := hop.Stage == placement.StageNone
	if runs {
		r.state = r.state.WithSent()
	}
	sentAt := s.control.now()
	resp, err := s.upstreams.Do(relay.WithRequest(ctx, r.info.Attempt), to.Address, s.upstreamRequest(r, to, hop))
	result := exchangeResult{outcome: attempt.Answered, resp: resp, err: err}
	var info ResponseInfo
	if err == nil {
		info = s.protocol.ReadResponseInfo(resp.Status, resp.Header)
		s.logInvalidLoad(to, info.InvalidLoad)
		if info.Load != nil && !info.Misdirected {
			info.Load.At = s.control.now()
			result.load = info.Load
		}
	}
	if err == nil && !info.Misdirected {
		s.control.observeLimit(to, info, sentAt)
		s.control.observeCold(to, info)
		s.control.observeLeaving(to, info)
	}
	switch {
	case err != nil:
		result.outcome = s.handleExchangeError(ctx, r, to, hop, sentAt, err)
	case info.NotRun:
		s.handleRefusal(r, to, hop, resp, info)
		result = exchangeResult{outcome: attempt.Refused, err: errors.New("the upstream did not run the request"), load: result.load}
	case resp.Status >= http.StatusInternalServerError:
		result.outcome = attempt.Failed
	case runs:
		if err := s.confirmVersion(ctx, r, to, resp); err != nil {
			resp.Close()
			r.avoid = append(r.avoid, to.ID)
			result = exchangeResult{outcome: attempt.InDoubt, err: err, load: result.load}
		}
	}
	if runs {
		r.state = r.state.WithOutcome(result.outcome)
	}
	s.log.Debug("exchange-ended", zap.String("Request", r.info.Attempt), zap.String("Replica", to.ID), zap.Stringer("Outcome", result.outcome),
		zap.Int("Runs", r.state.Runs()))
	return result
}

// upstreamRequest returns the request to send to an upstream, with the headers for hop. Responses that belong to
// another attempt are not accepted, and a body without framing is whole only if the process lives that was asked.
func (s *Server) upstreamRequest(r *request, to placement.Replica, hop Hop) exchange.Request {
	hop.Remaining = r.deadline.Sub(s.control.now())
	header := s.protocol.ForwardHeaders(r.http.Header)
	s.protocol.SetHopHeaders(header, hop)
	req := exchange.Request{Method: r.http.Method, Target: r.target, Host: r.http.Host, Header: header, Body: r.body, History: &r.conns,
		ConfirmEnd: s.endConfirmation(r, to),
		AcceptResponse: func(h http.Header) bool {
			attemptID := s.protocol.ReadResponseInfo(http.StatusOK, h).Attempt
			return attemptID == r.info.Attempt || attemptID == "" && !s.protocol.NamesAttempts
		}}
	if r.route.Repeat == routing.AtMostOnce {
		req.MaxIdle = atMostOnceMaxIdle
	}
	return req
}

// handleRefusal closes, logs and counts a response that says that the upstream has not run the request. The upstream is
// reported to the controller as replaced if the request was misdirected, and otherwise as full if it is an engine.
func (s *Server) handleRefusal(r *request, to placement.Replica, hop Hop, resp *exchange.Response, info ResponseInfo) {
	resp.Close()
	s.log.Info("upstream-refused", zap.String("Request", r.info.Attempt), zap.String("Replica", to.ID), zap.Int("Status", resp.Status),
		zap.Bool("Misdirected", info.Misdirected), zap.Stringer("Stage", hop.Stage))
	s.metrics.UpstreamFailures.WithLabelValues(r.pool.Name, attempt.Refused.String()).Inc()
	if info.Misdirected {
		s.control.markReplaced(to)
		s.upstreams.CloseIdleConns(to.Address)
	}
	full := !info.Misdirected
	if full && to.Stage != placement.StageNone {
		// A full engine may have a free slot by the time the request is placed again, so it is not avoided.
		s.control.recordFull(to)
	} else {
		r.avoid = append(r.avoid, to.ID)
	}
}

// handleExchangeError logs and counts an exchange without a response. The upstream is reported as failed unless ctx is
// done. handleExchangeError returns attempt.Unsent if the request was not sent, and otherwise attempt.InDoubt.
func (s *Server) handleExchangeError(ctx context.Context, r *request, to placement.Replica, hop Hop, sentAt time.Time, err error) attempt.Outcome {
	outcome := attempt.InDoubt
	var exchangeErr *exchange.Error
	if errors.As(err, &exchangeErr) && exchangeErr.Kind == exchange.ErrUnsent {
		outcome = attempt.Unsent
	}
	s.log.Info("upstream-failed", zap.String("Request", r.info.Attempt), zap.String("Replica", to.ID), zap.String("Address", to.Address),
		zap.Stringer("Stage", hop.Stage), zap.Stringer("Kind", outcome), zap.Duration("After", s.control.now().Sub(sentAt)), zap.Error(err))
	s.metrics.UpstreamFailures.WithLabelValues(r.pool.Name, outcome.String()).Inc()
	s.noteRefusal(to, err)
	if ctx.Err() == nil {
		s.control.recordFailure(to, outcome == attempt.Unsent)
		if outcome == attempt.InDoubt {
			s.endBrokenRun(r, to, false)
		}
	}
	r.avoid = append(r.avoid, to.ID)
	return outcome
}

// relayResponse relays the response of an upstream to the caller and closes it.
func (s *Server) relayResponse(r *request, from placement.Replica, resp *exchange.Response) *Error {
	defer resp.Close()
	r.logFields = append(r.logFields, zap.String("Replica", from.ID), zap.Stringer("Framing", resp.Framing))
	r.w.prepare(resp.Status, s.protocol.ResponseHeaders(resp.Header), resp.Framing, bodyLength(resp, r.route.Stream))
	if resp.Status == http.StatusOK && (r.route.Stream || isEventStream(resp.Header)) && !isEncoded(resp.Header) {
		return relayError(s.copyStream(r, from, resp))
	}
	return relayError(r.w.copyBody(resp))
}

// relayError converts an error of relaying a response body to an *Error.
func relayError(err error) *Error {
	var own *Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &own):
		return own
	}
	return &Error{Op: "relay response", Kind: ErrUpstream, Err: err}
}

package gateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
	"github.com/cassiabridge/cassiabridge/transport"
)

const (
	// noDeclarationsRetryAfter is the Retry-After sent while this VM has no declarations yet.
	noDeclarationsRetryAfter = time.Second
	// noUpstreamRetryAfter is the Retry-After sent when no upstream can take the request.
	noUpstreamRetryAfter = time.Second
	// defaultTimeout bounds a request whose route declares no timeout.
	defaultTimeout = time.Minute
	// headerOverhead is the size in bytes of the separators of one header field (": " and CRLF).
	headerOverhead = 4
	// writeGrace is added to a request's deadline to get the write deadline, so that a slow caller can still receive
	// the end of its response.
	writeGrace = time.Second
)

// Server is the HTTP handler for requests of callers. It admits each request and forwards it to an upstream.
type Server struct {
	control       *Controller
	protocol      Protocol
	upstreams     *exchange.Client
	log           *zap.Logger
	metrics       *metrics.Gateway
	random        func() float64
	bodies        bodyMemory
	inFlight      inFlight
	workTimes     placement.WorkTimes
	stopping      stopping
	numberings    eventstream.Numberings
	processChecks liveness.Checks
}

// NewServer returns a Server that takes placement and admission decisions from control and sends requests through
// upstreams. random returns values in [0, 1) and picks among a route's pools. maxBodyMemory bounds the request bodies
// held in memory at any time, in bytes.
func NewServer(control *Controller, protocol Protocol, upstreams *exchange.Client, random func() float64, maxBodyMemory int64) *Server {
	s := &Server{bodies: bodyMemory{limit: maxBodyMemory}, control: control, protocol: protocol, upstreams: upstreams, log: control.log, metrics: control.metrics, random: random}
	if protocol.ProcessRequest != nil {
		control.post(func() { control.checkReplica = s.checkDoubted })
	}
	return s
}

// request holds the state of one caller's request while it is in flight.
type request struct {
	info      RequestInfo
	route     *routing.Route
	account   *routing.Account
	pool      *routing.Pool
	table     *routing.Table
	http      *http.Request
	target    string
	body      []byte
	arrivedAt time.Time
	// deadline is the earlier of the caller's timeout and the route's timeout.
	deadline time.Time
	w        *responseWriter
	// state tracks whether an upstream may have run the request.
	state attempt.State
	// regions restricts where the request may be served.
	regions routing.RegionLimit
	// versions restricts the software version of the replicas that may answer: a stream goes on at the version that began it.
	versions placement.VersionLimit
	// avoid lists the IDs of upstreams that must not be tried again for this request.
	avoid []string
	// conns holds the connections to upstreams that tries of this request have used.
	conns exchange.History
	// cancel ends the request with a cause.
	cancel context.CancelCauseFunc
	// answer is the progress of the answer that is being forwarded.
	answer answerProgress
	// runBroke is whether a run of the request broke off.
	runBroke bool
	// suspectIDs holds what parts returns, once it has been called.
	suspectIDs []string
	// logFields are added to the log line that is written when the request ends.
	logFields []zap.Field
}

// accountName returns the name of the request's account, or "" if it has none.
func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, httpRequest *http.Request) {
	r := &request{http: httpRequest, arrivedAt: s.control.now(), info: s.protocol.ReadRequestInfo(httpRequest.Header), target: requestTarget(httpRequest)}
	ctx, cancel := context.WithCancelCause(httpRequest.Context())
	defer cancel(nil)
	r.cancel = cancel
	r.w = &responseWriter{ResponseWriter: w, now: s.control.now, controller: http.NewResponseController(w), chunks: httpRequest.ProtoAtLeast(1, 1),
		confirmsEnds: s.protocol.ProcessRequest != nil}
	if conn := callerConnOf(httpRequest); conn != nil {
		r.w.setResetOnClose = func(reset bool) { s.setResetOnClose(r, conn, reset) }
	}
	defer s.inFlight.add(r)()
	if s.control.Leaving() {
		w.Header().Set("Connection", "close")
	}
	reqErr := s.serve(ctx, r)
	s.recordOutcome(r, reqErr)
	if reqErr == nil {
		r.w.finish()
		return
	}
	if r.w.started {
		// Abort the connection so that the truncated response does not look complete.
		panic(http.ErrAbortHandler)
	}
	writeError(w, reqErr, s.control.Leaving())
}

// setResetOnClose sets whether the connection of a request ends with a reset.
func (s *Server) setResetOnClose(r *request, conn *callerConn, reset bool) {
	if err := transport.SetResetOnClose(conn.Conn, reset); err != nil {
		s.log.Info("connection-end-not-set", zap.String("Request", r.info.Attempt), zap.Bool("Reset", reset), zap.Error(err))
	}
}

// requestTarget returns the path and query exactly as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// serve checks, reads, admits and forwards a request. Tokens charged to the account's quota are refunded if the
// request did not run.
func (s *Server) serve(ctx context.Context, r *request) *Error {
	r.table = s.control.Table()
	if r.table == nil || !s.control.caughtUp.Load() {
		return errorf("route", ErrNoDeclarations, "this VM has no current declarations yet").withRetryAfter(noDeclarationsRetryAfter)
	}
	if reqErr := s.resolve(r); reqErr != nil {
		return reqErr
	}
	if reqErr := s.resolveOrigin(ctx, r); reqErr != nil {
		return reqErr
	}
	if reqErr := s.checkStopping(r); reqErr != nil {
		return reqErr
	}
	length := r.http.ContentLength
	if !s.bodies.reserve(length) {
		return errorf("read body", ErrOverload, "too many long bodies are under way").withRetryAfter(noUpstreamRetryAfter)
	}
	defer s.bodies.release(length)
	if reqErr := r.readBody(); reqErr != nil {
		return reqErr
	}
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	r.w.setWriteDeadline(r.deadline.Add(writeGrace))
	cost := 0.0
	if r.account != nil {
		cost = r.account.Cost(r.info.PromptTokens + r.info.MaxOutputTokens)
	}
	admitted := s.control.admit(r.accountName(), r.pool.Name, cost)
	r.logFields = append(r.logFields, zap.Float64("Cost", cost), zap.Float64("RateLevel", math.Round(admitted.level)))
	if !admitted.ok {
		return errorf("admit", ErrOverRate, "the account has used up its rate").withRetryAfter(admitted.retryAfter)
	}
	reqErr := s.forward(ctx, r)
	if reqErr != nil && r.state.NotRun() {
		s.control.refundTokens(r.accountName(), cost)
	}
	return reqErr
}

// forward sends a request through the engines or the service of its pool. An error whose status would promise that the
// request has not run becomes ErrUpstream if it may have run.
func (s *Server) forward(ctx context.Context, r *request) *Error {
	serve := s.callService
	if r.pool.Engine != nil {
		serve = s.generate
	}
	reqErr := serve(ctx, r)
	switch {
	case reqErr == nil:
		return nil
	case reqErr.Kind == ErrUpstream && ctx.Err() != nil:
		return s.contextError(ctx, r)
	case reqErr.guaranteesNotRun() && !r.state.NotRun():
		return &Error{Op: reqErr.Op, Kind: ErrUpstream, Err: reqErr.Err}
	}
	return reqErr
}

// resolve sets the route, deadline, account and pool of a request. It returns an error if the header is too large, no
// route matches, a required API key is missing or unknown, or the route has no pool.
func (s *Server) resolve(r *request) *Error {
	if limit := r.table.Limits.HeaderBytes; limit > 0 && headerBytes(r.http) > limit {
		reqErr := errorf("read header", ErrTooLarge, "the header is longer than %d bytes", limit)
		reqErr.Status = http.StatusRequestHeaderFieldsTooLarge
		return reqErr
	}
	path, _, _ := strings.Cut(r.target, "?")
	route, found := r.table.Match(r.http.Host, path)
	if !found {
		return s.deniedError(r, errorf("route", ErrNoRoute, "no route for host %q and path %q", r.http.Host, path))
	}
	r.route = route
	r.state = attempt.New(attempt.Policy{Repeat: route.Repeat, MaxRuns: route.MaxAttempts, MaxTries: maxTries})
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.info.Timeout > 0 {
		timeout = min(timeout, r.info.Timeout)
	}
	r.deadline = r.arrivedAt.Add(timeout)
	if account, known := r.table.AccountByKey(r.info.Key); known {
		r.account = account
	} else if r.table.RequiresKeys() && !route.Public {
		return s.deniedError(r, errorf("identify", ErrUnknownKey, "no account holds the key"))
	}
	r.regions = route.RegionsFor(r.account)
	pool, exists := r.table.Pool(route.PickPool(s.random()))
	if !exists {
		return errorf("route", ErrNoUpstream, "route %q has no pool", route.Name).withRetryAfter(noUpstreamRetryAfter)
	}
	r.pool = pool
	return nil
}

// headerBytes returns the approximate size of the request line and header fields, in bytes.
func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerOverhead
		}
	}
	return total
}

// readBody buffers the whole body so that the request can be retried at another upstream.
func (r *request) readBody() *Error {
	body := r.http.Body
	if limit := r.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(r.w.ResponseWriter, body, limit)
	}
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return errorf("read body", ErrTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	case err != nil:
		return &Error{Op: "read body", Kind: ErrUnreadable, Err: err}
	}
	r.body = data
	return nil
}

// recordOutcome logs the end of a request and updates the request metrics. reqErr is nil if a response was relayed.
func (s *Server) recordOutcome(r *request, reqErr *Error) {
	took := s.control.now().Sub(r.arrivedAt)
	route, outcome := "", "Answered"
	fields := []zap.Field{zap.String("Request", r.info.Attempt)}
	if r.route != nil {
		route = r.route.Name
		fields = append(fields, zap.String("Route", route), zap.Uint64("Version", r.table.Version), zap.Int("Runs", r.state.Runs()),
			zap.Int("MaxRuns", r.route.MaxAttempts))
	}
	if r.account != nil {
		fields = append(fields, zap.String("Account", r.account.Name))
	}
	fields = append(fields, r.logFields...)
	if r.w.started {
		fields = append(fields, zap.Stringer("CallerFraming", r.w.framing))
	}
	fields = append(fields, zap.Duration("Took", took))
	if reqErr == nil {
		fields = append(fields, zap.Int("Status", r.w.status), zap.Int64("Bytes", r.w.bytes))
	} else {
		outcome = string(reqErr.Kind)
		fields = append(fields, zap.Int("Status", reqErr.status()), zap.String("Kind", outcome), zap.Duration("RetryAfter", reqErr.RetryAfter),
			zap.Bool("Cut", r.w.started), zap.Error(reqErr))
	}
	s.recordWorkTime(r, reqErr, took)
	s.metrics.Requests.WithLabelValues(route, outcome).Inc()
	s.metrics.Duration.WithLabelValues(route).Observe(took.Seconds())
	s.log.Info("request-ended", fields...)
}

// writeError sends an error response for a request without a relayed response. closeConn asks the caller to close its
// connection.
func writeError(w http.ResponseWriter, reqErr *Error, closeConn bool) {
	h := w.Header()
	clear(h)
	if closeConn {
		h.Set("Connection", "close")
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if reqErr.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(reqErr.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(reqErr.status())
	_, _ = io.WriteString(w, reqErr.Error()+"\n")
}

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
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// noDeclarationsRetry is when a caller may return to a VM that has no declarations yet.
	noDeclarationsRetry = time.Second
	// noUpstreamRetry is when a caller may return if no upstream can be used.
	noUpstreamRetry = time.Second
	// defaultTimeout is the longest time for a request whose route names none.
	defaultTimeout = time.Minute
	// headerOverhead is what a header field takes besides its name and value, in bytes.
	headerOverhead = 4
	// writeGrace is how much longer than its timeout a request may take to be written to a slow caller.
	writeGrace = time.Second
)

// Server serves callers.
type Server struct {
	control   *Controller
	protocol  Protocol
	upstreams *exchange.Client
	log       *zap.Logger
	metrics   *metrics.Gateway
	random    func() float64
	bodies    bodyMemory
}

// NewServer returns a server that decides by a controller and reaches upstreams through a client. maxBodyMemory bounds the
// bodies of requests under way, in bytes.
func NewServer(control *Controller, protocol Protocol, upstreams *exchange.Client, random func() float64, maxBodyMemory int64) *Server {
	return &Server{bodies: bodyMemory{limit: maxBodyMemory}, control: control, protocol: protocol, upstreams: upstreams, log: control.log, metrics: control.metrics, random: random}
}

// request is one request of a caller on its way.
type request struct {
	call    Call
	route   *routing.Route
	account *routing.Account
	pool    *routing.Pool
	table   *routing.Table
	http    *http.Request
	target  string
	body    []byte
	arrived time.Time
	// until is when the caller stops waiting, or the route's time is over.
	until time.Time
	w     *answerWriter
	// state says whether an upstream may have run the request.
	state attempt.State
	// avoid lists the upstreams that have failed the request.
	avoid []string
	notes []zap.Field
}

func (r *request) accountName() string {
	if r.account == nil {
		return ""
	}
	return r.account.Name
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, httpRequest *http.Request) {
	r := &request{http: httpRequest, arrived: s.control.now(), call: s.protocol.ReadCall(httpRequest.Header), target: requestTarget(httpRequest)}
	r.w = &answerWriter{ResponseWriter: w, controller: http.NewResponseController(w)}
	if s.control.Leaving() {
		w.Header().Set("Connection", "close")
	}
	refusal := s.serve(r)
	s.note(r, refusal)
	if refusal == nil {
		return
	}
	if r.w.started {
		// The answer is cut, and must not look complete.
		panic(http.ErrAbortHandler)
	}
	writeRefusal(w, refusal)
}

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

func (s *Server) serve(r *request) *Error {
	r.table = s.control.Table()
	if r.table == nil {
		return refuse("route", ErrNoDeclarations, "this VM has no declarations yet").withRetryAfter(noDeclarationsRetry)
	}
	if refusal := s.identify(r); refusal != nil {
		return refusal
	}
	length := r.http.ContentLength
	if !s.bodies.take(length) {
		return refuse("read body", ErrOverload, "too many long bodies are under way").withRetryAfter(noUpstreamRetry)
	}
	defer s.bodies.giveBack(length)
	if refusal := r.readBody(); refusal != nil {
		return refusal
	}
	ctx, cancel := context.WithDeadline(r.http.Context(), r.until)
	defer cancel()
	r.w.limit(r.until.Add(writeGrace))
	cost := 0.0
	if r.account != nil {
		cost = r.account.Cost(r.call.PromptTokens + r.call.MaxOutputTokens)
	}
	admitted := s.control.admit(r.accountName(), r.pool.Name, cost)
	r.notes = append(r.notes, zap.Float64("Cost", cost), zap.Float64("RateLevel", math.Round(admitted.level)))
	if !admitted.ok {
		return refuse("admit", ErrOverRate, "the account has used up its rate").withRetryAfter(admitted.wait)
	}
	refusal := s.forward(ctx, r)
	if refusal != nil && r.state.NotRun() {
		s.control.giveBack(r.accountName(), cost)
	}
	return refusal
}

func (s *Server) forward(ctx context.Context, r *request) *Error {
	serve := s.callService
	if r.pool.Engine != nil {
		serve = s.generate
	}
	refusal := serve(ctx, r)
	switch {
	case refusal == nil:
		return nil
	case refusal.Kind == ErrUpstream && ctx.Err() != nil:
		return s.ended(ctx, r)
	case refusal.promisesNotRun() && !r.state.NotRun():
		return &Error{Op: refusal.Op, Kind: ErrUpstream, Err: refusal.Err}
	}
	return refusal
}

// identify finds the route, the pool and the account of a request.
func (s *Server) identify(r *request) *Error {
	if limit := r.table.Limits.HeaderBytes; limit > 0 && headerBytes(r.http) > limit {
		refusal := refuse("read header", ErrTooLarge, "the header is longer than %d bytes", limit)
		refusal.Status = http.StatusRequestHeaderFieldsTooLarge
		return refusal
	}
	path, _, _ := strings.Cut(r.target, "?")
	route, found := r.table.Match(r.http.Host, path)
	if !found {
		return refuse("route", ErrNoRoute, "no route for host %q and path %q", r.http.Host, path)
	}
	r.route = route
	r.state = attempt.New(attempt.Terms{Repeat: route.Repeat, MaxRuns: route.MaxAttempts, MaxOffers: maxOffers})
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if r.call.Timeout > 0 {
		timeout = min(timeout, r.call.Timeout)
	}
	r.until = r.arrived.Add(timeout)
	if account, known := r.table.AccountOfKey(r.call.Key); known {
		r.account = account
	} else if r.table.NeedsKeys() && !route.Public {
		return refuse("identify", ErrUnknownKey, "no account holds the key")
	}
	pool, exists := r.table.Pool(route.PickPool(s.random()))
	if !exists {
		return refuse("route", ErrNoUpstream, "route %q has no pool", route.Name).withRetryAfter(noUpstreamRetry)
	}
	r.pool = pool
	return nil
}

func headerBytes(r *http.Request) int {
	total := len(r.Method) + len(r.RequestURI)
	for name, values := range r.Header {
		for _, value := range values {
			total += len(name) + len(value) + headerOverhead
		}
	}
	return total
}

// readBody reads the whole body, so that it can be sent to more than one upstream.
func (r *request) readBody() *Error {
	body := r.http.Body
	if limit := r.table.Limits.BodyBytes; limit > 0 {
		body = http.MaxBytesReader(r.w.ResponseWriter, body, limit)
	}
	data, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse("read body", ErrTooLarge, "the body is longer than %d bytes", tooLarge.Limit)
	case err != nil:
		return &Error{Op: "read body", Kind: ErrUnreadable, Err: err}
	}
	r.body = data
	return nil
}

// note logs the outcome of a request and measures it.
func (s *Server) note(r *request, refusal *Error) {
	took := s.control.now().Sub(r.arrived)
	route, outcome := "", "Answered"
	fields := []zap.Field{zap.String("Request", r.call.Attempt)}
	if r.route != nil {
		route = r.route.Name
		fields = append(fields, zap.String("Route", route), zap.Uint64("Version", r.table.Version), zap.Int("Runs", r.state.Runs()),
			zap.Int("MaxRuns", r.route.MaxAttempts))
	}
	if r.account != nil {
		fields = append(fields, zap.String("Account", r.account.Name))
	}
	fields = append(fields, r.notes...)
	fields = append(fields, zap.Duration("Took", took))
	if refusal == nil {
		fields = append(fields, zap.Int("Status", r.w.status), zap.Int64("Bytes", r.w.bytes))
	} else {
		outcome = string(refusal.Kind)
		fields = append(fields, zap.Int("Status", refusal.status()), zap.String("Kind", outcome), zap.Duration("RetryAfter", refusal.RetryAfter),
			zap.Bool("Cut", r.w.started), zap.Error(refusal))
	}
	s.metrics.Requests.WithLabelValues(route, outcome).Inc()
	s.metrics.Seconds.WithLabelValues(route).Observe(took.Seconds())
	s.log.Info("request-ended", fields...)
}

// writeRefusal answers a caller whose request got no answer of an upstream.
func writeRefusal(w http.ResponseWriter, refusal *Error) {
	h := w.Header()
	clear(h)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if refusal.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(refusal.status())
	_, _ = io.WriteString(w, refusal.Error()+"\n")
}

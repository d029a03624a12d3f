// Package caller implements the HTTP API for callers: model completions and forwarding to plain services.
package caller

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/engine"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/service"
	"github.com/cassiabridge/cassiabridge/settings"
)

// Server handles requests from callers.
type Server struct {
	cfg       settings.Settings
	control   *control.Controller
	engines   *engine.Client
	canceller *engine.Canceller
	services  *service.Client
	metrics   *metrics.Metrics
	log       *zap.Logger
	sequence  atomic.Uint64
}

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log *zap.Logger) Option { return func(s *Server) { s.log = log } }

// WithMetrics sets the metrics that the server updates.
func WithMetrics(m *metrics.Metrics) Option { return func(s *Server) { s.metrics = m } }

// New returns a Server for the given settings.
func New(cfg settings.Settings, c *control.Controller, engines *engine.Client, canceller *engine.Canceller, services *service.Client, opts ...Option) *Server {
	s := &Server{cfg: cfg, control: c, engines: engines, canceller: canceller, services: services, metrics: metrics.New(), log: zap.NewNop()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the HTTP handler of the callers' port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handle(s.completeChat))
	mux.HandleFunc("POST /v1/completions", s.handle(s.completeText))
	mux.HandleFunc("GET /v1/models", s.handle(s.listModels))
	mux.HandleFunc("/", s.handle(s.forward))
	return mux
}

// handle returns an HTTP handler that reads the request body within its limits, calls handler and writes
// the error that handler returns.
func (s *Server) handle(handler func(w http.ResponseWriter, r *request) *Error) http.HandlerFunc {
	return func(w http.ResponseWriter, httpRequest *http.Request) {
		ctx, cancel := context.WithCancelCause(httpRequest.Context())
		defer cancel(nil)
		ctx, stop := context.WithTimeout(ctx, s.cfg.Timing.Request())
		defer stop()
		r := &request{Request: httpRequest.WithContext(ctx), cancel: cancel, arrivedAt: s.control.Now()}
		refusal := s.readBody(w, r)
		if refusal == nil {
			refusal = handler(w, r)
		}
		s.recordOutcome(r, refusal)
		if refusal != nil {
			refusal.write(w)
		}
	}
}

// request is an HTTP request with its body read and, once known, its route and account.
type request struct {
	*http.Request
	cancel    context.CancelCauseFunc
	arrivedAt time.Time
	body      []byte
	route     resource.Route
	account   resource.ClientAccount
}

// bodyTimeout is the time limit for reading the body of a request.
const bodyTimeout = 30 * time.Second

func (s *Server) readBody(w http.ResponseWriter, r *request) *Error {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal("read body", http.StatusRequestEntityTooLarge, "request_too_large", "the body is too long")
	case err != nil:
		return newRefusal("read body", http.StatusBadRequest, "invalid_request", "the body could not be read")
	}
	r.body = body
	return nil
}

func (s *Server) recordOutcome(r *request, refusal *Error) {
	outcome := "ok"
	if refusal != nil {
		outcome = refusal.Kind
		s.metrics.Rejections.WithLabelValues(r.account.Name, refusal.Kind).Inc()
		s.log.Info("request-refused", zap.String("Route", r.route.Name), zap.String("Account", r.account.Name),
			zap.String("Kind", refusal.Kind), zap.Int("Status", refusal.Status), zap.String("Run", string(refusal.Run)))
	}
	s.metrics.Requests.WithLabelValues(r.route.Name, r.account.Name, outcome).Inc()
}

// admit checks that the request may use its route, and has the request canceled when its key is
// withdrawn. The returned function must be called when the request ends.
func (s *Server) admit(r *request) (func(), *Error) {
	snapshot := s.control.Snapshot()
	if r.route.Public {
		if !snapshot.Ready {
			return nil, notReadyError("admit")
		}
		return func() {}, nil
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return nil, newRefusal("admit", http.StatusUnauthorized, "invalid_key", "a key is needed as a bearer token")
	}
	if !snapshot.Fresh(s.control.Now()) {
		return nil, notReadyError("admit")
	}
	key, ok := snapshot.View.Key(secret)
	if !ok {
		return nil, newRefusal("admit", http.StatusUnauthorized, "invalid_key", "the key is not in force")
	}
	account, ok := snapshot.View.Accounts[key.Account]
	if !ok || !r.route.AllowsAccount(key.Account) {
		return nil, newRefusal("admit", http.StatusForbidden, "not_allowed", "the route is not open to this account")
	}
	if containsSecret(r, secret) {
		return nil, newRefusal("admit", http.StatusBadRequest, "key_exposed", "the key must not appear outside the Authorization header")
	}
	r.account = account
	release := s.control.CancelOnWithdrawal(key, r.cancel)
	if !s.control.Snapshot().View.IsKeyActive(key) {
		release()
		return nil, newRefusal("admit", http.StatusUnauthorized, "invalid_key", "the key is not in force")
	}
	return release, nil
}

// containsSecret reports whether the key occurs in a part of the request that is forwarded upstream.
func containsSecret(r *request, secret string) bool {
	if bytes.Contains(r.body, []byte(secret)) || strings.Contains(r.URL.Path, secret) {
		return true
	}
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil || strings.Contains(query, secret) || strings.Contains(r.URL.RawQuery, secret) {
		return true
	}
	for name := range serviceHeader(r.Header) {
		if strings.Contains(r.Header.Get(name), secret) {
			return true
		}
	}
	return false
}

// recheckAdmission returns an error if a request that has been waiting may no longer be forwarded.
func (s *Server) recheckAdmission(r *request) *Error {
	snapshot := s.control.Snapshot()
	switch {
	case errors.Is(context.Cause(r.Context()), control.ErrKeyWithdrawn):
		return newRefusal("forward", http.StatusUnauthorized, "invalid_key", "the key was withdrawn")
	case r.Context().Err() != nil:
		return newRefusal("forward", http.StatusServiceUnavailable, "canceled", "the request was canceled or took too long")
	case !r.route.Public && !snapshot.Fresh(s.control.Now()):
		return notReadyError("forward")
	}
	return nil
}

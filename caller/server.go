// Package caller serves callers: completion calls to models and calls to plain services.
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

// Server handles the requests of callers.
type Server struct {
	cfg      settings.Settings
	control  *control.Controller
	engines  *engine.Client
	cancels  *engine.Canceller
	services *service.Client
	metrics  *metrics.Metrics
	log      *zap.Logger
	sequence atomic.Uint64
}

// Option changes a new Server.
type Option func(*Server)

// WithLogger sets where events are logged.
func WithLogger(log *zap.Logger) Option { return func(s *Server) { s.log = log } }

// WithMetrics sets where measurements go.
func WithMetrics(m *metrics.Metrics) Option { return func(s *Server) { s.metrics = m } }

// New returns a handler for callers.
func New(cfg settings.Settings, c *control.Controller, engines *engine.Client, cancels *engine.Canceller, services *service.Client, opts ...Option) *Server {
	s := &Server{cfg: cfg, control: c, engines: engines, cancels: cancels, services: services, metrics: metrics.New(), log: zap.NewNop()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Handler returns the handler of the callers' port.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.handle(s.completeChat))
	mux.HandleFunc("POST /v1/completions", s.handle(s.completeText))
	mux.HandleFunc("GET /v1/models", s.handle(s.listModels))
	mux.HandleFunc("/", s.handle(s.forward))
	return mux
}

// handle reads the request within its limits and writes the refusal that a handler returns.
func (s *Server) handle(serve func(w http.ResponseWriter, r *request) *Error) http.HandlerFunc {
	return func(w http.ResponseWriter, raw *http.Request) {
		ctx, cancel := context.WithCancelCause(raw.Context())
		defer cancel(nil)
		ctx, stop := context.WithTimeout(ctx, s.cfg.Timing.Request())
		defer stop()
		r := &request{Request: raw.WithContext(ctx), cancel: cancel, arrivedAt: s.control.Now()}
		refusal := s.read(w, r)
		if refusal == nil {
			refusal = serve(w, r)
		}
		s.note(r, refusal)
		if refusal != nil {
			refusal.write(w)
		}
	}
}

// request is one call with its body read.
type request struct {
	*http.Request
	cancel    context.CancelCauseFunc
	arrivedAt time.Time
	body      []byte
	route     resource.Route
	account   resource.ClientAccount
}

// bodyTimeout is how long a caller may take to send its request.
const bodyTimeout = 30 * time.Second

func (s *Server) read(w http.ResponseWriter, r *request) *Error {
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = connection.SetReadDeadline(time.Time{}) }()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(s.cfg.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse("read body", http.StatusRequestEntityTooLarge, "request_too_large", "the body is too long")
	case err != nil:
		return refuse("read body", http.StatusBadRequest, "invalid_request", "the body could not be read")
	}
	r.body = body
	return nil
}

func (s *Server) note(r *request, refusal *Error) {
	outcome := "ok"
	if refusal != nil {
		outcome = refusal.Kind
		s.metrics.Refusals.WithLabelValues(r.account.Name, refusal.Kind).Inc()
		s.log.Info("request-refused", zap.String("Route", r.route.Name), zap.String("Account", r.account.Name),
			zap.String("Kind", refusal.Kind), zap.Int("Status", refusal.Status), zap.String("Run", string(refusal.Run)))
	}
	s.metrics.Requests.WithLabelValues(r.route.Name, r.account.Name, outcome).Inc()
}

// admit checks that the request may use its route, and binds its life to that of its key. The
// returned function ends the binding.
func (s *Server) admit(r *request) (func(), *Error) {
	snapshot := s.control.Snapshot()
	if r.route.Public {
		if !snapshot.Ready {
			return nil, notReady("admit")
		}
		return func() {}, nil
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || secret == "" {
		return nil, refuse("admit", http.StatusUnauthorized, "invalid_key", "a key is needed as a bearer token")
	}
	if !snapshot.Fresh(s.control.Now()) {
		return nil, notReady("admit")
	}
	key, ok := snapshot.View.Key(secret)
	if !ok {
		return nil, refuse("admit", http.StatusUnauthorized, "invalid_key", "the key is not in force")
	}
	account, ok := snapshot.View.Accounts[key.Account]
	if !ok || !r.route.Admits(key.Account) {
		return nil, refuse("admit", http.StatusForbidden, "not_allowed", "the route is not open to this account")
	}
	if containsSecret(r, secret) {
		return nil, refuse("admit", http.StatusBadRequest, "key_exposed", "the key must not appear outside the Authorization header")
	}
	r.account = account
	end := s.control.Track(key, r.cancel)
	if !s.control.Snapshot().View.KeyInForce(key) {
		end()
		return nil, refuse("admit", http.StatusUnauthorized, "invalid_key", "the key is not in force")
	}
	return end, nil
}

// containsSecret reports whether a part of the request that an upstream would see holds the key.
func containsSecret(r *request, secret string) bool {
	if bytes.Contains(r.body, []byte(secret)) || strings.Contains(r.URL.Path, secret) {
		return true
	}
	query, err := url.QueryUnescape(r.URL.RawQuery)
	if err != nil || strings.Contains(query, secret) || strings.Contains(r.URL.RawQuery, secret) {
		return true
	}
	for name := range forwarded(r.Header) {
		if strings.Contains(r.Header.Get(name), secret) {
			return true
		}
	}
	return false
}

// stillAllowed reports whether a request that waited may still go out.
func (s *Server) stillAllowed(r *request) *Error {
	snapshot := s.control.Snapshot()
	switch {
	case errors.Is(context.Cause(r.Context()), control.ErrKeyWithdrawn):
		return refuse("forward", http.StatusUnauthorized, "invalid_key", "the key was withdrawn")
	case r.Context().Err() != nil:
		return refuse("forward", http.StatusServiceUnavailable, "canceled", "the request was canceled or took too long")
	case !r.route.Public && !snapshot.Fresh(s.control.Now()):
		return notReady("forward")
	}
	return nil
}

// Package operator implements the HTTP API for operators: resources, watches, status, metrics and health
// checks.
package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"github.com/kataras/iris/v12"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/settings"
)

const maxBodyBytes = 1 << 20

// Server handles requests from operators.
type Server struct {
	cfg     settings.Settings
	control *control.Controller
	metrics *metrics.Metrics
	log     *zap.Logger
}

// Option configures a Server.
type Option func(*Server)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(log *zap.Logger) Option { return func(s *Server) { s.log = log } }

// New returns the HTTP handler of the operators' port. It fails if the router cannot be built.
func New(cfg settings.Settings, c *control.Controller, m *metrics.Metrics, opts ...Option) (http.Handler, error) {
	s := &Server{cfg: cfg, control: c, metrics: m, log: zap.NewNop()}
	for _, opt := range opts {
		opt(s)
	}
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/livez", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	app.Get("/readyz", s.handleReady)
	app.Get("/metrics", iris.FromStd(promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{})))
	api := app.Party("/v1", s.authenticate)
	api.Get("/resources", s.handle(s.listResources))
	api.Get("/resources/{kind}/{name}", s.handle(s.getResource))
	api.Put("/resources/{kind}/{name}", s.handle(s.putResource))
	api.Delete("/resources/{kind}/{name}", s.handle(s.deleteResource))
	api.Post("/keys", s.handle(s.createKey))
	api.Post("/keys/{name}/withdraw", s.handle(s.withdrawKey))
	api.Get("/watch", s.handle(s.watch))
	api.Get("/audit", s.handle(s.audit))
	api.Get("/status", s.handle(s.status))
	api.Get("/operations", s.handle(s.listOperations))
	api.Post("/operations/settle", s.handle(s.settleOperation))
	if err := app.Build(); err != nil {
		return nil, &Error{Op: "build resource API", Kind: "Failed", Err: err}
	}
	return app, nil
}

func (s *Server) handleReady(ctx iris.Context) {
	snapshot := s.control.Snapshot()
	if !snapshot.Fresh(s.control.Now()) || snapshot.Draining {
		ctx.StatusCode(http.StatusServiceUnavailable)
		_, _ = ctx.WriteString("not ready\n")
		return
	}
	_, _ = ctx.WriteString("ok\n")
}

const operatorContextKey = "operator"

// authenticate admits the operators listed in the settings. Read-only operators may only send GET
// requests.
func (s *Server) authenticate(ctx iris.Context) {
	token, _ := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	hash := resource.HashSecret(token)
	for _, operator := range s.cfg.Access.Operators {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(operator.TokenHash))) != 1 {
			continue
		}
		if operator.ReadOnly && ctx.Method() != http.MethodGet {
			(&Error{Op: "authenticate", Kind: "Forbidden", Status: http.StatusForbidden, Err: errors.New("this operator may only read")}).write(ctx)
			return
		}
		ctx.Values().Set(operatorContextKey, operator.Name)
		ctx.Next()
		return
	}
	(&Error{Op: "authenticate", Kind: "Unauthorized", Status: http.StatusUnauthorized, Err: errors.New("an operator's bearer token is needed")}).write(ctx)
}

func actor(ctx iris.Context) string { return ctx.Values().GetString(operatorContextKey) }

func (s *Server) handle(handler func(ctx iris.Context) *Error) iris.Handler {
	return func(ctx iris.Context) {
		ctx.SetMaxRequestBodySize(maxBodyBytes)
		if refusal := handler(ctx); refusal != nil {
			s.log.Info("operator-refused", zap.String("Operator", actor(ctx)), zap.String("Path", ctx.Path()), zap.Error(refusal))
			refusal.write(ctx)
		}
	}
}

// requestContext returns the context of the HTTP request.
func requestContext(ctx iris.Context) context.Context { return ctx.Request().Context() }

func refParam(ctx iris.Context) (resource.Ref, *Error) {
	ref := resource.Ref{Kind: resource.Kind(ctx.Params().Get("kind")), Name: ctx.Params().Get("name")}
	for _, kind := range resource.Kinds() {
		if kind == ref.Kind {
			return ref, nil
		}
	}
	return ref, badRequest("parse path", fmt.Errorf("kind %q does not exist", ref.Kind))
}

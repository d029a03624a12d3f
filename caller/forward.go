package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"strconv"

	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/service"
	"github.com/cassiabridge/cassiabridge/transport"
)

// forwardedHeaders lists the request headers that are forwarded to a service. All others are dropped.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// returnedHeaders lists the response headers that are returned to a caller. All others are dropped.
var returnedHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location"}

func serviceHeader(header http.Header) http.Header { return filterHeader(header, forwardedHeaders) }

func filterHeader(header http.Header, names []string) http.Header {
	selected := http.Header{}
	for _, name := range names {
		if values := header.Values(name); len(values) > 0 {
			selected[name] = values
		}
	}
	return selected
}

// forward forwards a request to a plain service.
func (s *Server) forward(w http.ResponseWriter, r *request) *Error {
	route, ok := s.control.Snapshot().View.PathRoute(r.Method, r.URL.Path)
	if !ok {
		return newRefusal("route", http.StatusNotFound, "no_route", "no route has this method and path")
	}
	r.route = route
	release, refusal := s.admit(r)
	if refusal != nil {
		return refusal
	}
	defer release()
	if !route.Repeatable {
		return s.forwardAtMostOnce(w, r)
	}
	reservation, refusal := s.reserveCost(r)
	if refusal != nil {
		return refusal
	}
	response, err := s.callService(r.Context(), r, "")
	if err != nil {
		reservation.Close(0)
		return s.translateServiceError(r, err)
	}
	reservation.Close(float64(route.CostTokens))
	writeResponse(r.Context(), w, response)
	return nil
}

// reserveCost reserves the cost of the route in the account's rate limit. Public routes are free.
func (s *Server) reserveCost(r *request) (control.Reservation, *Error) {
	if r.route.Public {
		return control.Reservation{}, nil
	}
	reservation, err := s.control.Reserve(r.Context(), r.account.Name, float64(r.route.CostTokens))
	if err != nil {
		return control.Reservation{}, translateControlError("reserve", err)
	}
	if refusal := s.recheckAdmission(r); refusal != nil {
		reservation.Close(0)
		return control.Reservation{}, refusal
	}
	return reservation, nil
}

// callService sends r to an upstream of its service pool. A non-empty operation marks a request that must
// not run twice.
func (s *Server) callService(ctx context.Context, r *request, operation string) (service.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.Service())
	defer cancel()
	return s.services.Do(ctx, s.candidateUpstreams(r.route), service.Call{
		Method: r.Method, Target: r.URL.RequestURI(), Header: serviceHeader(r.Header), Body: r.body, Operation: operation,
	})
}

func (s *Server) candidateUpstreams(route resource.Route) func() []resource.Upstream {
	return func() []resource.Upstream { return s.control.Snapshot().View.ActiveUpstreams(route.ServicePool) }
}

func (s *Server) translateServiceError(r *request, err error) *Error {
	if errors.Is(context.Cause(r.Context()), control.ErrKeyWithdrawn) {
		return &Error{Op: "forward", Kind: "invalid_key", Status: http.StatusUnauthorized, Run: InDoubt, Err: control.ErrKeyWithdrawn}
	}
	var serviceErr *service.Error
	if errors.As(err, &serviceErr) && serviceErr.Kind != service.ErrInDoubt {
		return newRefusal("forward", http.StatusServiceUnavailable, "unavailable", "the service cannot be reached")
	}
	return &Error{Op: "forward", Kind: "upstream_failed", Status: http.StatusBadGateway, Run: InDoubt, Err: errors.New("the service gave no whole answer")}
}

func writeResponse(ctx context.Context, w http.ResponseWriter, response service.Response) {
	for name, values := range filterHeader(response.Header, returnedHeaders) {
		w.Header()[name] = values
	}
	writeBody(ctx, w, response.Status, response.Body, response.Unframed)
}

// writeBody writes the status and body of a response. An unframed body gets neither a length nor chunks: that would claim
// that it is complete. Its connection ends with a reset until all of it is written, also if this process is killed.
func writeBody(ctx context.Context, w http.ResponseWriter, status int, body []byte, unframed bool) {
	if !unframed {
		if len(body) > 0 {
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		}
		w.WriteHeader(status)
		_, _ = w.Write(body)
		return
	}
	w.Header().Set("Transfer-Encoding", "identity")
	conn := connOf(ctx)
	_ = transport.SetResetOnClose(conn, true)
	w.WriteHeader(status)
	_, err := w.Write(body)
	if err == nil {
		err = http.NewResponseController(w).Flush()
	}
	if err == nil {
		_ = transport.SetResetOnClose(conn, false)
	}
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// WithConn is the http.Server.ConnContext hook that the handler of a Server needs.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil without WithConn.
func connOf(ctx context.Context) net.Conn {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	return conn
}

func hashRequest(r *request) string {
	sum := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"), string(r.body)} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"

	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/service"
)

// forwardedHeaders are the only request headers that a service sees.
var forwardedHeaders = []string{"Accept", "Accept-Language", "Content-Type"}

// answeredHeaders are the only answer headers that a caller sees.
var answeredHeaders = []string{"Content-Type", "Content-Language", "Cache-Control", "Etag", "Last-Modified", "Location"}

func forwarded(header http.Header) http.Header { return only(header, forwardedHeaders) }

func only(header http.Header, names []string) http.Header {
	kept := http.Header{}
	for _, name := range names {
		if values := header.Values(name); len(values) > 0 {
			kept[name] = values
		}
	}
	return kept
}

// forward serves a call to a plain service.
func (s *Server) forward(w http.ResponseWriter, r *request) *Error {
	route, ok := s.control.Snapshot().View.PathRoute(r.Method, r.URL.Path)
	if !ok {
		return refuse("route", http.StatusNotFound, "no_route", "no route has this method and path")
	}
	r.route = route
	end, refusal := s.admit(r)
	if refusal != nil {
		return refusal
	}
	defer end()
	if !route.Repeatable {
		return s.forwardOnce(w, r)
	}
	reservation, refusal := s.reserveCall(r)
	if refusal != nil {
		return refusal
	}
	answer, err := s.callService(r.Context(), r, "")
	if err != nil {
		reservation.Close(0)
		return s.fromService(r, err)
	}
	reservation.Close(float64(route.CostTokens))
	writeAnswer(w, answer)
	return nil
}

// reserveCall takes the cost of a plain call from the account's rate. Public calls cost nothing.
func (s *Server) reserveCall(r *request) (control.Reservation, *Error) {
	if r.route.Public {
		return control.Reservation{}, nil
	}
	reservation, err := s.control.Reserve(r.Context(), r.account.Name, float64(r.route.CostTokens))
	if err != nil {
		return control.Reservation{}, fromControl("reserve", err)
	}
	if refusal := s.stillAllowed(r); refusal != nil {
		reservation.Close(0)
		return control.Reservation{}, refusal
	}
	return reservation, nil
}

// callService sends the call of a request to its pool.
func (s *Server) callService(ctx context.Context, r *request, operation string) (service.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.Timing.Service())
	defer cancel()
	return s.services.Do(ctx, s.candidates(r.route), service.Call{
		Method: r.Method, Target: r.URL.RequestURI(), Header: forwarded(r.Header), Body: r.body, Operation: operation,
	})
}

func (s *Server) candidates(route resource.Route) func() []resource.Upstream {
	return func() []resource.Upstream { return s.control.Snapshot().View.UpstreamsOf(route.ServicePool) }
}

func (s *Server) fromService(r *request, err error) *Error {
	if errors.Is(context.Cause(r.Context()), control.ErrKeyWithdrawn) {
		return &Error{Op: "forward", Kind: "invalid_key", Status: http.StatusUnauthorized, Run: InDoubt, Err: control.ErrKeyWithdrawn}
	}
	var serviceErr *service.Error
	if errors.As(err, &serviceErr) && serviceErr.Kind != service.ErrInDoubt {
		return refuse("forward", http.StatusServiceUnavailable, "unavailable", "the service cannot be reached")
	}
	return &Error{Op: "forward", Kind: "upstream_failed", Status: http.StatusBadGateway, Run: InDoubt, Err: errors.New("the service gave no whole answer")}
}

func writeAnswer(w http.ResponseWriter, answer service.Answer) {
	for name, values := range only(answer.Header, answeredHeaders) {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func hashRequest(r *request) string {
	sum := sha256.New()
	for _, part := range []string{r.Method, r.URL.RequestURI(), r.Header.Get("Content-Type"), string(r.body)} {
		sum.Write([]byte(part))
		sum.Write([]byte{0})
	}
	return hex.EncodeToString(sum.Sum(nil))
}

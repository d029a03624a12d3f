package caller

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/service"
)

const (
	headerIdempotencyKey   = "Idempotency-Key"
	maxIdempotencyKeyBytes = 128
	// maxBeginTries limits how often one request tries to begin its operation. A try fails if a concurrent request began
	// the operation first.
	maxBeginTries = 3
	// kindAlreadyBegun is the error kind used when another request has begun the operation first.
	kindAlreadyBegun = "begun_before"
)

// forwardAtMostOnce forwards a request that must not run twice. The operation is recorded in the log
// before the request is sent. The first record in log order wins, and only its writer may forward the
// request, once.
func (s *Server) forwardAtMostOnce(w http.ResponseWriter, r *request) *Error {
	key := r.Header.Get(headerIdempotencyKey)
	if !isIdempotencyKey(key) {
		return newRefusal("begin", http.StatusBadRequest, "idempotency_key_missing",
			"this call must not run twice and needs an Idempotency-Key of 1 to 128 letters, digits, '-', '_', '.' and ':'")
	}
	id := r.account.Name + "/" + r.route.Name + "/" + key
	firstAttempt := catalog.Begin{Operation: id, Attempt: 1, Writer: s.selfInstance(), Route: r.route.Name, Account: r.account.Name, RequestHash: hashRequest(r)}
	for range maxBeginTries {
		begin := firstAttempt
		if op, exists := s.control.Snapshot().State.Operation(id); exists {
			attempt, refusal := s.handleRepeat(w, r, firstAttempt, op)
			if attempt == 0 {
				return refusal
			}
			begin.Attempt = attempt
		}
		refusal := s.runAttempt(w, r, begin)
		if refusal == nil || refusal.Kind != kindAlreadyBegun {
			return refusal
		}
	}
	return newRefusal("begin", http.StatusServiceUnavailable, "unavailable", "other calls of the same operation were begun first").withRetryAfter(time.Second)
}

// runAttempt reserves the cost of the request, runs one attempt of its operation and writes the response.
func (s *Server) runAttempt(w http.ResponseWriter, r *request, begin catalog.Begin) *Error {
	reservation, refusal := s.reserveCost(r)
	if refusal != nil {
		return refusal
	}
	response, refusal := s.recordAndForward(r, begin)
	if refusal != nil {
		reservation.Close(failureCost(refusal, r))
		return refusal
	}
	reservation.Close(float64(r.route.CostTokens))
	writeResponse(r.Context(), w, response)
	return nil
}

// failureCost returns the tokens to charge for a failed request: none if it did not run, otherwise the
// full cost of the route.
func failureCost(refusal *Error, r *request) float64 {
	if refusal.Run == NotRun {
		return 0
	}
	return float64(r.route.CostTokens)
}

func isIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKeyBytes {
		return false
	}
	return strings.Trim(key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") == ""
}

func (s *Server) selfInstance() catalog.Instance {
	self := s.control.Self()
	return catalog.Instance{VM: self.VM, Incarnation: self.Incarnation}
}

// handleRepeat handles a request whose operation is already recorded. It returns the number of the next
// attempt if the operation may run again. Otherwise it returns 0, and has either written the recorded
// response or returns an error.
func (s *Server) handleRepeat(w http.ResponseWriter, r *request, begin catalog.Begin, op catalog.Operation) (int, *Error) {
	if op.RequestHash != begin.RequestHash {
		return 0, newRefusal("repeat", http.StatusUnprocessableEntity, "idempotency_key_reused", "the Idempotency-Key was used for another call")
	}
	if op.Phase == catalog.PhaseBegun {
		op = s.currentOperation(r, op)
	}
	if op.Phase == catalog.PhaseBegun {
		op = s.settleInDoubt(r, op)
	}
	switch op.Phase {
	case catalog.PhaseDone:
		replayResponse(r.Context(), w, op.Answer)
		return 0, nil
	case catalog.PhaseNotRun:
		return op.Attempt + 1, nil
	}
	return 0, inDoubtError("repeat", "the call was begun before and may or may not have run; repeat it later to learn its outcome")
}

func replayResponse(ctx context.Context, w http.ResponseWriter, answer catalog.Answer) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Idempotent-Replayed", "true")
	writeBody(ctx, w, answer.Status, answer.Body, answer.Unframed)
}

// currentOperation reads the log up to its head and returns the operation as it is there: its end may have been recorded, and
// its caller answered by another VM, without this VM having read it. If the log cannot be read, it returns op.
func (s *Server) currentOperation(r *request, op catalog.Operation) catalog.Operation {
	if err := s.control.CatchUp(r.Context()); err != nil {
		s.log.Info("operation-not-refreshed", zap.String("Operation", op.Operation), zap.Error(err))
	}
	return s.knownOperation(op)
}

// knownOperation returns the operation as this VM knows it now, or op if it knows it no more.
func (s *Server) knownOperation(op catalog.Operation) catalog.Operation {
	if current, exists := s.control.Snapshot().State.Operation(op.Operation); exists {
		return current
	}
	return op
}

// settleInDoubt asks the service for the outcome of an operation in doubt and records it, if the route
// has a status path and the operation can no longer be in flight. It returns the current operation.
func (s *Server) settleInDoubt(r *request, op catalog.Operation) catalog.Operation {
	inFlight := s.control.Now().Sub(op.BegunAt) < s.cfg.Timing.Service()+catalog.ForwardWindow
	if r.route.StatusPath == "" || inFlight {
		return op
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.cfg.Timing.Service())
	defer cancel()
	target := strings.ReplaceAll(r.route.StatusPath, "{Operation}", url.PathEscape(op.Operation))
	response, err := s.services.Do(ctx, s.candidateUpstreams(r.route), service.Call{Method: http.MethodGet, Target: target, Header: http.Header{}})
	end := catalog.End{Operation: op.Operation, Attempt: op.Attempt, Settler: s.selfInstance().VM}
	switch {
	case err != nil:
		return op
	case response.Status == http.StatusOK:
		end.Outcome, end.Answer = catalog.OutcomeDone, toCatalogAnswer(response)
	case response.Status == http.StatusNotFound:
		end.Outcome = catalog.OutcomeNotRun
	default:
		return op
	}
	if _, err := s.control.Append(r.Context(), catalog.Record{End: &end}); err != nil {
		s.log.Info("operation-not-settled", zap.String("Operation", op.Operation), zap.Error(err))
	}
	return s.knownOperation(op)
}

func toCatalogAnswer(response service.Response) catalog.Answer {
	return catalog.Answer{Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: response.Body, Unframed: response.Unframed}
}

// recordAndForward records the operation, forwards the request if that record is the first one, and
// records the outcome.
func (s *Server) recordAndForward(r *request, begin catalog.Begin) (service.Response, *Error) {
	startedAt := s.control.Now()
	// The outcome must be recorded even if the caller disconnects.
	ctx := context.WithoutCancel(r.Context())
	if err := s.control.Begin(ctx, begin); err != nil {
		var controlErr *control.Error
		if errors.As(err, &controlErr) && controlErr.Kind == control.ErrRejected {
			return service.Response{}, newRefusal("begin", http.StatusConflict, kindAlreadyBegun, "the call was begun before")
		}
		return service.Response{}, translateControlError("begin", err)
	}
	end := catalog.End{Operation: begin.Operation, Attempt: begin.Attempt, Outcome: catalog.OutcomeNotRun}
	if refusal := s.recheckBeforeForward(r, startedAt); refusal != nil {
		s.control.EndAsync(end)
		return service.Response{}, refusal
	}
	response, err := s.callService(ctx, r, begin.Operation)
	var serviceErr *service.Error
	switch {
	case err == nil && response.Status < http.StatusInternalServerError:
		end.Outcome, end.Answer = catalog.OutcomeDone, toCatalogAnswer(response)
		s.control.End(ctx, end)
		return response, nil
	case errors.As(err, &serviceErr) && serviceErr.Kind != service.ErrInDoubt:
		s.control.EndAsync(end)
		return service.Response{}, newRefusal("forward", http.StatusServiceUnavailable, "unavailable", "the service cannot be reached").withRetryAfter(time.Second)
	}
	s.log.Warn("operation-in-doubt", zap.String("Operation", begin.Operation), zap.Int("Status", response.Status), zap.Error(err))
	return service.Response{}, inDoubtError("forward", "the service gave no whole answer; the call may or may not have run")
}

// recheckBeforeForward repeats the admission checks immediately before the request is sent, and fails if more than
// half of ForwardWindow has passed, since the process may have been suspended while the operation was recorded.
func (s *Server) recheckBeforeForward(r *request, startedAt time.Time) *Error {
	if refusal := s.recheckAdmission(r); refusal != nil {
		return refusal
	}
	if s.control.Now().Sub(startedAt) > catalog.ForwardWindow/2 {
		return newRefusal("forward", http.StatusServiceUnavailable, "unavailable", "recording the call took too long").withRetryAfter(time.Second)
	}
	return nil
}

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
	headerIdempotencyKey = "Idempotency-Key"
	maxIdempotencyKey    = 128
	// maxBegins bounds how often one call claims its operation while others claim it first.
	maxBegins = 3
	// kindBegunBefore is the kind of the refusal when another call claimed the operation first.
	kindBegunBefore = "begun_before"
)

// forwardOnce serves a call that must not run twice. The operation is recorded in the log before the
// call goes out; the first record in log order wins, and only its writer may forward, once.
func (s *Server) forwardOnce(w http.ResponseWriter, r *request) *Error {
	key := r.Header.Get(headerIdempotencyKey)
	if !isIdempotencyKey(key) {
		return refuse("begin", http.StatusBadRequest, "idempotency_key_missing",
			"this call must not run twice and needs an Idempotency-Key of 1 to 128 letters, digits, '-', '_', '.' and ':'")
	}
	id := r.account.Name + "/" + r.route.Name + "/" + key
	first := catalog.Begin{Operation: id, Attempt: 1, Writer: s.writer(), Route: r.route.Name, Account: r.account.Name, RequestHash: hashRequest(r)}
	for range maxBegins {
		begin := first
		if op, exists := s.control.Snapshot().State.Operation(id); exists {
			attempt, refusal := s.repeat(w, r, first, op)
			if attempt == 0 {
				return refusal
			}
			begin.Attempt = attempt
		}
		refusal := s.tryOnce(w, r, begin)
		if refusal == nil || refusal.Kind != kindBegunBefore {
			return refusal
		}
	}
	return refuse("begin", http.StatusServiceUnavailable, "unavailable", "other calls of the same operation were begun first").withRetryAfter(time.Second)
}

// tryOnce runs one attempt of an operation and writes the answer.
func (s *Server) tryOnce(w http.ResponseWriter, r *request, begin catalog.Begin) *Error {
	reservation, refusal := s.reserveCall(r)
	if refusal != nil {
		return refusal
	}
	answer, refusal := s.runOnce(r, begin)
	if refusal != nil {
		reservation.Close(spent(refusal, r))
		return refusal
	}
	reservation.Close(float64(r.route.CostTokens))
	writeAnswer(w, answer)
	return nil
}

// spent returns what a failed call costs its account: nothing, unless it may have run.
func spent(refusal *Error, r *request) float64 {
	if refusal.Run == NotRun {
		return 0
	}
	return float64(r.route.CostTokens)
}

func isIdempotencyKey(key string) bool {
	if key == "" || len(key) > maxIdempotencyKey {
		return false
	}
	return strings.Trim(key, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:") == ""
}

func (s *Server) writer() catalog.Holder {
	self := s.control.Self()
	return catalog.Holder{VM: self.VM, Incarnation: self.Incarnation}
}

// repeat answers a call whose operation is known. It returns the number of the next attempt if the
// operation may run again; otherwise it returns 0, and has written the answer or returns a refusal.
func (s *Server) repeat(w http.ResponseWriter, r *request, begin catalog.Begin, op catalog.Operation) (int, *Error) {
	if op.RequestHash != begin.RequestHash {
		return 0, refuse("repeat", http.StatusUnprocessableEntity, "idempotency_key_reused", "the Idempotency-Key was used for another call")
	}
	if op.Phase == catalog.PhaseBegun {
		op = s.settle(r, op)
	}
	switch op.Phase {
	case catalog.PhaseDone:
		writeRecorded(w, op.Answer)
		return 0, nil
	case catalog.PhaseNotRun:
		return op.Attempt + 1, nil
	}
	return 0, inDoubt("repeat", "the call was begun before and may or may not have run; repeat it later to learn its outcome")
}

func writeRecorded(w http.ResponseWriter, answer catalog.Answer) {
	w.Header().Set("Content-Type", answer.ContentType)
	w.Header().Set("Idempotent-Replayed", "true")
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// settle asks the service whether an operation in doubt has run, if the route says where, and records
// the outcome. It returns the operation as it then stands.
func (s *Server) settle(r *request, op catalog.Operation) catalog.Operation {
	inFlight := s.control.Now().Sub(op.BegunAt) < s.cfg.Timing.Service()+catalog.ForwardWindow
	if r.route.StatusPath == "" || inFlight {
		return op
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.cfg.Timing.Service())
	defer cancel()
	target := strings.ReplaceAll(r.route.StatusPath, "{Operation}", url.PathEscape(op.Operation))
	answer, err := s.services.Do(ctx, s.candidates(r.route), service.Call{Method: http.MethodGet, Target: target, Header: http.Header{}})
	end := catalog.End{Operation: op.Operation, Attempt: op.Attempt, Settler: s.writer().VM}
	switch {
	case err != nil:
		return op
	case answer.Status == http.StatusOK:
		end.Outcome, end.Answer = catalog.OutcomeDone, recorded(answer)
	case answer.Status == http.StatusNotFound:
		end.Outcome = catalog.OutcomeNotRun
	default:
		return op
	}
	if _, err := s.control.Append(r.Context(), catalog.Record{End: &end}); err != nil {
		s.log.Info("operation-not-settled", zap.String("Operation", op.Operation), zap.Error(err))
	}
	if current, exists := s.control.Snapshot().State.Operation(op.Operation); exists {
		return current
	}
	return op
}

func recorded(answer service.Answer) catalog.Answer {
	return catalog.Answer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}
}

// runOnce records the operation, forwards it if its record won, and records the answer.
func (s *Server) runOnce(r *request, begin catalog.Begin) (service.Answer, *Error) {
	sentAt := s.control.Now()
	// The record must be settled even if the caller goes away meanwhile.
	ctx := context.WithoutCancel(r.Context())
	if err := s.control.Begin(ctx, begin); err != nil {
		var controlErr *control.Error
		if errors.As(err, &controlErr) && controlErr.Kind == control.ErrRejected {
			return service.Answer{}, refuse("begin", http.StatusConflict, kindBegunBefore, "the call was begun before")
		}
		return service.Answer{}, fromControl("begin", err)
	}
	end := catalog.End{Operation: begin.Operation, Attempt: begin.Attempt, Outcome: catalog.OutcomeNotRun}
	if refusal := s.mayForward(r, sentAt); refusal != nil {
		s.control.EndLater(end)
		return service.Answer{}, refusal
	}
	answer, err := s.callService(ctx, r, begin.Operation)
	var serviceErr *service.Error
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError:
		end.Outcome, end.Answer = catalog.OutcomeDone, recorded(answer)
		s.control.End(ctx, end)
		return answer, nil
	case errors.As(err, &serviceErr) && serviceErr.Kind != service.ErrInDoubt:
		s.control.EndLater(end)
		return service.Answer{}, refuse("forward", http.StatusServiceUnavailable, "unavailable", "the service cannot be reached").withRetryAfter(time.Second)
	}
	s.log.Warn("operation-in-doubt", zap.String("Operation", begin.Operation), zap.Int("Status", answer.Status), zap.Error(err))
	return service.Answer{}, inDoubt("forward", "the service gave no whole answer; the call may or may not have run")
}

// mayForward checks again, right before the call goes out, since the process may have been frozen.
func (s *Server) mayForward(r *request, sentAt time.Time) *Error {
	if refusal := s.stillAllowed(r); refusal != nil {
		return refusal
	}
	if s.control.Now().Sub(sentAt) > catalog.ForwardWindow/2 {
		return refuse("forward", http.StatusServiceUnavailable, "unavailable", "recording the call took too long").withRetryAfter(time.Second)
	}
	return nil
}

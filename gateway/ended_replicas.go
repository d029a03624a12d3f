package gateway

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
)

// isBroken reports whether a request ended because the response of its upstream broke off.
func isBroken(reqErr *Error) bool {
	if reqErr == nil {
		return false
	}
	var exchangeErr *exchange.Error
	return errors.As(reqErr.Err, &exchangeErr) && exchangeErr.Kind == exchange.ErrBroken
}

// answerProgress tells whether an answer has lasted long enough to clear the parts of its request.
type answerProgress struct {
	startedAt time.Time
	lasted    bool
}

// watchAnswer starts to follow the answer of an engine.
func (s *Server) watchAnswer(r *request) {
	r.answer = answerProgress{startedAt: s.control.now()}
	r.w.onWrite = func() {
		if s.control.now().Sub(r.answer.startedAt) >= quarantine.SurvivalPeriod {
			s.recordLasting(r)
		}
	}
}

// recordLasting records that the answer has lasted or is complete.
func (s *Server) recordLasting(r *request) {
	if !r.answer.lasted {
		r.answer.lasted = true
		s.control.recordSurvival(r.parts())
	}
}

// endBrokenRun records that a run at a replica broke off, and waits for the check whether the replica has ended, so that a
// request that ends its replicas is known before it is sent again.
func (s *Server) endBrokenRun(r *request, replica placement.Replica, lasted bool) {
	s.recordBroken(r, replica, lasted)
	r.runBroke = true
}

// recordBroken records that a run at a replica broke off. If the replica has ended, this counts against the parts of the request,
// unless the answer had lasted. A broken connection alone does not: links and connections fail too.
func (s *Server) recordBroken(r *request, replica placement.Replica, lasted bool) {
	parts := r.parts()
	answer := s.checkProcess(context.Background(), replica)
	found := answer.FindingOf(replica.Born)
	s.log.Info("run-broken", zap.String("Request", r.info.Attempt), zap.String("Replica", replica.ID), zap.String("Process", string(found.State)),
		zap.Int64("KnownBorn", replica.Born), zap.Int64("Born", answer.Born), zap.Bool("Lasted", lasted), zap.Strings("Parts", parts))
	s.recordProcess(replica, found)
	if found.State.Ended() && !lasted {
		s.control.recordEnd(parts, replica)
	}
}

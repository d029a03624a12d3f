package gateway

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
)

// isBroken reports whether a request ended because the response of its upstream broke off.
func isBroken(reqErr *Error) bool {
	if reqErr == nil {
		return false
	}
	var exchangeErr *exchange.Error
	return errors.As(reqErr.Err, &exchangeErr) && exchangeErr.Kind == exchange.ErrBroken
}

// checkEnded finds out whether the replica at which a request was running has ended, after the connection broke. A broken
// connection alone does not tell: links and connections fail too.
func (s *Server) checkEnded(r *request, replica placement.Replica) bool {
	if len(r.info.SharedParts) == 0 {
		return false
	}
	refused, _, _ := s.endChecks.Do(replica.ID, func() (any, error) {
		return s.upstreams.Refuses(context.Background(), replica.Address), nil
	})
	ended := refused.(bool)
	s.log.Info("run-broken", zap.String("Request", r.info.Attempt), zap.String("Replica", replica.ID), zap.Bool("ReplicaEnded", ended),
		zap.Strings("Parts", r.info.SharedParts))
	return ended
}

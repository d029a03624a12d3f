package gateway

import (
	"errors"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// newSequence returns the Sequence of the stream that a request begins or, where the route allows that, goes on with.
func (s *Server) newSequence(r *request) eventstream.Sequence {
	numbering := eventstream.Numbering{Increasing: s.protocol.NumbersEvents, Counting: s.numberings.Counting(r.pool.Name)}
	if r.route.Repeat != routing.Resumable {
		return eventstream.NewSequence("", numbering)
	}
	return eventstream.NewSequence(r.info.LastEventID, numbering)
}

// copyStream relays a stream that no other upstream goes on with.
func (s *Server) copyStream(r *request, from placement.Replica, resp *exchange.Response) error {
	judged := r.route.Repeat == routing.Resumable || r.route.Stream && s.protocol.NumbersEvents
	if !judged {
		return r.w.copyStream(resp, nil)
	}
	events := s.newSequence(r)
	events.BeginAnswer()
	err := r.w.copyStream(resp, &events)
	s.numberings.Add(r.pool.Name, events.Steps())
	s.logMisplaced(r, from, err)
	return err
}

// logMisplaced reports whether an error means that an event does not follow the one before it, and logs and counts it then.
func (s *Server) logMisplaced(r *request, from placement.Replica, err error) bool {
	var orderErr *eventstream.Error
	if !errors.As(err, &orderErr) {
		return false
	}
	s.metrics.MisplacedEvents.WithLabelValues(r.pool.Name, string(orderErr.Kind)).Inc()
	s.log.Warn("stream-out-of-order", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.String("LastEvent", orderErr.Last),
		zap.String("NextEvent", orderErr.Next), zap.String("Reason", string(orderErr.Kind)))
	return true
}

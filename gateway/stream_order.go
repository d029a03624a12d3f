package gateway

import (
	"errors"
	"sync"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// numbering remembers the pools whose streams are known to skip numbers in the IDs of their events. The zero value knows of none.
type numbering struct {
	skipping sync.Map
}

// counts reports whether the IDs of a pool's events are taken for their numbers.
func (n *numbering) counts(pool string) bool {
	_, skips := n.skipping.Load(pool)
	return !skips
}

// noteNumbering remembers whether the IDs of a pool's events skip numbers.
func (s *Server) noteNumbering(r *request, events *eventstream.Sequence) {
	if events.SkipsNumbers() {
		s.numbering.skipping.Store(r.pool.Name, struct{}{})
	}
}

// copyStream relays a stream that no other upstream goes on with.
func (s *Server) copyStream(r *request, from placement.Replica, resp *exchange.Response) error {
	if !s.protocol.NumbersEvents && r.route.Repeat != routing.Resumable {
		return r.w.copyStream(resp, nil)
	}
	events := s.followEvents(r)
	events.BeginAnswer()
	err := r.w.copyStream(resp, &events)
	s.noteNumbering(r, &events)
	s.noteMisplaced(r, from, err)
	return err
}

// followEvents returns the Sequence of the stream that a request begins or, where the route allows that, goes on with.
func (s *Server) followEvents(r *request) eventstream.Sequence {
	if r.route.Repeat != routing.Resumable {
		return eventstream.Sequence{}
	}
	return eventstream.Resume(r.info.LastEventID, s.numbering.counts(r.pool.Name))
}

// noteMisplaced logs and counts an error that means that an event does not follow the one before it. It returns false for other errors.
func (s *Server) noteMisplaced(r *request, from placement.Replica, err error) bool {
	var orderErr *eventstream.Error
	if !errors.As(err, &orderErr) {
		return false
	}
	s.metrics.MisplacedEvents.WithLabelValues(r.pool.Name, string(orderErr.Kind)).Inc()
	s.log.Warn("stream-out-of-order", zap.String("Request", r.info.Attempt), zap.String("Replica", from.ID), zap.String("LastEvent", orderErr.Last),
		zap.String("NextEvent", orderErr.Next), zap.String("Reason", string(orderErr.Kind)))
	return true
}

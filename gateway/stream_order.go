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

const (
	// maxSkippingShare is the share of successive events that may leave out numbers in a pool whose numbers count the events: single
	// replicas may be faulty.
	maxSkippingShare = 0.05
	// maxSteps bounds the pairs of events that are remembered of a pool, so that newer ones count for more.
	maxSteps = 10_000
)

// numberings remembers by pool whether the IDs of events count them. The zero value knows of no pool.
type numberings struct {
	mu    sync.Mutex
	steps map[string]eventstream.Steps
}

// add adds what a stream of a pool has shown.
func (n *numberings) add(pool string, steps eventstream.Steps) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.steps == nil {
		n.steps = map[string]eventstream.Steps{}
	}
	known := n.steps[pool]
	if known.All > maxSteps {
		known.All /= 2
		known.Skipping /= 2
	}
	n.steps[pool] = eventstream.Steps{All: known.All + steps.All, Skipping: known.Skipping + steps.Skipping}
}

// counting reports whether the IDs of a pool's events count them, as far as is known.
func (n *numberings) counting(pool string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	steps := n.steps[pool]
	return float64(steps.Skipping) <= maxSkippingShare*float64(steps.All)
}

// newSequence returns the Sequence of the stream that a request begins or, where the route allows that, goes on with.
func (s *Server) newSequence(r *request) eventstream.Sequence {
	numbering := eventstream.Numbering{Increasing: s.protocol.NumbersEvents, Counting: s.numberings.counting(r.pool.Name)}
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
	s.numberings.add(r.pool.Name, events.Steps())
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

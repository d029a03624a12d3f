package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/placement"
)

// place queues a request for placement and waits until engines are chosen, the request is rejected or ctx is done. The
// returned ID must be passed to release.
func (c *Controller) place(ctx context.Context, r placement.Request) (placement.Decision, uint64) {
	decided := make(chan placement.Decision, 1)
	id := ask(c, func() uint64 {
		c.lastID++
		r.ID = c.lastID
		c.pendingPlacements[r.ID] = decided
		c.scheduler.Submit(r)
		c.beacon.dirty = true
		return r.ID
	})
	select {
	case decision := <-decided:
		return decision, id
	case <-ctx.Done():
		return placement.Decision{ID: id, Kind: placement.RefuseOverload}, id
	}
}

// release frees the capacity that a request holds or removes it from the queue.
func (c *Controller) release(id uint64) {
	c.post(func() {
		delete(c.pendingPlacements, id)
		c.scheduler.Remove(c.now(), id)
		c.beacon.dirty = true
	})
}

// recordPrefill reports that the prefill of a request has ended, and whether it succeeded.
func (c *Controller) recordPrefill(id uint64, ok bool) {
	c.post(func() {
		c.scheduler.FinishPrefill(c.now(), id, ok)
		c.beacon.dirty = true
	})
}

// releaseService ends an exchange that pickService started. took is the response time if there was a response to relay, or 0,
// load what the upstream said of its load, or nil, and worked whether it did the work, as a failure may not show how long that
// takes.
func (c *Controller) releaseService(id string, took time.Duration, load *placement.ServiceLoad, worked bool) {
	c.post(func() {
		c.scheduler.ReleaseService(id, took)
		if load == nil {
			return
		}
		if !worked {
			took = 0
		}
		c.scheduler.ObserveServiceLoad(id, *load, took)
	})
}

type replicaChoice struct {
	replica placement.Replica
	found   bool
}

// replaceDecode chooses another decode engine for a request whose prefill is done, other than those in failed.
func (c *Controller) replaceDecode(id uint64, failed []string) (placement.Replica, bool) {
	choice := ask(c, func() replicaChoice {
		c.beacon.dirty = true
		replica, found := c.scheduler.ReassignDecode(c.now(), id, failed)
		return replicaChoice{replica, found}
	})
	return choice.replica, choice.found
}

// confirmDecode reports whether a request whose prompt has been prefilled may be sent to the decode engine that was chosen
// before.
func (c *Controller) confirmDecode(id string) bool {
	return ask(c, func() bool { return c.scheduler.ConfirmSend(c.now(), id) })
}

// isCold reports whether a replica may get requests, but takes few of them because it is cold.
func (c *Controller) isCold(id string) bool {
	return ask(c, func() bool {
		_, cold := c.cold.Share(c.now(), id)
		return cold && c.scheduler.Serves(id)
	})
}

// pickService chooses an upstream of a plain service, or refuses the call. The caller must call releaseService when the exchange
// is over.
func (c *Controller) pickService(call placement.ServiceCall) placement.ServiceDecision {
	return ask(c, func() placement.ServiceDecision { return c.scheduler.PickService(c.now(), call) })
}

// recordFailure reports that an upstream failed a request, or that it was unreachable.
func (c *Controller) recordFailure(replica placement.Replica, unreachable bool) {
	if !unreachable && c.isPathLost(replica.Address) {
		// Connections break on this VM's side.
		c.log.Info("failure-not-counted", zap.String("Replica", replica.ID), zap.String("Address", replica.Address))
		return
	}
	c.post(func() {
		if pause := c.scheduler.RecordFailure(c.now(), replica.ID, unreachable); pause > 0 {
			c.beacon.dirty = true
			c.log.Info("replica-ejected", zap.String("Replica", replica.ID), zap.String("Address", replica.Address),
				zap.Bool("Unreachable", unreachable), zap.Duration("For", pause))
		}
	})
}

// recordFull reports that an engine rejected a request for lack of capacity.
func (c *Controller) recordFull(replica placement.Replica) {
	c.post(func() { c.scheduler.MarkFull(c.now(), replica.ID) })
}

// markReplaced reports that the address of an upstream now belongs to a different replica.
func (c *Controller) markReplaced(replica placement.Replica) {
	c.post(func() {
		c.scheduler.MarkReplaced(replica.ID)
		c.beacon.dirty = true
		c.log.Info("replica-replaced", zap.String("Replica", replica.ID), zap.String("Address", replica.Address))
	})
}

// deliverDecisions polls the scheduler and passes each placement decision to the goroutine that waits for it.
func (c *Controller) deliverDecisions(now time.Time) {
	for _, decision := range c.scheduler.Poll(now) {
		c.beacon.dirty = true
		decided, ok := c.pendingPlacements[decision.ID]
		if !ok {
			continue
		}
		delete(c.pendingPlacements, decision.ID)
		decided <- decision
	}
}

package control

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/ledger"
	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	maxReadEntries = 512
	// readMargin is added to the wait of a log read to give its timeout. It is also the timeout of a
	// read of the state of a peer.
	readMargin = time.Second
	// maxAuditEntries is the maximum number of audit entries kept in memory.
	maxAuditEntries = 20_000
)

// followLog reads the log, starting at the next offset of the replay, until ctx is done. While the log
// cannot be read, it takes the state from peers.
func (c *Controller) followLog(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 20 * time.Millisecond
	retry.MaxInterval = 300 * time.Millisecond
	for ctx.Err() == nil {
		from := postAndWait(c, c.replay.Next)
		sentAt := c.now()
		readCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.LogWait()+readMargin)
		batch, err := c.ledger.Read(readCtx, from, maxReadEntries, c.cfg.Timing.LogWait())
		cancel()
		if err != nil {
			c.adoptPeerState(ctx)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		postAndWait(c, func() struct{} {
			c.applyBatch(from, sentAt, batch)
			return struct{}{}
		})
	}
}

// CatchUp reads the log up to its head, so that the state has all that was recorded before the call. It fails if the log
// cannot be read.
func (c *Controller) CatchUp(ctx context.Context) error {
	for {
		from := postAndWait(c, c.replay.Next)
		sentAt := c.now()
		readCtx, cancel := context.WithTimeout(ctx, readMargin)
		batch, err := c.ledger.Read(readCtx, from, maxReadEntries, 0)
		cancel()
		if err != nil {
			return &Error{Op: "catch up", Kind: ErrUnavailable, Err: err}
		}
		next := postAndWait(c, func() uint64 {
			c.applyBatch(from, sentAt, batch)
			return c.replay.Next()
		})
		if next >= batch.Head || len(batch.Entries) == 0 {
			return nil
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// applyBatch applies a batch read from the log to the replicated state. If the state has then reached
// the head of the log, it is known to be fresh as of sentAt, when the read was sent.
func (c *Controller) applyBatch(from uint64, sentAt time.Time, batch ledger.Batch) {
	if batch.Head < from {
		c.log.Error("log-head-regressed", zap.Uint64("Head", batch.Head), zap.Uint64("Next", from))
		return
	}
	before, _ := c.replay.State()
	changes, err := c.replay.Feed(batch.First, batch.Entries)
	if err != nil {
		c.log.Error("log-not-applied", zap.Error(err))
		return
	}
	state, complete := c.replay.State()
	if complete && c.replay.Next() >= batch.Head {
		c.roster.RecordLogRead(sentAt)
		c.caughtUp = true
	}
	c.updateSnapshotAge(batch)
	c.applyStateChange(before, state, changes)
}

// applyStateChange updates everything that is derived from the replicated state.
func (c *Controller) applyStateChange(before, state catalog.State, changes []catalog.Change) {
	now := c.now()
	c.auditTrail = append(c.auditTrail, changes...)
	if extra := len(c.auditTrail) - maxAuditEntries; extra > 0 {
		c.auditTrail = append([]catalog.Change{}, c.auditTrail[extra:]...)
	}
	for _, change := range changes {
		c.log.Info("resource-changed", zap.Stringer("Resource", change.Ref), zap.String("Action", change.Action),
			zap.String("Actor", change.Actor), zap.Uint64("Version", change.Offset), zap.Bool("Accepted", change.Accepted))
	}
	// Buckets of new accounts must be created before the slots are updated: their initial fill covers
	// only the slots held so far, because another VM may have spent from a slot acquired since.
	c.addFullBuckets(now, changes)
	c.updateSlots(now, state)
	if state.ConfigVersion != before.ConfigVersion {
		c.rebuildView(state)
	}
	c.publish()
	// The snapshot must be published first: a waiter that learns that its record took effect must
	// find it there.
	c.notifyWaiters(state)
}

func (c *Controller) rebuildView(state catalog.State) {
	withdrawn := map[string]bool{}
	for key := range c.withdrawn {
		withdrawn[key] = true
	}
	c.view = catalog.NewView(state, withdrawn, c.view)
	c.configureBuckets(c.now())
	c.configureLanes()
	c.publish()
	c.tracker.cancelWithdrawn(c.view)
}

// notifyWaiters passes the verdicts of records that have been read back to their waiters.
func (c *Controller) notifyWaiters(state catalog.State) {
	for id, answer := range c.waiters {
		if verdict, ok := state.Verdict(id); ok {
			delete(c.waiters, id)
			answer(verdict)
		}
	}
}

// adoptPeerState replaces the replicated state with that of the peer that has applied the most
// entries. A state older than that of this VM is not adopted.
func (c *Controller) adoptPeerState(ctx context.Context) {
	link := postAndWait(c, func() *peerLink {
		state, complete := c.replay.State()
		next := state.Next
		if !complete || !c.caughtUp {
			next = 0
		}
		vm, ok := c.roster.MostAdvancedPeer(c.now(), next)
		if !ok {
			return nil
		}
		return c.links[vm]
	})
	if link == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, readMargin)
	defer cancel()
	data, err := link.State(callCtx)
	if err != nil {
		return
	}
	adopted, err := catalog.DecodeState(data)
	if err != nil {
		c.log.Warn("peer-state-invalid", zap.Error(err))
		return
	}
	postAndWait(c, func() struct{} {
		before, _ := c.replay.State()
		if c.replay.Adopt(adopted) {
			c.caughtUp = true
			state, _ := c.replay.State()
			c.log.Info("peer-state-adopted", zap.Uint64("Next", state.Next))
			c.applyStateChange(before, state, nil)
		} else if adopted.Next == before.Next {
			c.caughtUp = true
		}
		return struct{}{}
	})
}

// AuditTrail returns the audit entries from the given offset on. If ref is not empty, only those of that
// resource are returned.
func (c *Controller) AuditTrail(from uint64, ref resource.Ref) []catalog.Change {
	return postAndWait(c, func() []catalog.Change {
		var found []catalog.Change
		for _, change := range c.auditTrail {
			if change.Offset >= from && (ref == resource.Ref{} || change.Ref == ref) {
				found = append(found, change)
			}
		}
		return found
	})
}

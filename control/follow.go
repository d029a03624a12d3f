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
	readLimit = 512
	// readSlack is how much longer than its wait a read of the log may take.
	readSlack = time.Second
	// maxTrail bounds the audit entries kept in memory.
	maxTrail = 20_000
)

// followLog reads the log from where the replay stands, for as long as the process runs.
func (c *Controller) followLog(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 20 * time.Millisecond
	retry.MaxInterval = 300 * time.Millisecond
	for ctx.Err() == nil {
		from := ask(c, c.replay.Next)
		sentAt := c.now()
		readCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.LogWait()+readSlack)
		batch, err := c.ledger.Read(readCtx, from, readLimit, c.cfg.Timing.LogWait())
		cancel()
		if err != nil {
			c.adoptPeerState(ctx)
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		ask(c, func() struct{} {
			c.takeBatch(from, sentAt, batch)
			return struct{}{}
		})
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

// takeBatch folds what a read returned. The read counts as a read of the head when it left nothing
// behind.
func (c *Controller) takeBatch(from uint64, sentAt time.Time, batch ledger.Batch) {
	if batch.Head < from {
		c.log.Error("log-went-back", zap.Uint64("Head", batch.Head), zap.Uint64("Next", from))
		return
	}
	before, _ := c.replay.State()
	changes, err := c.replay.Feed(batch.First, batch.Entries)
	if err != nil {
		c.log.Error("log-not-folded", zap.Error(err))
		return
	}
	state, whole := c.replay.State()
	if whole && c.replay.Next() >= batch.Head {
		c.roster.LogRead(sentAt)
		c.headRead = true
	}
	c.noteSnapshotAge(batch)
	c.afterFold(before, state, changes)
}

// afterFold brings everything that depends on the agreed state up to date.
func (c *Controller) afterFold(before, state catalog.State, changes []catalog.Change) {
	now := c.now()
	c.trail = append(c.trail, changes...)
	if extra := len(c.trail) - maxTrail; extra > 0 {
		c.trail = append([]catalog.Change{}, c.trail[extra:]...)
	}
	for _, change := range changes {
		c.log.Info("resource-changed", zap.Stringer("Resource", change.Ref), zap.String("Action", change.Action),
			zap.String("Actor", change.Actor), zap.Uint64("Version", change.Offset), zap.Bool("Accepted", change.Accepted))
	}
	// New accounts count the slots held before, since others may have spent from slots that came since.
	c.fillNewAccounts(now, changes)
	c.takeSlots(now, state)
	if state.ConfigVersion != before.ConfigVersion {
		c.rebuildView(state)
	}
	c.publish()
	// Whoever is told that a record took effect must find it in the snapshot.
	c.answerWaiters(state)
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
	c.streams.cut(c.view)
}

// answerWaiters tells those who wait for a record that it was read back.
func (c *Controller) answerWaiters(state catalog.State) {
	for id, answer := range c.waiters {
		if verdict, ok := state.Verdict(id); ok {
			delete(c.waiters, id)
			answer(verdict)
		}
	}
}

// adoptPeerState takes the agreed state from the peer that has folded most of the log.
func (c *Controller) adoptPeerState(ctx context.Context) {
	link := ask(c, func() *peerLink {
		state, whole := c.replay.State()
		next := state.Next
		if !whole || !c.headRead {
			next = 0
		}
		vm, ok := c.roster.Ahead(c.now(), next)
		if !ok {
			return nil
		}
		return c.links[vm]
	})
	if link == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	data, err := link.State(callCtx)
	if err != nil {
		return
	}
	adopted, err := catalog.DecodeState(data)
	if err != nil {
		c.log.Warn("peer-state-unusable", zap.Error(err))
		return
	}
	ask(c, func() struct{} {
		before, _ := c.replay.State()
		if c.replay.Adopt(adopted) {
			c.headRead = true
			state, _ := c.replay.State()
			c.log.Info("peer-state-adopted", zap.Uint64("Next", state.Next))
			c.afterFold(before, state, nil)
		} else if adopted.Next == before.Next {
			c.headRead = true
		}
		return struct{}{}
	})
}

// Trail returns the audit entries from an offset on, of one resource if ref is not empty.
func (c *Controller) Trail(from uint64, ref resource.Ref) []catalog.Change {
	return ask(c, func() []catalog.Change {
		var found []catalog.Change
		for _, change := range c.trail {
			if change.Offset >= from && (ref == resource.Ref{} || change.Ref == ref) {
				found = append(found, change)
			}
		}
		return found
	})
}

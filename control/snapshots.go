package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/ledger"
)

const (
	snapshotPeriod = time.Second
	// snapshotRetries is the number of attempts to write a snapshot within the retention time of
	// the log.
	snapshotRetries = 8
	// maxSnapshotRetry is the maximum time to wait for a snapshot to appear in the log before
	// another is written.
	maxSnapshotRetry = 10 * time.Second
	// maxEntriesSinceSnapshot limits how many entries a new VM has to read after the last snapshot.
	maxEntriesSinceSnapshot = 20_000
)

// snapshotState holds what this VM knows of the snapshots in the log.
type snapshotState struct {
	firstOffset uint64
	// oldestAt is the log time of the first entry of the batch in which the last snapshot was found, or the first batch.
	oldestAt  time.Time
	covers    uint64
	writtenAt time.Time
}

func (c *Controller) updateSnapshotAge(batch ledger.Batch) {
	state, _ := c.replay.State()
	c.snapshots.firstOffset = batch.First
	if len(batch.Entries) == 0 {
		return
	}
	if state.SnapshotCovers != c.snapshots.covers || c.snapshots.oldestAt.IsZero() {
		c.snapshots.covers = state.SnapshotCovers
		c.snapshots.oldestAt = batch.Entries[0].At
	}
}

// writeSnapshotIfDue writes a snapshot of the replicated state to the log before the records it is
// built from expire. Concurrent snapshots by several VMs are harmless, since two snapshots of one
// offset are equal.
func (c *Controller) writeSnapshotIfDue(now time.Time) {
	state, complete := c.replay.State()
	if !complete || !c.caughtUp || state.Next == 1 || c.roster.PreferredVM("snapshot", now) != c.self.VM {
		return
	}
	retry := min(maxSnapshotRetry, c.cfg.Timing.Retention()/snapshotRetries)
	if now.Sub(c.snapshots.writtenAt) < retry {
		return
	}
	expired := c.snapshots.firstOffset > 1 && state.SnapshotCovers < c.snapshots.firstOffset
	old := !c.snapshots.oldestAt.IsZero() && now.Sub(c.snapshots.oldestAt) > c.cfg.Timing.Retention()/2
	many := state.Next-max(state.SnapshotCovers, 1) > maxEntriesSinceSnapshot
	if !expired && !old && !many {
		return
	}
	c.snapshots.writtenAt = now
	go c.writeSnapshot(state)
}

func (c *Controller) writeSnapshot(state catalog.State) {
	records, err := catalog.SnapshotRecords(state, c.instance())
	if err != nil {
		c.log.Error("snapshot-failed", zap.Error(err))
		return
	}
	c.post(func() {
		for _, record := range records {
			c.appendAsync(record, nil)
		}
		c.log.Info("snapshot-written", zap.Uint64("Covers", state.Next), zap.Int("Chunks", len(records)))
	})
}

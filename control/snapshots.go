package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/ledger"
)

const (
	snapshotPeriod = time.Second
	// snapshotRetries is how often a snapshot is tried in the time for which the log keeps records.
	snapshotRetries = 8
	// maxSnapshotRetry bounds how long a snapshot may take to appear before another is written.
	maxSnapshotRetry = 10 * time.Second
	// snapshotEntries is after how many entries a new VM should not need to read more.
	snapshotEntries = 20_000
)

// snapshotState is what this VM knows of the snapshots in the log.
type snapshotState struct {
	first uint64
	// oldestAt is the log time of the first entry after the last snapshot.
	oldestAt  time.Time
	covers    uint64
	writtenAt time.Time
}

func (c *Controller) noteSnapshotAge(batch ledger.Batch) {
	state, _ := c.replay.State()
	c.snapshots.first = batch.First
	if len(batch.Entries) == 0 {
		return
	}
	if state.SnapshotCovers != c.snapshots.covers || c.snapshots.oldestAt.IsZero() {
		c.snapshots.covers = state.SnapshotCovers
		c.snapshots.oldestAt = batch.Entries[0].At
	}
}

// writeSnapshotIfDue stores the agreed state in the log before the records that it was folded from
// expire. Any VM may do so; two snapshots of one offset say the same.
func (c *Controller) writeSnapshotIfDue(now time.Time) {
	state, whole := c.replay.State()
	if !whole || !c.headRead || state.Next == 1 || c.roster.First("snapshot", now) != c.self.VM {
		return
	}
	retry := min(maxSnapshotRetry, c.cfg.Timing.Retention()/snapshotRetries)
	if now.Sub(c.snapshots.writtenAt) < retry {
		return
	}
	expired := c.snapshots.first > 1 && state.SnapshotCovers < c.snapshots.first
	old := !c.snapshots.oldestAt.IsZero() && now.Sub(c.snapshots.oldestAt) > c.cfg.Timing.Retention()/2
	many := state.Next-max(state.SnapshotCovers, 1) > snapshotEntries
	if !expired && !old && !many {
		return
	}
	c.snapshots.writtenAt = now
	go c.writeSnapshot(state)
}

func (c *Controller) writeSnapshot(state catalog.State) {
	records, err := catalog.SnapshotRecords(state, c.holder())
	if err != nil {
		c.log.Error("snapshot-failed", zap.Error(err))
		return
	}
	c.post(func() {
		for _, record := range records {
			c.appendLater(record, nil)
		}
		c.log.Info("snapshot-written", zap.Uint64("Covers", state.Next), zap.Int("Chunks", len(records)))
	})
}

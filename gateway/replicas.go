package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/placement"
)

// returnGrace is how long after the return of the store an entry that lapsed meanwhile may still be missing. The
// entries of live replicas are back within about two seconds.
const returnGrace = 2300 * time.Millisecond

// replicaList keeps which entries of replicas are to be trusted.
type replicaList struct {
	// trustFrom is the time from which a missing entry means that the replica is gone.
	trustFrom time.Time
	// doubtful are replicas whose entries vanished before that.
	doubtful map[string]bool
	// listed says that the list has been read.
	listed bool
}

func newReplicaList() replicaList {
	return replicaList{doubtful: map[string]bool{}}
}

// ReplicaUpdate is what a batch of the list says of replicas.
type ReplicaUpdate struct {
	// Listed are entries that are new or changed.
	Listed []placement.Replica
	// Removed are the IDs whose entries were removed or cannot be read.
	Removed []string
	// Unreadable are errors of entries that cannot be read.
	Unreadable []error
	// Whole says that nothing else is listed.
	Whole bool
	// Outage is how long the list could not be read before.
	Outage time.Duration
	// Next is the offset after the last record that was read.
	Next uint64
	// offsets are those of the entries, by replica.
	offsets map[string]uint64
}

// NewReplicaUpdate decodes a batch of the list.
func NewReplicaUpdate(batch follow.Batch, decode func(id string, data []byte) (placement.Replica, error)) ReplicaUpdate {
	update := ReplicaUpdate{Whole: batch.Whole, Outage: batch.Outage, Next: batch.Next, offsets: map[string]uint64{}}
	newest := map[string]follow.Record{}
	for _, record := range batch.Records {
		newest[record.Key] = record
	}
	// Of two entries with one address the later one is the replica's that lives.
	byOffset := func(x, y follow.Record) int { return cmp.Compare(x.Offset, y.Offset) }
	for _, record := range slices.SortedFunc(maps.Values(newest), byOffset) {
		id := record.Key
		update.offsets[id] = record.Offset
		if len(record.Value) == 0 {
			update.Removed = append(update.Removed, id)
			continue
		}
		replica, err := decode(id, record.Value)
		if err != nil {
			update.Unreadable = append(update.Unreadable, err)
			update.Removed = append(update.Removed, id)
			continue
		}
		update.Listed = append(update.Listed, replica)
	}
	return update
}

// ApplyReplicas takes what the list says of replicas.
func (c *Controller) ApplyReplicas(update ReplicaUpdate) {
	c.post(func() { c.applyReplicas(c.now(), update) })
}

func (c *Controller) applyReplicas(now time.Time, update ReplicaUpdate) {
	c.replicas.listed = true
	c.reads.answered(now, update.Next)
	if update.Outage > 0 {
		c.replicas.trustFrom = now.Add(returnGrace)
	}
	for _, err := range update.Unreadable {
		c.log.Warn("replica-entry-unreadable", zap.Error(err))
	}
	known := map[string]placement.Replica{}
	for _, replica := range c.board.Replicas() {
		known[replica.ID] = replica
	}
	for _, replica := range update.Listed {
		old, exists := known[replica.ID]
		delete(known, replica.ID)
		delete(c.replicas.doubtful, replica.ID)
		if exists && old == replica {
			continue
		}
		c.board.SetReplica(replica)
		c.noteListChange(update.offsets[replica.ID])
		c.log.Info("replica-listed", zap.String("Replica", replica.ID), zap.String("Pool", replica.Pool), zap.String("Address", replica.Address),
			zap.String("Zone", replica.Zone), zap.Stringer("Stage", replica.Stage), zap.Bool("Leaving", replica.Leaving))
	}
	for _, id := range update.Removed {
		if replica, exists := known[id]; exists {
			c.removeReplica(now, replica)
			c.noteListChange(update.offsets[id])
			delete(known, id)
		}
	}
	if !update.Whole {
		return
	}
	for _, replica := range known {
		c.removeReplica(now, replica)
	}
}

// removeReplica takes a replica whose entry is missing out of use. While the list cannot be trusted, a replica that
// had not said that it leaves is kept for need.
func (c *Controller) removeReplica(now time.Time, replica placement.Replica) {
	if now.Before(c.replicas.trustFrom) && !replica.Leaving {
		replica.Doubtful = true
		c.replicas.doubtful[replica.ID] = true
		c.board.SetReplica(replica)
		c.log.Info("replica-doubtful", zap.String("Replica", replica.ID), zap.Duration("TrustIn", c.replicas.trustFrom.Sub(now)))
		return
	}
	c.board.RemoveReplica(replica.ID)
	c.log.Info("replica-gone", zap.String("Replica", replica.ID), zap.String("Address", replica.Address), zap.Bool("Leaving", replica.Leaving))
}

// tickReplicas forgets the replicas whose entries have not come back.
func (c *Controller) tickReplicas(now time.Time) {
	if len(c.replicas.doubtful) == 0 || now.Before(c.replicas.trustFrom) {
		return
	}
	for id := range c.replicas.doubtful {
		c.board.RemoveReplica(id)
		c.log.Info("replica-gone", zap.String("Replica", id), zap.Bool("Doubtful", true))
	}
	clear(c.replicas.doubtful)
}

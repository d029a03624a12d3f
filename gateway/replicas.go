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

// recoveryGrace is how long after a store outage a missing entry does not yet mean that the replica is gone. Entries
// that expired during the outage, or that are missing in an older copy of the store, are rewritten by live replicas within
// about two seconds.
const recoveryGrace = 2300 * time.Millisecond

// replicaList tracks whether missing entries of the replica list can be trusted.
type replicaList struct {
	// trustFrom is the time from which a missing entry means that the replica is gone.
	trustFrom time.Time
	// doubtful is the set of replicas whose entries disappeared before trustFrom.
	doubtful map[string]bool
	// everRead is whether the list has been read since the process started.
	everRead bool
	versions entryVersions
	digest   placement.ListDigest
}

func newReplicaList() replicaList {
	return replicaList{doubtful: map[string]bool{}, versions: newEntryVersions(), digest: placement.NewListDigest()}
}

// ReplicaUpdate holds the changes that one batch of the replica list describes.
type ReplicaUpdate struct {
	// Listed holds replicas whose entries were written, ordered by offset.
	Listed []placement.Replica
	// Removed holds the IDs of replicas whose entries were removed or cannot be decoded.
	Removed []string
	// Unreadable holds the errors of entries that cannot be decoded.
	Unreadable []error
	// Snapshot is whether the update is a full snapshot: replicas that are not in Listed are gone.
	Snapshot bool
	// Outage is how long the list could not be read before this batch, or 0.
	Outage time.Duration
	// Restored is whether the store has come back from an older copy since the last update.
	Restored bool
	// Next is the offset after the last record that was read, in an era of the store.
	Era, Next uint64
	// CompleteAt is a time of which the update holds all that was written before, or zero if it does not hold all of any.
	CompleteAt time.Time
	// Passed holds replicas whose entries were written and removed again since the last update.
	Passed []placement.Replica
	// offsets maps the ID of each replica to the offset of its entry.
	offsets map[string]uint64
	// versions maps the ID of each listed replica to the version of its entry, and coldFor that of each cold one to how much
	// longer it is cold.
	versions map[string]EntryVersion
	coldFor  map[string]time.Duration
}

// NewReplicaUpdate decodes a batch of the replica list. Only the newest record of each replica counts.
func NewReplicaUpdate(batch follow.Batch, decode func(id string, data []byte) (ReplicaEntry, error)) ReplicaUpdate {
	update := ReplicaUpdate{Snapshot: batch.Snapshot, Outage: batch.Outage, Restored: batch.Restored, Era: batch.Era, Next: batch.NextOffset, offsets: map[string]uint64{}, versions: map[string]EntryVersion{}, coldFor: map[string]time.Duration{}}
	if !batch.Partial {
		update.CompleteAt = batch.SentAt
	}
	newest := map[string]follow.Record{}
	for _, record := range batch.Records {
		update.addPassed(newest[record.Key], record, decode)
		newest[record.Key] = record
	}
	// If two replicas have the same address, the one with the later entry is alive, so entries are applied in the order of
	// their offsets.
	byOffset := func(x, y follow.Record) int { return cmp.Compare(x.Offset, y.Offset) }
	for _, record := range slices.SortedFunc(maps.Values(newest), byOffset) {
		id := record.Key
		update.offsets[id] = record.Offset
		if len(record.Value) == 0 {
			update.Removed = append(update.Removed, id)
			continue
		}
		entry, err := decode(id, record.Value)
		if err != nil {
			update.Unreadable = append(update.Unreadable, err)
			update.Removed = append(update.Removed, id)
			continue
		}
		update.Listed = append(update.Listed, entry.Replica)
		update.versions[id] = entry.Version
		if entry.ColdFor > 0 {
			update.coldFor[id] = entry.ColdFor
		}
	}
	return update
}

// addPassed adds the replica of an entry that the next record of its key removes. Its software version may be known from nowhere else.
func (u *ReplicaUpdate) addPassed(entry, next follow.Record, decode func(id string, data []byte) (ReplicaEntry, error)) {
	if len(entry.Value) == 0 || len(next.Value) > 0 {
		return
	}
	if passed, err := decode(entry.Key, entry.Value); err == nil {
		u.Passed = append(u.Passed, passed.Replica)
	}
}

// ApplyReplicas applies an update of the replica list to the scheduler.
func (c *Controller) ApplyReplicas(update ReplicaUpdate) {
	c.post(func() { c.applyReplicas(c.now(), update) })
}

func (c *Controller) applyReplicas(now time.Time, update ReplicaUpdate) {
	c.listSchedule.completeAt = later(c.listSchedule.completeAt, update.CompleteAt)
	for _, passed := range update.Passed {
		c.recordVersionGone(now, passed)
	}
	changed := c.applyList(now, now, update)
	c.decideWatches(update.CompleteAt)
	c.feedUpdate(now, changed, c.listSchedule.tookOver)
}

// applyList applies an update of the list that was read at a time. It returns the IDs of the replicas that have changed.
func (c *Controller) applyList(now, readAt time.Time, update ReplicaUpdate) (changed []string) {
	c.replicas.everRead = true
	c.listSchedule.recordRead(readAt, listPosition{update.Era, update.Next})
	if update.Outage > 0 || update.Restored {
		c.replicas.trustFrom = now.Add(recoveryGrace)
	}
	for _, err := range update.Unreadable {
		c.log.Warn("replica-entry-unreadable", zap.Error(err))
	}
	listed := make(map[string]bool, len(update.Listed))
	for _, replica := range update.Listed {
		old, exists := c.scheduler.Replica(replica.ID)
		listed[replica.ID] = true
		if c.isOutdated(update, replica.ID) {
			continue
		}
		last, known := c.scheduler.LastListed(replica.ID)
		if known && last.SoftwareVersion != replica.SoftwareVersion {
			c.doubtRecentStreams(now, last)
		}
		doubtedSince, restarted := c.renewIfRestarted(replica.ID, update.versions[replica.ID])
		if restarted && last.SoftwareVersion == replica.SoftwareVersion {
			// Its streams are of that version, whichever process they began at.
			c.returnStreams(replica, doubtedSince)
		}
		if restarted {
			c.recordListChange(update.offsets[replica.ID])
			changed = append(changed, replica.ID)
		}
		if restarted || !exists || old != replica || !c.replicas.digest.Has(replica.ID) {
			c.replicas.digest.Set(replica, update.versions[replica.ID].Born)
		}
		c.replicas.versions.record(replica.ID, update.versions[replica.ID])
		delete(c.replicas.doubtful, replica.ID)
		c.recordCold(now, replica, update.coldFor[replica.ID], "list")
		if exists && old == replica {
			continue
		}
		if exists && old.SoftwareVersion != replica.SoftwareVersion {
			c.recordVersionGone(now, old)
		}
		c.scheduler.SetReplica(replica)
		c.recordListChange(update.offsets[replica.ID])
		changed = append(changed, replica.ID)
		c.log.Info("replica-listed", zap.String("Replica", replica.ID), zap.String("Pool", replica.Pool), zap.String("Address", replica.Address),
			zap.String("Zone", replica.Zone), zap.Stringer("Stage", replica.Stage), zap.String("SoftwareVersion", replica.SoftwareVersion), zap.Bool("Leaving", replica.Leaving))
	}
	for _, id := range update.Removed {
		if replica, exists := c.scheduler.Replica(id); exists {
			c.removeReplica(now, replica)
			c.recordListChange(update.offsets[id])
			changed = append(changed, id)
		}
	}
	defer c.announceStreams()
	if !update.Snapshot {
		return changed
	}
	for _, replica := range c.scheduler.Replicas() {
		if !listed[replica.ID] {
			c.removeReplica(now, replica)
			changed = append(changed, replica.ID)
		}
	}
	return changed
}

// removeReplica removes a replica whose entry is missing. While the list cannot be trusted after an outage, a replica
// that was not leaving is marked doubtful instead, and is used only when no other replica is available.
func (c *Controller) removeReplica(now time.Time, replica placement.Replica) {
	c.replicas.digest.Remove(replica.ID)
	if now.Before(c.replicas.trustFrom) && !replica.Leaving {
		replica.Doubtful = true
		c.replicas.doubtful[replica.ID] = true
		c.scheduler.SetReplica(replica)
		c.log.Info("replica-doubtful", zap.String("Replica", replica.ID), zap.Duration("TrustIn", c.replicas.trustFrom.Sub(now)))
		return
	}
	c.scheduler.RemoveReplica(now, replica.ID)
	c.recordVersionGone(now, replica)
	c.replicas.versions.recordGone(now, replica.ID)
	c.log.Info("replica-gone", zap.String("Replica", replica.ID), zap.String("Address", replica.Address), zap.Bool("Leaving", replica.Leaving))
}

// expireDoubtfulReplicas removes the doubtful replicas whose entries have not come back by trustFrom, as a read of the list
// after that time shows.
func (c *Controller) expireDoubtfulReplicas(now time.Time) {
	if len(c.replicas.doubtful) == 0 || now.Before(c.replicas.trustFrom) {
		return
	}
	if c.readList != nil && c.listSchedule.ranAt.Before(c.replicas.trustFrom) {
		c.listSchedule.stale = true
		return
	}
	for id := range c.replicas.doubtful {
		if replica, listed := c.scheduler.Replica(id); listed {
			c.recordVersionGone(now, replica)
		}
		c.scheduler.RemoveReplica(now, id)
		c.replicas.versions.recordGone(now, id)
		c.log.Info("replica-gone", zap.String("Replica", id), zap.Bool("Doubtful", true))
	}
	clear(c.replicas.doubtful)
}

package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/placement"
)

// goneReplicaMemory is how long the entry of a replica that has gone is remembered. Copies of the store are some seconds old.
const goneReplicaMemory = 2 * time.Minute

// ReplicaEntry is the entry of a replica in the replica list.
type ReplicaEntry struct {
	placement.Replica
	Version EntryVersion
	// ColdFor is how much longer the replica is cold, at the time of writing.
	ColdFor time.Duration
}

// EntryVersion orders the entries that one replica ID wrote.
type EntryVersion struct {
	// Born is when the replica's process started, in Unix milliseconds by its own clock, or 0 if the entry does not say.
	Born int64
	// Sequence rises with each entry of one process.
	Sequence int64
}

// before reports whether v was written before other.
func (v EntryVersion) before(other EntryVersion) bool {
	if v.Born != other.Born {
		return v.Born < other.Born
	}
	return v.Sequence < other.Sequence
}

// entryVersions remembers the newest entry of each replica. When the store has come back from an older copy, an entry can be
// older than one that was read before, and revive a replica that is leaving or has gone.
type entryVersions struct {
	newest map[string]EntryVersion
	// goneAt is when a replica was removed, by ID.
	goneAt map[string]time.Time
}

func newEntryVersions() entryVersions {
	return entryVersions{newest: map[string]EntryVersion{}, goneAt: map[string]time.Time{}}
}

// outdated reports whether an entry of a restored list says less than what is known of the replica.
func (e *entryVersions) outdated(id string, version EntryVersion) bool {
	newest, known := e.newest[id]
	_, gone := e.goneAt[id]
	return known && (version.before(newest) || gone && version == newest)
}

// record records an entry that is in force.
func (e *entryVersions) record(id string, version EntryVersion) {
	e.newest[id] = version
	delete(e.goneAt, id)
}

// recordGone records that a replica has been removed, and forgets those that were removed long ago.
func (e *entryVersions) recordGone(now time.Time, id string) {
	e.goneAt[id] = now
	for gone, at := range e.goneAt {
		if now.Sub(at) > goneReplicaMemory {
			delete(e.goneAt, gone)
			delete(e.newest, gone)
		}
	}
}

// isOutdated reports and logs whether an entry of a restored list is older than what this VM has read of the replica.
func (c *Controller) isOutdated(update ReplicaUpdate, id string) bool {
	version := update.versions[id]
	if !update.Restored || !c.replicas.versions.outdated(id, version) || c.scheduler.ConfirmsStart(id, version.Born) {
		return false
	}
	known := c.replicas.versions.newest[id]
	c.log.Info("replica-entry-outdated", zap.String("Replica", id), zap.Int64("Sequence", version.Sequence), zap.Int64("Born", version.Born),
		zap.Int64("KnownSequence", known.Sequence), zap.Int64("KnownBorn", known.Born))
	return true
}

// Package resumption tells at which software version of a service a broken stream may go on.
//
// Replicas of several versions may serve side by side, and what two of them write does not fit together, so a stream goes on only
// at the version that began it. A Tracker remembers where the streams of this VM and of its peers began. A stream that it does not
// know may go on only if all streams that can still be resumed began at the same version. It performs no I/O.
package resumption

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultMemory is how long streams are remembered before SetMemory is called.
	defaultMemory = 30 * time.Second
	// maxRemembered bounds the streams that are remembered.
	maxRemembered = 50_000
)

// DoubtedVersion is the version of streams of which it is not known. No replica has it, so they are not resumed.
const DoubtedVersion = "?"

// Origin is where a stream began.
type Origin struct {
	Pool, Version string
}

// Unknown says why it is not known where a stream began.
type Unknown string

// Reasons for which the origin of a stream is not known.
const (
	// Known means that it is known.
	Known Unknown = ""
	// SeveralVersions means that the stream is not remembered and may have begun at any of several versions.
	SeveralVersions Unknown = "SeveralVersions"
	// NoHistory means that it is not known which versions served before this VM started.
	NoHistory Unknown = "NoHistory"
	// Outdated means that the stream is not remembered, and that versions may serve now of which this VM has not heard yet.
	Outdated Unknown = "Outdated"
)

// begun is a stream that has begun.
type begun struct {
	origin Origin
	at     time.Time
	// own is whether it began at this VM, and replica the ID of the replica at which it did.
	own     bool
	replica string
}

// recorded is a stream that was recorded at a time.
type recorded struct {
	name uint64
	at   time.Time
}

// Tracker remembers where streams began. It is not safe for concurrent use.
type Tracker struct {
	// memory is how long after it was last recorded a stream is remembered.
	memory  time.Duration
	streams map[uint64]*begun
	// order holds the streams in the order in which they were recorded.
	order []recorded
	// untold holds the names of own streams that peers are still to be told of, and told those that they have been told of.
	untold []uint64
	told   toldLog
	// lastServed is when the last replica of a version went, by origin.
	lastServed map[Origin]time.Time
	// historySince is since when all versions are known that have served. It is zero if those before are known too.
	historySince time.Time
}

// NewTracker returns a Tracker that knows of no streams. historySince is the time before which versions may have served that it does
// not know, or zero if there are none.
func NewTracker(historySince time.Time) *Tracker {
	return &Tracker{memory: defaultMemory, streams: map[uint64]*begun{}, lastServed: map[Origin]time.Time{}, historySince: historySince}
}

// nameOf returns the name of the stream that an attempt began.
func nameOf(attempt string) uint64 { return xxhash.Sum64String(attempt) }

// Begin records that an attempt at this VM begins a stream at a replica of an origin.
func (t *Tracker) Begin(now time.Time, attempt, replica string, origin Origin) {
	name := nameOf(attempt)
	t.record(now, name, origin, true)
	t.streams[name].replica = replica
}

// Reassign gives the streams that have begun at this VM and a replica since a time another origin.
func (t *Tracker) Reassign(now time.Time, replica string, since time.Time, origin Origin) (count int) {
	var names []uint64
	for i := len(t.order) - 1; i >= 0 && !t.order[i].at.Before(since); i-- {
		if stream := t.streams[t.order[i].name]; stream != nil && stream.own && stream.replica == replica && stream.origin != origin {
			names = append(names, t.order[i].name)
		}
	}
	for _, name := range names {
		t.record(now, name, origin, true)
		t.streams[name].replica = replica
	}
	return len(names)
}

// ReplicasSince returns the IDs of the replicas at which streams have begun at this VM since a time.
func (t *Tracker) ReplicasSince(since time.Time) map[string]bool {
	replicas := map[string]bool{}
	for i := len(t.order) - 1; i >= 0 && !t.order[i].at.Before(since); i-- {
		if stream := t.streams[t.order[i].name]; stream != nil && stream.own {
			replicas[stream.replica] = true
		}
	}
	return replicas
}

func (t *Tracker) record(now time.Time, name uint64, origin Origin, own bool) {
	t.expire(now)
	known := t.streams[name]
	if known != nil && known.origin == origin && !own {
		return
	}
	if own && (known == nil || !known.own || known.origin != origin) {
		t.untold = append(t.untold, name)
	}
	t.streams[name] = &begun{origin: origin, at: now, own: own}
	t.order = append(t.order, recorded{name, now})
}

// expire forgets streams that nobody can resume any more, and the oldest if there are too many.
func (t *Tracker) expire(now time.Time) {
	for len(t.order) > 0 {
		oldest := t.order[0]
		if now.Sub(oldest.at) <= t.memory && len(t.order) <= maxRemembered {
			return
		}
		t.order = t.order[1:]
		if stream := t.streams[oldest.name]; stream != nil && stream.at.Equal(oldest.at) {
			delete(t.streams, oldest.name)
		}
	}
}

// SetMemory sets how long a stream can be resumed after it has begun.
func (t *Tracker) SetMemory(memory time.Duration) { t.memory = memory }

// RecordGone records that a replica of an origin serves no longer.
func (t *Tracker) RecordGone(now time.Time, origin Origin) { t.lastServed[origin] = now }

// Restore records the versions of each pool that served before this VM started, as it has read them now.
func (t *Tracker) Restore(now time.Time, versions map[string][]string) {
	for pool, names := range versions {
		for _, version := range names {
			t.RecordGone(now, Origin{pool, version})
		}
	}
	t.historySince = time.Time{}
}

// HistoryKnown reports whether all versions are known at which streams may have begun that can still be resumed.
func (t *Tracker) HistoryKnown(now time.Time) bool {
	return t.historySince.IsZero() || now.Sub(t.historySince) > t.memory
}

// Versions returns the sorted versions of a pool at which streams may have begun that can still be resumed. listed holds those that
// serve now.
func (t *Tracker) Versions(now time.Time, pool string, listed []string) []string {
	versions := slices.Clone(listed)
	for origin, at := range t.lastServed {
		if now.Sub(at) > t.memory {
			delete(t.lastServed, origin)
			continue
		}
		if origin.Pool == pool {
			versions = append(versions, origin.Version)
		}
	}
	slices.Sort(versions)
	return slices.Compact(versions)
}

// Pools returns the pools that have lost versions lately.
func (t *Tracker) Pools() []string {
	var pools []string
	for origin := range t.lastServed {
		pools = append(pools, origin.Pool)
	}
	return pools
}

// OriginOf returns where the stream that an attempt began may go on. If the stream is not remembered, it is one of a pool, of which
// listed holds the versions that serve now, as far as is known. current is whether those are all.
func (t *Tracker) OriginOf(now time.Time, attempt, pool string, listed []string, current bool) (Origin, Unknown) {
	if t.Remembers(now, attempt) {
		return t.streams[nameOf(attempt)].origin, Known
	}
	versions := t.Versions(now, pool, listed)
	switch {
	case !t.HistoryKnown(now):
		return Origin{}, NoHistory
	case len(versions) > 1:
		return Origin{}, SeveralVersions
	case !current:
		return Origin{}, Outdated
	case len(versions) == 0:
		return Origin{Pool: pool}, Known
	}
	return Origin{pool, versions[0]}, Known
}

// Find returns the streams with some names that are remembered.
func (t *Tracker) Find(now time.Time, names []uint64) Report {
	t.expire(now)
	found := Report{}
	for _, name := range names {
		if stream := t.streams[name]; stream != nil {
			found[stream.origin] = append(found[stream.origin], name)
		}
	}
	return found
}

// Remembers reports whether it is known where the stream that an attempt began may go on.
func (t *Tracker) Remembers(now time.Time, attempt string) bool {
	t.expire(now)
	return attempt != "" && t.streams[nameOf(attempt)] != nil
}

// Own returns the newest streams, at most limit, that have begun at this VM in some pools and can still be resumed.
func (t *Tracker) Own(now time.Time, pools []string, limit int) Report {
	t.expire(now)
	own := Report{}
	count := 0
	for i := len(t.order) - 1; i >= 0 && count < limit; i-- {
		recorded := t.order[i]
		stream := t.streams[recorded.name]
		if stream == nil || !stream.own || !stream.at.Equal(recorded.at) || !slices.Contains(pools, stream.origin.Pool) {
			continue
		}
		own[stream.origin] = append(own[stream.origin], recorded.name)
		count++
	}
	return own
}

// RestoreOwn records streams that began at this VM before it started.
func (t *Tracker) RestoreOwn(now time.Time, report Report) {
	for origin, names := range report {
		for _, name := range names {
			t.record(now, name, origin, true)
		}
	}
}

// RecordFound records the streams that were found when it was asked for some. What is remembered may be newer and holds, unless its version is
// in doubt elsewhere.
func (t *Tracker) RecordFound(now time.Time, report Report) {
	for origin, names := range report {
		for _, name := range names {
			if t.streams[name] == nil || origin.Version == DoubtedVersion {
				t.record(now, name, origin, false)
			}
		}
	}
}

// RecordPeer records the streams that a peer has told of.
func (t *Tracker) RecordPeer(now time.Time, report Report) {
	for origin, names := range report {
		for _, name := range names {
			t.record(now, name, origin, false)
		}
	}
}

package placement

import (
	"time"

	"github.com/cassiabridge/cassiabridge/liveness"
)

const (
	// sampleWeight is the weight of the newest sample in the moving averages of prefill rate and latency.
	sampleWeight = 0.3
	// initialPrefillRate is the assumed prefill rate of an engine without samples, in prompt tokens per second.
	initialPrefillRate = 45_000.0
	// initialLatency is the assumed latency of a service without samples, in seconds.
	initialLatency = 0.02
	// initialBackoff and maxBackoff bound how long a failing replica is skipped.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// maxBackoffDoublings is the number of doublings from initialBackoff to maxBackoff.
	maxBackoffDoublings = 3
	// failureThreshold is the number of consecutive failures after which a reachable replica is skipped.
	failureThreshold = 3
)

// Stage is the kind of work that an engine does.
type Stage int

// Engine stages. Services have StageNone.
const (
	StageNone Stage = iota
	StagePrefill
	StageDecode
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"None", "Prefill", "Decode"}[s] }

// Replica describes a listed upstream.
type Replica struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	Stage   Stage
	// Born is when the replica's process started, in Unix milliseconds by its own clock, or 0 if that is not known. ID and address outlive
	// the process.
	Born int64 `json:",omitempty"`
	// SoftwareVersion is the version of the software that the replica runs, with no order among versions, or empty.
	SoftwareVersion string
	// Slots is the number of requests that the replica processes concurrently.
	Slots int
	// Leaving replicas receive no new work.
	Leaving bool
	// Doubtful replicas disappeared from the list while the list was not trusted. They are used only if no
	// other replica is available.
	Doubtful bool
}

// VersionLimit restricts the software versions of the replicas that may answer a request.
type VersionLimit struct {
	// Limited is whether there is a restriction, to Version.
	Limited bool
	Version string
}

// Allows reports whether a replica of a version may answer.
func (l VersionLimit) Allows(version string) bool { return !l.Limited || l.Version == version }

// Load is the work that one VM has in flight at one replica.
type Load struct {
	Requests int
	// Tokens is the number of prompt tokens left to process for a prefill engine, and the number of reserved
	// memory tokens for a decode engine.
	Tokens int
}

// add adjusts the load and keeps it from becoming negative: requests that started before a replica was listed
// anew are subtracted without having been added.
func (l *Load) add(requests, tokens int) {
	l.Requests = max(0, l.Requests+requests)
	l.Tokens = max(0, l.Tokens+tokens)
}

// replica is a listed replica with its load, learned statistics and failure state.
type replica struct {
	Replica
	ownLoad   Load
	peerLoads map[string]Load
	// prefillRate is the moving average of a prefill engine's rate, in prompt tokens per second.
	prefillRate float64
	// latency is the moving average of a service's latency, in seconds.
	latency float64
	// workTime is the moving average of a service's latency without queueing on an unhindered machine, in seconds, or 0.
	workTime float64
	// load is what a service last said of its load, loadIsOwn whether it told this VM, and sentSinceLoad the number of calls
	// that this VM has sent since then.
	load          ServiceLoad
	loadIsOwn     bool
	sentSinceLoad int
	failures      int
	// backoffUntil is the time until which the replica is skipped after failures.
	backoffUntil time.Time
	// unreachable is whether the last failure was that the replica could not be reached.
	unreachable bool
	// unreachableFor holds the peers that report the replica as unreachable.
	unreachableFor map[string]bool
	// listing numbers the replicas in the order in which they were listed at their addresses.
	listing int
	// replaced reports that another replica answers at the address. It stays set until this replica is listed with
	// another address or is renewed.
	replaced bool
	// belief is what is believed of the process that answers.
	belief liveness.Belief
	// saidLeaving is whether the replica has said in an answer that it is leaving. It stays set in the same way.
	saidLeaving bool
	// evacuated is whether the availability zone of the replica is evacuated.
	evacuated bool
	// fullUntil is the time until which an engine that reported it is full receives no requests.
	fullUntil time.Time
}

func newReplica(listed Replica) *replica {
	return &replica{Replica: listed, peerLoads: map[string]Load{}, unreachableFor: map[string]bool{}, prefillRate: initialPrefillRate, latency: initialLatency}
}

// totalLoad returns the load of all VMs at the replica.
func (r *replica) totalLoad() Load {
	total := r.ownLoad
	for _, load := range r.peerLoads {
		total.add(load.Requests, load.Tokens)
	}
	return total
}

// preferred reports whether an eligible replica is neither doubtful, in backoff nor unreachable for several peers.
func (r *replica) preferred(now time.Time) bool {
	return !r.Leaving && !r.Doubtful && !now.Before(r.backoffUntil) && len(r.unreachableFor) < minUnreachableReports
}

// eligible reports whether the replica may receive new work at all.
func (r *replica) eligible() bool { return !r.Leaving && !r.saidLeaving && !r.replaced && !r.evacuated }

func (r *replica) recordSuccess() { r.failures = 0 }

// recordFailure counts a failed request and returns how long the replica is skipped, or 0. An unreachable
// replica is skipped from its first failure, and for longer if peers do not reach it either.
func (r *replica) recordFailure(now time.Time, unreachable bool) time.Duration {
	r.failures++
	r.unreachable = unreachable
	if !unreachable && r.failures < failureThreshold {
		return 0
	}
	doublings := r.failures - 1 + len(r.unreachableFor)
	backoff := min(initialBackoff<<min(doublings, maxBackoffDoublings), maxBackoff)
	r.backoffUntil = now.Add(backoff)
	return backoff
}

func (r *replica) updatePrefillRate(tokens int, elapsed time.Duration) {
	if elapsed <= 0 || tokens <= 0 {
		return
	}
	r.prefillRate += sampleWeight * (float64(tokens)/elapsed.Seconds() - r.prefillRate)
}

func (r *replica) updateLatency(elapsed time.Duration) {
	r.latency += sampleWeight * (elapsed.Seconds() - r.latency)
}

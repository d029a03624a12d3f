package placement

import (
	"time"
)

const (
	// rateGain weighs the newest sample of a replica's speed.
	rateGain = 0.3
	// initialPrefillRate is the assumed speed, in prompt tokens a second, of an engine that is not known yet.
	initialPrefillRate = 45_000.0
	// initialLatency is the assumed time of one call to a service, in seconds.
	initialLatency = 0.02
	// firstPause and longestPause bound how long a replica that fails is passed over.
	firstPause   = 500 * time.Millisecond
	longestPause = 4 * time.Second
	// maxDoublings take the first pause to the longest.
	maxDoublings = 3
	// failuresToPause in a row of a reachable replica make it be passed over.
	failuresToPause = 3
)

// Stage is the work that an engine does.
type Stage int

// Stages of engines. Services have none.
const (
	StageNone Stage = iota
	StagePrefill
	StageDecode
)

// String returns the name of the stage.
func (s Stage) String() string { return [...]string{"None", "Prefill", "Decode"}[s] }

// Replica is an upstream as it is listed.
type Replica struct {
	ID      string
	Pool    string
	Address string
	Zone    string
	Stage   Stage
	// Slots is how many requests it works on at once.
	Slots int
	// Leaving replicas get no new work.
	Leaving bool
	// Doubtful replicas vanished from the list while it could not be trusted. They are used only when
	// nothing else is left.
	Doubtful bool
}

// Load is what one VM has under way at one replica.
type Load struct {
	Requests int
	// Tokens are prompt tokens still to be read by a prefill engine, or the memory that the requests of
	// a decode engine are expected to take.
	Tokens int
}

// add changes a load. Requests that began before a replica was listed anew do not take it below nothing.
func (l *Load) add(requests, tokens int) {
	l.Requests = max(0, l.Requests+requests)
	l.Tokens = max(0, l.Tokens+tokens)
}

// replica is what a board knows of one upstream.
type replica struct {
	Replica
	own   Load
	peers map[string]Load
	// rate is the learned speed of a prefill engine in prompt tokens a second.
	rate float64
	// latency is the learned time of one call to a service in seconds.
	latency  float64
	failures int
	// passedUntil is the time until which the replica is passed over.
	passedUntil time.Time
	// replaced says that another replica answers at the address. IDs are not used again while that is so.
	replaced bool
	// fullUntil is the time until which an engine is taken to be full, after it said so.
	fullUntil time.Time
}

func newReplica(listed Replica) *replica {
	return &replica{Replica: listed, peers: map[string]Load{}, rate: initialPrefillRate, latency: initialLatency}
}

// load returns what all VMs have under way at the replica.
func (r *replica) load() Load {
	total := r.own
	for _, load := range r.peers {
		total.add(load.Requests, load.Tokens)
	}
	return total
}

// usable reports whether the replica may get new work while others could.
func (r *replica) usable(now time.Time) bool {
	return !r.Leaving && !r.Doubtful && !now.Before(r.passedUntil)
}

// lastResort reports whether the replica may get new work when no other is usable.
func (r *replica) lastResort() bool { return !r.Leaving && !r.replaced }

func (r *replica) succeeded() { r.failures = 0 }

// failed notes a failed request, and returns for how long the replica is passed over. One that could not be reached at
// all is passed over at once.
func (r *replica) failed(now time.Time, unreachable bool) time.Duration {
	r.failures++
	if !unreachable && r.failures < failuresToPause {
		return 0
	}
	pause := min(firstPause<<min(r.failures-1, maxDoublings), longestPause)
	r.passedUntil = now.Add(pause)
	return pause
}

func (r *replica) learnRate(tokens int, took time.Duration) {
	if took <= 0 || tokens <= 0 {
		return
	}
	r.rate += rateGain * (float64(tokens)/took.Seconds() - r.rate)
}

func (r *replica) learnLatency(took time.Duration) {
	r.latency += rateGain * (took.Seconds() - r.latency)
}

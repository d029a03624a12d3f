package dispatch

import "time"

// Request is what the dispatcher needs to know of one call.
type Request struct {
	ID string
	// VM and Incarnation tell which process forwards the request.
	VM          string
	Incarnation string
	Account     string
	// Weight is the account's share of contended service.
	Weight float64
	// PromptTokens is the length of the prompt; OutputTokens is the output limit.
	PromptTokens int
	OutputTokens int
	// Prefix holds the chained hashes of the prompt's pieces of PieceTokens each.
	Prefix []uint64
	// ArrivedAt and FirstTokenBy are by the clock of the dispatcher.
	ArrivedAt    time.Time
	FirstTokenBy time.Time
	// GiveUpAt is when a request that still waits is refused as not run.
	GiveUpAt time.Time
	Urgent   bool
	// Avoid lists engines on which an earlier attempt failed.
	Avoid []string
}

// PieceTokens is the size of the pieces in which engines cache prompt prefixes.
const PieceTokens = 1024

// Stage is where a request stands.
type Stage int

// The stages of a request.
const (
	StageQueued Stage = iota
	StagePrefill
	StagePrefilled
	StageDecode
)

// DecisionKind says what a Decision allows.
type DecisionKind string

// The kinds of Decision.
const (
	DecidePrefill DecisionKind = "Prefill" // Start the prefill on Engine.
	DecideDecode  DecisionKind = "Decode"  // Move the KV cache to Engine and decode there.
	DecideRefuse  DecisionKind = "Refuse"  // The request waited too long and was not run.
)

// Decision tells the VM of a request what to do next.
type Decision struct {
	ID     string
	VM     string
	Kind   DecisionKind
	Engine string
	Addr   string
}

// reach says which decode engines a request may be given.
type reach int

const (
	// reachFast is for requests in time: engines that meet the target for the time between tokens.
	reachFast reach = iota
	// reachSlow is for late requests while others can be in time: the engines those cannot use.
	reachSlow
	// reachAll is for late requests when no other waits.
	reachAll
)

func (r reach) overlaps(other reach) bool { return r == other || r == reachAll || other == reachAll }

type job struct {
	Request
	stage Stage
	// late says that the first token cannot be in time any more.
	late bool
	// reach is which decode engines the request may be given.
	reach   reach
	prefill string
	decode  string
	// grantedAt is when the prefill was granted; dueAt is when its result is expected.
	grantedAt time.Time
	dueAt     time.Time
	work      float64
	startedAt time.Time
	evictedAt time.Time
}

// cost is the service that a request asks for, in prompt-token equivalents.
func (j *job) cost() float64 {
	return float64(j.PromptTokens) + decodeTokenCost*float64(j.OutputTokens)
}

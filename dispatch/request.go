package dispatch

import "time"

// Request describes one inference request to the dispatcher.
type Request struct {
	ID string
	// VM and Incarnation identify the process that forwards the request.
	VM          string
	Incarnation string
	Account     string
	// Weight is the account's weight in fair queueing.
	Weight float64
	// PromptTokens is the length of the prompt; OutputTokens is the output limit.
	PromptTokens int
	OutputTokens int
	// Prefix holds the chained hashes of the prompt's blocks of PrefixBlockTokens tokens.
	Prefix []uint64
	// ArrivedAt and FirstTokenDeadline are times by the dispatcher's clock.
	ArrivedAt          time.Time
	FirstTokenDeadline time.Time
	// ExpiresAt is the time after which a request that is still queued is refused without being run.
	ExpiresAt time.Time
	Urgent    bool
	// Avoid lists the engines on which an earlier attempt failed.
	Avoid []string
}

// PrefixBlockTokens is the size, in tokens, of the blocks in which engines cache prompt prefixes.
const PrefixBlockTokens = 1024

// Stage is the progress of a request. Later stages have higher values.
type Stage int

// The stages of a request.
const (
	StageQueued Stage = iota
	StagePrefill
	StagePrefilled
	StageDecode
)

// DecisionKind is the action that a Decision asks for.
type DecisionKind string

// The kinds of Decision.
const (
	DecidePrefill DecisionKind = "Prefill" // Start the prefill on Engine.
	DecideDecode  DecisionKind = "Decode"  // Move the KV cache to Engine and decode there.
	DecideRefuse  DecisionKind = "Refuse"  // The request expired in the queue or the queue was full. It was not run.
)

// Decision is an instruction to the VM that forwards a request.
type Decision struct {
	ID     string
	VM     string
	Kind   DecisionKind
	Engine string
	Addr   string
}

// engineClass is a class of decode engines by speed. It limits the engines that a request may be assigned.
type engineClass int

const (
	// classFast is the engines that meet the target for the time between tokens. It is for requests that
	// can meet their deadlines.
	classFast engineClass = iota
	// classSlow is the engines that do not meet the target. It is for late requests while others can
	// meet their deadlines.
	classSlow
	// classAll is every engine. It is for late requests while no other request can meet its deadline.
	classAll
)

func (c engineClass) overlaps(other engineClass) bool {
	return c == other || c == classAll || other == classAll
}

type job struct {
	Request
	stage Stage
	// late is set once the request can no longer meet its deadline.
	late bool
	// class limits the decode engines that the request may be assigned.
	class         engineClass
	prefillEngine string
	decodeEngine  string
	// prefillGrantedAt is when the prefill was granted. prefillDueAt is when it is expected to finish.
	prefillGrantedAt time.Time
	prefillDueAt     time.Time
	uncachedTokens   float64
	decodeStartedAt  time.Time
	evictsAt         time.Time
}

// cost returns the fair-queueing cost of a request, in prompt tokens.
func (j *job) cost() float64 {
	return float64(j.PromptTokens) + decodeTokenCost*float64(j.OutputTokens)
}

package trial

import "time"

// prefillModel models a prefill engine, which computes one prompt at a time.
type prefillModel struct {
	name            string
	zone            int
	tokensPerSecond float64
	busyUntil       time.Duration
	linkBusyUntil   time.Duration
	dead            bool
	queued          int
}

// decodeModel models a decode engine, which generates for up to decodeSlots requests at once and queues the others.
type decodeModel struct {
	name     string
	zone     int
	tokenGap time.Duration
	running  int
	waiting  []*simRequest
	dead     bool
}

func (d *decodeModel) requestsPerSecond() float64 {
	return decodeSlots / (d.tokenGap.Seconds() * meanOutputTokens)
}

// stage is the processing stage of a simulated request.
type stage int

const (
	stageQueued stage = iota
	stagePrefill
	stagePrefilled
	stageDecode
	stageEnded
)

// simRequest is one simulated request.
type simRequest struct {
	id           int
	attempt      int
	vm           int
	account      int
	promptTokens int
	outputTokens int
	// sentTokens is the number of tokens that the caller has received.
	sentTokens   int
	arrivedAt    time.Duration
	firstTokenAt time.Duration
	endedAt      time.Duration

	stage            stage
	prefill          *prefillModel
	decode           *decodeModel
	prefilledAt      time.Duration
	decodeStartedAt  time.Duration
	lost             bool
	refused          bool
	excluded         bool
	exceededTokenGap bool
}

func (c *simRequest) metTargets() bool {
	return c.endedAt > 0 && !c.lost && !c.refused && c.firstTokenAt-c.arrivedAt <= firstTokenTarget && !c.exceededTokenGap
}

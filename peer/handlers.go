package peer

import (
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/roster"
)

// Handlers holds the handlers for messages from peers. Handlers must not block. They may call their reply function
// after they return and from any goroutine.
type Handlers struct {
	Heartbeat func(h roster.Heartbeat, reply func(roster.Heartbeat))
	State     func(reply func(data []byte, err error))
	Borrow    func(from Identity, r BorrowRequest, reply func(amount float64))
	Settle    func(from Identity, s []Settlement)
	Withdraw  func(withdrawn []roster.Withdrawal, reply func())
	Jobs      func(from Identity, u JobUpdate)
	Decide    func(from Identity, lane string, decisions []dispatch.Decision)
}

// BorrowRequest asks for a loan of Amount tokens of an account for the duration Term.
type BorrowRequest struct {
	ID      string
	Account string
	Amount  float64
	Term    time.Duration
}

// Settlement ends a loan of an account's tokens and returns the unused ones, Left.
type Settlement struct {
	ID      string
	Account string
	Left    float64
}

// JobUpdate reports the requests of one VM in a lane to the lane's dispatcher.
type JobUpdate struct {
	Lane string
	// Jobs are the new requests, or all requests if Full is set.
	Jobs             []Job
	Prefilled        []string
	Finished         []FinishedJob
	DecodeRejections []DecodeRejection
	// Full reports whether Jobs is a full list of the VM's requests in the lane.
	Full bool
}

// Job is a request and its stage, as known to the VM that received it.
type Job struct {
	Request       dispatch.Request
	Stage         dispatch.Stage
	PrefillEngine string
	DecodeEngine  string
	// TokenGap is the mean time between tokens so far, or 0 if it is not known.
	TokenGap time.Duration
}

// DecodeRejection is a request that the decode engine assigned to it did not accept.
type DecodeRejection struct {
	ID     string
	Engine string
}

// FinishedJob is a request that has ended, with its result.
type FinishedJob struct {
	ID     string
	Result dispatch.Result
}

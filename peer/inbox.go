package peer

import (
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/roster"
)

// Inbox holds the functions that messages of peers are passed to. They must not block. A reply
// function may be called later, from any goroutine.
type Inbox struct {
	Heartbeat func(h roster.Heartbeat, reply func(roster.Heartbeat))
	State     func(reply func(data []byte, err error))
	Borrow    func(from Identity, r BorrowRequest, reply func(amount float64))
	Settle    func(from Identity, s []Settlement)
	Withdraw  func(withdrawn []roster.Withdrawal, reply func())
	Jobs      func(from Identity, u JobUpdate)
	Decide    func(from Identity, lane string, decisions []dispatch.Decision)
}

// BorrowRequest asks for a loan of an account's tokens.
type BorrowRequest struct {
	ID      string
	Account string
	Want    float64
	Term    time.Duration
}

// Settlement ends a loan of an account's tokens.
type Settlement struct {
	ID      string
	Account string
	Left    float64
}

// JobUpdate tells a dispatcher about the requests of one VM.
type JobUpdate struct {
	Lane string
	// Jobs are new requests, or all requests if Whole is set.
	Jobs      []Job
	Prefilled []string
	Finished  []FinishedJob
	Misplaced []MisplacedJob
	// Whole says that Jobs are all requests that the VM has in the lane.
	Whole bool
}

// Job is a request with the stage that its VM knows.
type Job struct {
	Request dispatch.Request
	Stage   dispatch.Stage
	Prefill string
	Decode  string
	// Gap is the mean time between tokens so far, or 0.
	Gap time.Duration
}

// MisplacedJob is a request that a decode engine did not take.
type MisplacedJob struct {
	ID     string
	Engine string
}

// FinishedJob is a request that needs nothing any more.
type FinishedJob struct {
	ID     string
	Result dispatch.Result
}

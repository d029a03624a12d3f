package standin

import (
	"net/http"
	"slices"
	"strings"
)

// ReplicaFaults configures fault injection on a replica. The zero value injects no faults.
type ReplicaFaults struct {
	// Refuse answers that the request was not run.
	Refuse bool
	// Fail runs the request and answers 500.
	Fail bool
	// FailResumed runs a request that resumes a stream and answers 500.
	FailResumed bool
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer bool
	// CutAfter is an event number. A stream breaks in the middle of its first event with a higher number. 0 means never.
	CutAfter int
	// RequestLimit is the number of requests per second that all answers name, as text, or empty.
	RequestLimit string
	// Load is what all answers say of the load, or empty.
	Load string
	// Leaving is what all answers say of whether the replica is leaving, or empty.
	Leaving string
	// CutAnswer ends an answer of a plain service in its middle.
	CutAnswer bool
	// Unframed answers have neither a length nor chunks, and end with their connection.
	Unframed bool
	// Silent neither runs nor answers the request.
	Silent bool
	// EndlessHead answers with a header that never ends, and EndlessEvent with a stream whose first event never ends,
	// until the connection is closed.
	EndlessHead  bool
	EndlessEvent bool
	// EndOnPart is the ID of a part of the prompt. When a decode engine begins to answer a request that has it, End is
	// called, which ends the replica's process.
	EndOnPart string
	// EndOnTarget is the path of a call that ends a plain service when it begins to run it, after half of its work.
	EndOnTarget string
	End         func()
}

// endsReplica reports whether the answer to a request ends the replica.
func (f ReplicaFaults) endsReplica(h http.Header) bool {
	return f.EndOnPart != "" && slices.ContainsFunc(strings.Split(h.Get(HeaderParts), ","), func(entry string) bool {
		return strings.HasPrefix(entry, f.EndOnPart+":")
	})
}

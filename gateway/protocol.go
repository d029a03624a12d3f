package gateway

import (
	"net/http"
	"time"

	"github.com/cassiabridge/cassiabridge/placement"
)

// Call is what a caller says of its request beside method, path and body.
type Call struct {
	// Attempt names the request. Answers to other requests bear other names.
	Attempt string
	Key     string
	// Timeout is how long the caller will wait. 0 means that it did not say.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, and MaxOutputTokens the most that may be generated. 0 means that
	// the caller did not say.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the caller's guess of the length of the answer, in tokens, or 0.
	OutputHint int
	// LastEvent is the ID of the last event of a stream that the caller has, or empty.
	LastEvent string
}

// Hop is what an upstream is told beside the caller's request.
type Hop struct {
	// Replica is the upstream that is meant. Any other one must not run the request.
	Replica string
	Account string
	// Remaining is the time that is left for the answer.
	Remaining time.Duration
	// Stage is StagePrefill for a request whose prompt only is read.
	Stage placement.Stage
	// Source is where the KV cache of the prompt is to be fetched, or empty.
	Source string
	// LastEvent is the ID of the event after which a stream goes on, or empty.
	LastEvent string
}

// Verdict is what an answer says beside its status and body.
type Verdict struct {
	Attempt string
	// NotRun says that the upstream has not run the request and never will.
	NotRun bool
	// Misdirected says that another upstream answers at the address.
	Misdirected bool
}

// Protocol is how callers and upstreams are spoken to. The adapter of a platform fills it.
type Protocol struct {
	// ReadCall reads the headers of a caller.
	ReadCall func(http.Header) Call
	// Forward copies the headers that an upstream gets from the caller.
	Forward func(http.Header) http.Header
	// Address adds what the system tells an upstream.
	Address func(http.Header, Hop)
	// ReadAnswer reads the headers of an upstream.
	ReadAnswer func(status int, h http.Header) Verdict
	// AnswerHeaders copies the headers that a caller gets from the upstream.
	AnswerHeaders func(http.Header) http.Header
	// ReadPrefill reads the answer of a prefill: the handle of its result, and the tokens that were read.
	ReadPrefill func(body []byte) (handle string, tokens int, err error)
	// FreeResult returns the request that frees a result that nobody will fetch.
	FreeResult func(handle string) (method, target string)
}

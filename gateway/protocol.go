package gateway

import (
	"net/http"
	"time"

	"github.com/cassiabridge/cassiabridge/placement"
)

// RequestInfo holds the information about a request that a caller sends in headers.
type RequestInfo struct {
	// Attempt is the ID of the attempt. Responses to other requests carry other IDs.
	Attempt string
	// Key is the caller's API key, or empty.
	Key string
	// Timeout is how long the caller will wait, or 0 if not stated.
	Timeout time.Duration
	// PromptTokens is the prompt length and MaxOutputTokens the maximum output length, in tokens, or 0 if not stated.
	PromptTokens    int
	MaxOutputTokens int
	// OutputHint is the caller's estimate of the output length in tokens, or 0 if not stated.
	OutputHint int
	// SharedParts holds the IDs of the parts of the prompt that other requests may have too.
	SharedParts []string
	// LastEventID is the ID of the last stream event that the caller has received, or empty.
	LastEventID string
	// Resumes is the ID of the attempt that began the stream, if the caller takes it up again, or empty.
	Resumes string
}

// Hop holds what a VM adds to a caller's request when it sends it to an upstream.
type Hop struct {
	// Replica is the ID of the intended upstream. Any other upstream must not run the request.
	Replica string
	// Account is the name of the caller's account, or empty.
	Account string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	// Stage is StagePrefill for a request that is only prefilled.
	Stage placement.Stage
	// Source is the address and handle from which a decode engine fetches the KV cache of the prompt, or empty.
	Source string
	// LastEventID is the ID of the event after which the stream resumes, or empty.
	LastEventID string
}

// ResponseInfo holds the information that an upstream sends in the status and headers of a response.
type ResponseInfo struct {
	// Attempt is the ID of the attempt that the response belongs to, or empty.
	Attempt string
	// NotRun is set if the upstream has not run the request and never will.
	NotRun bool
	// Misdirected is set if a different upstream now answers at the address.
	Misdirected bool
	// RequestLimit is the number of requests per second that the upstream takes from all VMs together, or 0 if it names
	// none. InvalidLimit is a value that could not be used, or empty.
	RequestLimit float64
	InvalidLimit string
	// Load is what the upstream says of its load, or nil. InvalidLoad is a value that could not be used, or empty.
	Load        *placement.ServiceLoad
	InvalidLoad string
	// ColdFor is how much longer the upstream is cold, or 0 if it does not say so.
	ColdFor time.Duration
	// Leaving is whether the upstream says that it is leaving. InvalidLeaving is a value that could not be used, or empty.
	Leaving        bool
	InvalidLeaving string
}

// Protocol translates between HTTP messages and the gateway's types. Each platform's adapter provides one.
type Protocol struct {
	// NamesAttempts is whether upstreams name the attempt in every response to a request that has one. A response without
	// it then belongs to no request.
	NamesAttempts bool
	// NumbersEvents is whether the IDs of a stream's events are numbers that increase.
	NumbersEvents bool
	// ReadRequestInfo parses the headers of a caller's request.
	ReadRequestInfo func(http.Header) RequestInfo
	// ForwardHeaders returns a copy of the caller's headers to send to an upstream.
	ForwardHeaders func(http.Header) http.Header
	// SetHopHeaders adds the headers that describe a hop to an upstream request.
	SetHopHeaders func(http.Header, Hop)
	// ReadResponseInfo parses the status and headers of an upstream's response.
	ReadResponseInfo func(status int, h http.Header) ResponseInfo
	// ResponseHeaders returns a copy of the upstream's response headers to send to the caller.
	ResponseHeaders func(http.Header) http.Header
	// ParsePrefillResponse parses the body of a prefill response. It returns the handle of the result and the number of
	// tokens that the engine prefilled.
	ParsePrefillResponse func(body []byte) (handle string, tokens int, err error)
	// ProcessRequest returns the method, target and headers of the request that asks the replica with an ID for its process, without a run.
	// It is nil if there is none.
	ProcessRequest func(replica string) (method, target string, h http.Header)
	// ParseProcess returns when the process that answers a ProcessRequest started, as in the entries of the list, or 0 if it does not say.
	ParseProcess func(body []byte) (born int64)
	// FreeResult returns the method and target of the request that frees a prefill result.
	FreeResult func(handle string) (method, target string)
}

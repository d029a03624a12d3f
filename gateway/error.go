package gateway

import (
	"fmt"
	"net/http"
	"time"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error. Those up to ErrOverload promise that the request has not run and never will.
const (
	ErrNoDeclarations ErrorKind = "NoDeclarations" // This VM has no declarations yet.
	ErrNoRoute        ErrorKind = "NoRoute"        // No route matches.
	ErrUnknownKey     ErrorKind = "UnknownKey"     // No account holds the key.
	ErrTooLarge       ErrorKind = "TooLarge"       // The body or the header is longer than allowed.
	ErrUnreadable     ErrorKind = "Unreadable"     // The request could not be read.
	ErrOverRate       ErrorKind = "OverRate"       // The account has used up its rate.
	ErrNoUpstream     ErrorKind = "NoUpstream"     // No upstream can take the request.
	ErrOverload       ErrorKind = "Overload"       // No upstream comes free in time.
	ErrCallerGone     ErrorKind = "CallerGone"     // The caller has left.
	ErrTimeout        ErrorKind = "Timeout"        // The time for the request is over. It may have run.
	ErrUpstream       ErrorKind = "UpstreamFailed" // The upstream failed. The request may have run.
)

var statusOfKind = map[ErrorKind]int{
	ErrNoDeclarations: http.StatusServiceUnavailable,
	ErrNoRoute:        http.StatusNotFound,
	ErrUnknownKey:     http.StatusUnauthorized,
	ErrTooLarge:       http.StatusRequestEntityTooLarge,
	ErrUnreadable:     http.StatusBadRequest,
	ErrOverRate:       http.StatusTooManyRequests,
	ErrNoUpstream:     http.StatusServiceUnavailable,
	ErrOverload:       http.StatusServiceUnavailable,
	ErrCallerGone:     http.StatusBadGateway,
	ErrTimeout:        http.StatusGatewayTimeout,
	ErrUpstream:       http.StatusBadGateway,
}

// Error reports a request that got no answer of an upstream.
type Error struct {
	Op   string
	Kind ErrorKind
	// Status overrides the status that goes with the kind, unless it is 0.
	Status int
	// RetryAfter is when the caller may return, or 0.
	RetryAfter time.Duration
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func (e *Error) status() int {
	if e.Status != 0 {
		return e.Status
	}
	return statusOfKind[e.Kind]
}

// promisesNotRun reports whether the answer says that the request has not run and never will.
func (e *Error) promisesNotRun() bool {
	status := e.status()
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

func refuse(op string, kind ErrorKind, format string, args ...any) *Error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, args...)}
}

func (e *Error) withRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

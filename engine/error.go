package engine

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnsent   ErrorKind = "Unsent"   // The engine saw nothing of the request.
	ErrEvicted  ErrorKind = "Evicted"  // The prefill result is gone.
	ErrRefused  ErrorKind = "Refused"  // The engine refused the request.
	ErrFenced   ErrorKind = "Fenced"   // The engine knows a newer fencing number.
	ErrBroken   ErrorKind = "Broken"   // The answer ended early or makes no sense.
	ErrCanceled ErrorKind = "Canceled" // The engine has canceled the attempt.
)

// Error reports a call to an engine that did not succeed.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

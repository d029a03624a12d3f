package engine

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnsent   ErrorKind = "Unsent"   // No part of the request reached the engine.
	ErrEvicted  ErrorKind = "Evicted"  // The engine no longer holds the prefill result.
	ErrRefused  ErrorKind = "Refused"  // The engine rejected the request.
	ErrFenced   ErrorKind = "Fenced"   // The engine has seen a newer fencing token.
	ErrBroken   ErrorKind = "Broken"   // The connection failed, or the response was truncated or invalid.
	ErrCanceled ErrorKind = "Canceled" // The engine has canceled the attempt.
)

// Error reports a failed request to an engine.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

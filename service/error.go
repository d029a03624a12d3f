package service

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnsent  ErrorKind = "Unsent"  // No part of the call reached the service.
	ErrInDoubt ErrorKind = "InDoubt" // The call may have run.
	ErrNone    ErrorKind = "None"    // No upstream of the pool is available.
)

// Error reports a call to a plain service that did not return a complete response.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

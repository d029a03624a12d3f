package control

import (
	"fmt"
	"time"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrOverRate    ErrorKind = "OverRate"    // The account has used up its rate.
	ErrTooLarge    ErrorKind = "TooLarge"    // The request needs more than the account's burst.
	ErrNotReady    ErrorKind = "NotReady"    // This VM does not hold a fresh agreed state.
	ErrUnavailable ErrorKind = "Unavailable" // The log cannot be reached; nothing was appended.
	ErrUnknown     ErrorKind = "Unknown"     // The record may or may not take effect.
	ErrRejected    ErrorKind = "Rejected"    // The record's precondition failed.
	ErrStopped     ErrorKind = "Stopped"     // The process is shutting down.
)

// Error reports a control operation that did not succeed.
type Error struct {
	Op   string
	Kind ErrorKind
	// RetryAfter says when to try again, if that is known.
	RetryAfter time.Duration
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

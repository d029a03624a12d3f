package control

import (
	"fmt"
	"time"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrOverRate    ErrorKind = "OverRate"    // The account has exceeded its rate, or does not exist.
	ErrTooLarge    ErrorKind = "TooLarge"    // The request needs more tokens than the burst of the account.
	ErrNotReady    ErrorKind = "NotReady"    // The replicated state of this VM is incomplete.
	ErrUnavailable ErrorKind = "Unavailable" // The record is certainly not in the log.
	ErrUnknown     ErrorKind = "Unknown"     // The record may or may not take effect.
	ErrRejected    ErrorKind = "Rejected"    // The precondition of the record failed.
	ErrStopped     ErrorKind = "Stopped"     // The request was canceled while it waited.
)

// Error reports a failed control operation.
type Error struct {
	Op   string
	Kind ErrorKind
	// RetryAfter is the time after which a retry may succeed, or 0 if that is unknown.
	RetryAfter time.Duration
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

package ledger

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnsent   ErrorKind = "Unsent"   // The request did not leave this process.
	ErrUnknown  ErrorKind = "Unknown"  // The request may or may not have taken effect.
	ErrRejected ErrorKind = "Rejected" // The platform answered that it did nothing.
)

// Error reports a call to the platform that did not succeed.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

package ledger

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnsent   ErrorKind = "Unsent"   // The request was not sent.
	ErrUnknown  ErrorKind = "Unknown"  // The request may or may not have taken effect.
	ErrRejected ErrorKind = "Rejected" // The platform rejected the request, which had no effect.
)

// Error is returned by a failed call to the platform.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

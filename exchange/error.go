package exchange

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnsent  ErrorKind = "Unsent"  // No byte of the request left this process.
	ErrInDoubt ErrorKind = "InDoubt" // The request may have reached the upstream, and may have run.
	ErrBroken  ErrorKind = "Broken"  // The answer ended before it was whole.
)

// Error reports an exchange with an upstream that gave no whole answer.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

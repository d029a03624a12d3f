package exchange

import "fmt"

// ErrorKind says how far a failed request got.
type ErrorKind string

// Kinds of errors.
const (
	ErrUnsent  ErrorKind = "Unsent"  // No byte of the request was written.
	ErrInDoubt ErrorKind = "InDoubt" // The request may have reached the upstream and may have been executed.
	ErrBroken  ErrorKind = "Broken"  // The response body was truncated or too long.
)

// Error reports a request to an upstream that got no complete response.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

package declaration

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnreadable ErrorKind = "Unreadable" // The file cannot be read.
	ErrMalformed  ErrorKind = "Malformed"  // The file is not JSON with comments, or has unknown fields.
	ErrInvalid    ErrorKind = "Invalid"    // The declarations are inconsistent or incomplete.
)

// Error reports a declarations file that cannot be used.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns a message with the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

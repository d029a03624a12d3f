package declaration

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnreadable ErrorKind = "Unreadable" // The file cannot be read.
	ErrMalformed  ErrorKind = "Malformed"  // It is not JSON with comments, or has fields that do not exist.
	ErrInvalid    ErrorKind = "Invalid"    // What it declares does not fit together.
)

// Error reports declarations that cannot be used.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

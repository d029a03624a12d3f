package resource

import "fmt"

// ErrorKind classifies why a resource was not accepted.
type ErrorKind string

// Kinds of Error.
const (
	ErrMalformed ErrorKind = "Malformed" // The document could not be decoded.
	ErrInvalid   ErrorKind = "Invalid"   // A field is outside its accepted range.
	ErrUnknown   ErrorKind = "Unknown"   // The resource kind does not exist.
)

// Error reports a resource that was not accepted.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

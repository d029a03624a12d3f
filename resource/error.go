package resource

import "fmt"

// ErrorKind is the class of failure that an Error reports.
type ErrorKind string

// Kinds of Error.
const (
	ErrMalformed ErrorKind = "Malformed" // The document could not be encoded or decoded.
	ErrInvalid   ErrorKind = "Invalid"   // The name or a field has an invalid value.
	ErrUnknown   ErrorKind = "Unknown"   // The resource kind does not exist.
)

// Error reports a resource that is invalid or could not be encoded or decoded.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

package catalog

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrMalformed ErrorKind = "Malformed" // A record or snapshot could not be decoded.
	ErrGap       ErrorKind = "Gap"       // An entry is missing before the one given.
)

// Error reports a log entry or snapshot that could not be used.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

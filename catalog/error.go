package catalog

import "fmt"

// ErrorKind is the class of failure that an Error reports.
type ErrorKind string

// Kinds of Error.
const (
	ErrMalformed ErrorKind = "Malformed" // A record or snapshot could not be encoded or decoded.
	ErrGap       ErrorKind = "Gap"       // Entries are missing between the state and the entry given.
)

// Error reports a log entry or snapshot that could not be encoded, decoded or applied.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

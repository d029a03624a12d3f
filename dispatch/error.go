package dispatch

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrQueueFull ErrorKind = "QueueFull" // Too many requests wait.
	ErrUnknown   ErrorKind = "Unknown"   // The request is not known.
)

// Error reports a request that could not be taken.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

package dispatch

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrQueueFull ErrorKind = "QueueFull" // The queue holds Lane.MaxQueued requests.
	ErrUnknown   ErrorKind = "Unknown"   // No request with this ID is in the required stage.
)

// Error describes an operation on a request that was rejected.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

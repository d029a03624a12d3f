package eventstream

import "fmt"

// ErrorKind says why an event must not follow the events before it.
type ErrorKind string

// Kinds of Error.
const (
	ErrRepeated     ErrorKind = "Repeated"     // It has the ID of the event before it.
	ErrBackward     ErrorKind = "Backward"     // Its ID is lower than that of the event before it.
	ErrGap          ErrorKind = "Gap"          // Events between it and the event before it are missing.
	ErrNoID         ErrorKind = "NoID"         // It is the first of another upstream and has no ID.
	ErrIncomparable ErrorKind = "Incomparable" // It is the first of another upstream, and the IDs are no numbers.
)

// Error reports an event that does not follow the one before it.
type Error struct {
	Op   string
	Kind ErrorKind
	// Last is the ID of the event before it, and Next its own.
	Last, Next string
}

// Error formats the error as "operation: kind: IDs".
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: event %q after event %q", e.Op, e.Kind, e.Next, e.Last)
}

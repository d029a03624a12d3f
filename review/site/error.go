package site

import "fmt"

// Error reports that a case could not run.
type Error struct {
	// Op is the operation that failed.
	Op  string
	Err error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

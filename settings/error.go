package settings

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrUnreadable ErrorKind = "Unreadable" // The file could not be read.
	ErrMalformed  ErrorKind = "Malformed"  // The file is not JSON with comments.
	ErrInvalid    ErrorKind = "Invalid"    // Fields are unknown or outside their range.
)

// Error reports settings that cannot be used, with every fault found.
type Error struct {
	Op     string
	Kind   ErrorKind
	Faults []Fault
	Err    error
}

// Fault is one wrong field.
type Fault struct {
	// Line and Column count from 1; 0 means that the field is not in the file.
	Line, Column int
	Field        string
	Reason       string
}

// String returns the fault with its position.
func (f Fault) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.Field, f.Reason)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Field, f.Reason)
}

// Error returns all faults, one a line.
func (e *Error) Error() string {
	if len(e.Faults) == 0 {
		return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := []string{fmt.Sprintf("%s: %s:", e.Op, e.Kind)}
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

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
	ErrInvalid    ErrorKind = "Invalid"    // Fields are unknown, missing or invalid.
)

// Error reports settings that cannot be used. If Kind is ErrInvalid, FieldErrors lists every invalid field, and Err is
// nil.
type Error struct {
	Op          string
	Kind        ErrorKind
	FieldErrors []FieldError
	Err         error
}

// FieldError reports an unknown or invalid field.
type FieldError struct {
	// Line and Column count from 1; both are 0 if the field is not in the file.
	Line, Column int
	Field        string
	Reason       string
}

// String returns the field and the reason, preceded by the position if there is one.
func (e FieldError) String() string {
	if e.Line == 0 {
		return fmt.Sprintf("%s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Field, e.Reason)
}

// Error returns a message with the cause, or with all field errors, one per line.
func (e *Error) Error() string {
	if len(e.FieldErrors) == 0 {
		return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := []string{fmt.Sprintf("%s: %s:", e.Op, e.Kind)}
	for _, fieldErr := range e.FieldErrors {
		lines = append(lines, "  "+fieldErr.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

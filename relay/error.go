package relay

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrRefused     ErrorKind = "Refused"     // The upstream refuses connections, so its process has ended.
	ErrUnreachable ErrorKind = "Unreachable" // The upstream does not answer.
	ErrPeer        ErrorKind = "Peer"        // The peer could not be asked, or does not know whether the upstream can be reached.
	ErrFailed      ErrorKind = "Failed"      // Listening failed.
)

// Error reports a connection that could not be opened.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error formats the error as "operation: kind: cause".
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause. The one of a refused connection is syscall.ECONNREFUSED, whoever was refused.
func (e *Error) Unwrap() error {
	if e.Kind == ErrRefused {
		return syscall.ECONNREFUSED
	}
	return e.Err
}

// kindOf returns the kind of an error, or an empty string for other ones than Error.
func kindOf(err error) ErrorKind {
	var own *Error
	if errors.As(err, &own) {
		return own.Kind
	}
	return ""
}

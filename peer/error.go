// Package peer implements the protocol between the VMs of the system: JSON-RPC 2.0 over TCP connections that are
// mutually authenticated with a shared secret, and unauthenticated beacons over UDP.
package peer

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrRefused         ErrorKind = "Refused"     // The connection was refused.
	ErrUnreachable     ErrorKind = "Unreachable" // The peer could not be reached or did not respond.
	ErrUnauthenticated ErrorKind = "Unproven"    // Authentication with the shared secret failed.
	ErrFailed          ErrorKind = "Failed"      // The peer returned an error, or a local operation failed.
)

// Error is returned by failed operations on peers.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

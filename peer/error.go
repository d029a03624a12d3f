// Package peer carries messages between the VMs of the system, over JSON-RPC 2.0 connections whose both
// ends have proved that they know the shared secret.
package peer

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of Error.
const (
	ErrRefused     ErrorKind = "Refused"     // Nothing listens at the peer's address.
	ErrUnreachable ErrorKind = "Unreachable" // The peer did not answer.
	ErrUnproven    ErrorKind = "Unproven"    // The peer did not prove that it knows the secret.
	ErrFailed      ErrorKind = "Failed"      // The peer answered with an error.
)

// Error reports a call to a peer that did not succeed.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

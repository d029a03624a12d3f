package liveness

import (
	"errors"
	"net/http"
	"syscall"
	"time"
)

// State is what is found of the process of a replica.
type State string

// States of the process that was known at a replica's ID and address.
const (
	// Lives means that it has said that it is the same one.
	Lives State = "Lives"
	// Unnamed means that the replica has answered and does not say since when it runs, or that this is not known from the list.
	Unnamed State = "Unnamed"
	// Restarted means that another process answers under the same ID.
	Restarted State = "Restarted"
	// Replaced means that another replica answers at the address.
	Replaced State = "Replaced"
	// Refuses means that no process listens at the address.
	Refuses State = "Refuses"
	// Silent means that no whole answer of a replica came in time, which tells nothing: a process that lives may be silent for a second.
	Silent State = "Silent"
)

// ConfirmsEnd reports whether an answer that ended before the check is whole. That of a process which does not name itself may be that of one
// that has started since under the same ID; there is no better evidence.
func (s State) ConfirmsEnd() bool { return s == Lives || s == Unnamed }

// Ended reports whether the process that was known has certainly ended.
func (s State) Ended() bool {
	return s == Restarted || s == Replaced || s == Refuses
}

// Answer is what one check has found at the address of a replica.
type Answer struct {
	// Status is that of the answer, or 0 if there was none.
	Status int
	// NotRun is whether the answer says so, as only a replica does, and Misdirected whether it is that of another replica.
	NotRun, Misdirected bool
	// Born is when the process that answered started, in Unix milliseconds by its own clock, or 0 if it does not say.
	Born int64
	// At is when the answer was complete.
	At  time.Time
	Err error
}

// Finding is what a check has found of the process of a replica.
type Finding struct {
	State State
	// Born is when the process that answered started, in Unix milliseconds by its own clock, or 0 if that is not known, and At when its
	// answer was complete.
	Born int64
	At   time.Time
}

// FindingOf returns what an answer tells of the process of a replica that the list said to be born at a time, in Unix milliseconds, or 0.
func (a Answer) FindingOf(born int64) Finding {
	return Finding{State: a.StateOf(born), Born: a.Born, At: a.At}
}

// StateOf returns the state of the process of a replica that the list said to be born at a time, in Unix milliseconds, or 0.
func (a Answer) StateOf(born int64) State {
	switch {
	case errors.Is(a.Err, syscall.ECONNREFUSED):
		return Refuses
	case a.Misdirected:
		return Replaced
	case a.Err != nil, a.Status >= http.StatusInternalServerError && !a.NotRun:
		return Silent
	case a.Born == 0 && !a.NotRun && (a.Status != http.StatusOK || born != 0):
		// This may be the answer of a proxy.
		return Silent
	case a.Born == 0 || born == 0:
		return Unnamed
	case a.Born != born:
		return Restarted
	}
	return Lives
}

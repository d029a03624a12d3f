package catalog

import (
	"encoding/json"
	"time"

	"github.com/cassiabridge/cassiabridge/resource"
)

// Entry is one record as the log returns it.
type Entry struct {
	// Offset counts from 1 and never repeats.
	Offset uint64
	// At is the time at which the log took the record, by the clock of the log.
	At   time.Time
	Data []byte
}

// Record is what a VM appends to the log. Exactly one of the pointer fields is set.
type Record struct {
	// ID names the append, so that a lost answer can be settled by reading.
	ID string
	// Actor is the operator or VM that caused the record.
	Actor string
	// VM wrote the record.
	VM string

	Write    *Write         `json:",omitempty"`
	Withdraw *Withdraw      `json:",omitempty"`
	Begin    *Begin         `json:",omitempty"`
	End      *End           `json:",omitempty"`
	Move     *SlotMove      `json:",omitempty"`
	Snapshot *SnapshotChunk `json:",omitempty"`
}

// Write creates, replaces or deletes a resource if its version is the expected one.
type Write struct {
	Document resource.Document
	// Expect is the version that must be in force. 0 means that the resource must not exist.
	Expect uint64
	Delete bool `json:",omitempty"`
}

// Withdraw ends a key for good. It has no precondition.
type Withdraw struct {
	Key string
}

// Holder is one run of the process of a VM.
type Holder struct {
	VM string
	// Incarnation differs for each start of the process.
	Incarnation string
}

// Begin claims an operation before it is forwarded. The first Begin in log order wins.
type Begin struct {
	Operation string
	// Attempt is 1, or one more than the attempt that was settled as not run.
	Attempt int
	Writer  Holder
	Route   string
	Account string
	// RequestHash is the hash of method, path and body.
	RequestHash string
}

// Outcome says how an operation attempt ended.
type Outcome string

// The outcomes of an operation attempt.
const (
	OutcomeDone   Outcome = "Done"
	OutcomeNotRun Outcome = "NotRun"
)

// End settles an operation attempt.
type End struct {
	Operation string
	Attempt   int
	Outcome   Outcome
	Answer    Answer
	// Settler is set when someone other than the writer of the Begin settles the attempt.
	Settler string `json:",omitempty"`
}

// Answer is what the service answered, kept for repeats of the call.
type Answer struct {
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
}

// SlotMove gives slots of every divisible account quantity from one holder to another.
type SlotMove struct {
	Slots []int
	// From must hold the slots. The zero Holder means slots that were never held.
	From Holder
	To   Holder
}

// SnapshotChunk is a part of an encoded State.
type SnapshotChunk struct {
	// Covers is the first offset that the snapshot does not contain.
	Covers uint64
	// Writer tells snapshots of the same offset apart.
	Writer string
	Index  int
	Count  int
	Data   []byte
}

// Encode returns the log form of a record.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{Op: "encode record", Kind: ErrMalformed, Err: err}
	}
	return data, nil
}

// DecodeRecord returns the record in a log entry.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, &Error{Op: "decode record", Kind: ErrMalformed, Err: err}
	}
	return record, nil
}

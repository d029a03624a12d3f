package catalog

import (
	"encoding/json"
	"time"

	"github.com/cassiabridge/cassiabridge/resource"
)

// Entry is an encoded record with the offset and time that the log assigned to it.
type Entry struct {
	// Offset starts at 1 and is unique in the log.
	Offset uint64
	// At is the time of the append by the clock of the log.
	At   time.Time
	Data []byte
}

// Record is the content of a log entry. Exactly one of the pointer fields is set.
type Record struct {
	// ID identifies the append, so that a writer that lost the answer can find the record by reading
	// the log.
	ID string
	// Actor is the operator or VM that caused the record.
	Actor string
	// VM is the VM that appended the record.
	VM string

	Write    *Write         `json:",omitempty"`
	Withdraw *Withdraw      `json:",omitempty"`
	Begin    *Begin         `json:",omitempty"`
	End      *End           `json:",omitempty"`
	Move     *SlotMove      `json:",omitempty"`
	Snapshot *SnapshotChunk `json:",omitempty"`
}

// Write creates, replaces or deletes a resource, provided that its current version is Expect.
type Write struct {
	Document resource.Document
	// Expect is the required current version. 0 means that the resource must not exist.
	Expect uint64
	Delete bool `json:",omitempty"`
}

// Withdraw revokes a key permanently, whatever the version of the key.
type Withdraw struct {
	Key string
}

// Instance identifies one run of the process on a VM.
type Instance struct {
	VM string
	// Incarnation is unique to each start of the process.
	Incarnation string
}

// Begin claims an attempt at an operation before it is forwarded. If several records claim the same
// attempt, the first in log order is accepted.
type Begin struct {
	Operation string
	// Attempt is 1 for a new operation, or one more than the last attempt if that was settled as not
	// run.
	Attempt int
	Writer  Instance
	Route   string
	Account string
	// RequestHash is the hash of the method, path and body of the request.
	RequestHash string
}

// Outcome is the result with which an attempt is settled.
type Outcome string

// Outcomes of an attempt.
const (
	OutcomeDone   Outcome = "Done"
	OutcomeNotRun Outcome = "NotRun"
)

// End settles an attempt at an operation.
type End struct {
	Operation string
	Attempt   int
	Outcome   Outcome
	Answer    Answer
	// Settler names who settled the attempt. It is empty if that was the writer of the Begin record.
	Settler string `json:",omitempty"`
}

// Answer is the response of the service, replayed to repeated calls.
type Answer struct {
	Status      int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Unframed is whether only the end of the connection ended the body, so that it may be truncated.
	Unframed bool `json:",omitempty"`
}

// SlotMove transfers slots from one holder to another. A slot is a fixed fraction of the rate and
// burst of every client account.
type SlotMove struct {
	Slots []int
	// From is the required current holder of all slots. The zero Instance means that the slots were
	// never assigned.
	From Instance
	To   Instance
}

// SnapshotChunk is one of Count parts of an encoded State.
type SnapshotChunk struct {
	// Covers is the offset of the first entry after the snapshot.
	Covers uint64
	// Writer distinguishes snapshots of the same offset that different processes wrote.
	Writer string
	Index  int
	Count  int
	Data   []byte
}

// Encode returns the JSON encoding of the record. Errors are of type *Error.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{Op: "encode record", Kind: ErrMalformed, Err: err}
	}
	return data, nil
}

// DecodeRecord decodes the data of a log entry. Errors are of type *Error and kind ErrMalformed.
func DecodeRecord(data []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		return Record{}, &Error{Op: "decode record", Kind: ErrMalformed, Err: err}
	}
	return record, nil
}

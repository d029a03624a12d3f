// Package catalog replays the platform's log into the replicated state: resources, operations and
// slots.
//
// Every VM applies the same entries in the same order and so reaches the same State. A record whose
// precondition does not hold at its offset is rejected by every VM. States are immutable: Apply
// returns a new one. The package does no I/O.
package catalog

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	// SlotCount is the number of slots, the equal parts into which the rate and burst of every
	// client account are divided.
	SlotCount = 64
	// maxVerdicts is the number of verdicts kept. The oldest are evicted first.
	maxVerdicts = 4096
)

// Verdict is the result of applying a record: accepted or rejected.
type Verdict struct {
	Offset   uint64
	Accepted bool
	// Reason is the cause of a rejection.
	Reason string `json:",omitempty"`
}

// Change is an entry of the audit log: an accepted or rejected change of a resource.
type Change struct {
	Offset   uint64
	At       time.Time
	Actor    string
	VM       string
	Ref      resource.Ref
	Action   string
	Accepted bool
	Reason   string             `json:",omitempty"`
	Old      *resource.Document `json:",omitempty"`
	New      *resource.Document `json:",omitempty"`
}

// State is the replicated state after all entries below offset Next.
type State struct {
	// Next is the offset of the next entry to apply.
	Next uint64
	// ConfigVersion is the offset of the last entry that changed a resource.
	ConfigVersion uint64
	// SnapshotCovers is the Covers offset of the newest complete snapshot in the log.
	SnapshotCovers uint64

	documents           *immutable.SortedMap[string, resource.Document]
	operations          *immutable.Map[string, Operation]
	expiryQueue         *immutable.List[opRef]
	verdicts            *immutable.Map[string, Verdict]
	verdictOrder        *immutable.List[string]
	unknownRecords      *immutable.List[json.RawMessage]
	slotHolders         []Instance
	incompleteSnapshots chunkIndexes
}

// opRef is an entry of the expiry queue: an operation and the time at which it was queued.
type opRef struct {
	Operation string
	At        time.Time
}

// NewState returns the empty state, before the first entry.
func NewState() State {
	return State{
		Next:           1,
		documents:      immutable.NewSortedMap[string, resource.Document](nil),
		operations:     immutable.NewMap[string, Operation](nil),
		expiryQueue:    immutable.NewList[opRef](),
		verdicts:       immutable.NewMap[string, Verdict](nil),
		verdictOrder:   immutable.NewList[string](),
		unknownRecords: immutable.NewList[json.RawMessage](),
		slotHolders:    make([]Instance, SlotCount),
	}
}

// Document returns the resource that ref identifies, and whether it exists.
func (s State) Document(ref resource.Ref) (resource.Document, bool) {
	return s.documents.Get(ref.String())
}

// Documents returns the resources of a kind in name order. If kind is empty, it returns all resources
// in order of kind and name.
func (s State) Documents(kind resource.Kind) []resource.Document {
	var docs []resource.Document
	for itr := s.documents.Iterator(); !itr.Done(); {
		_, doc, _ := itr.Next()
		if kind == "" || doc.Kind == kind {
			docs = append(docs, doc)
		}
	}
	return docs
}

// Operation returns the operation with the given ID, and whether it exists.
func (s State) Operation(id string) (Operation, bool) { return s.operations.Get(id) }

// Operations returns the operations in a phase, in no particular order.
func (s State) Operations(phase Phase) []Operation {
	var found []Operation
	for itr := s.operations.Iterator(); !itr.Done(); {
		_, op, _ := itr.Next()
		if op.Phase == phase {
			found = append(found, op)
		}
	}
	return found
}

// Verdict returns the verdict on the record with the given ID, and whether it is among the most
// recent maxVerdicts that are kept.
func (s State) Verdict(id string) (Verdict, bool) { return s.verdicts.Get(id) }

// Slots returns the holder of each slot, indexed by slot number.
func (s State) Slots() []Instance { return slices.Clone(s.slotHolders) }

// Apply returns the state after an entry, and the audit log entry if the record concerned a resource.
// An entry that was applied already changes nothing. Records that cannot be decoded or are of an
// unknown kind are kept, in base64 if they are not JSON, so that snapshots do not lose them.
func (s State) Apply(entry Entry) (State, *Change, error) {
	if entry.Offset < s.Next {
		return s, nil, nil
	}
	s.Next = entry.Offset + 1
	record, err := DecodeRecord(entry.Data)
	if err != nil {
		return s.withUnknownRecord(entry.Data), nil, nil
	}
	s = s.expireOperations(entry.At)
	var change *Change
	verdict := Verdict{Offset: entry.Offset, Accepted: true}
	switch {
	case record.Write != nil:
		s, verdict, change = s.applyWrite(entry, record)
	case record.Withdraw != nil:
		s, verdict, change = s.applyWithdraw(entry, record)
	case record.Begin != nil:
		s, verdict = s.applyBegin(entry, record)
	case record.End != nil:
		s, verdict = s.applyEnd(entry, record)
	case record.Move != nil:
		s, verdict = s.applyMove(entry, record)
	case record.Snapshot != nil:
		s = s.withSnapshotChunk(*record.Snapshot)
	default:
		s = s.withUnknownRecord(entry.Data)
	}
	return s.withVerdict(record.ID, verdict), change, nil
}

func (s State) withUnknownRecord(data []byte) State {
	if !json.Valid(data) {
		data, _ = json.Marshal(data)
	}
	s.unknownRecords = s.unknownRecords.Append(slices.Clone(json.RawMessage(data)))
	return s
}

func (s State) withVerdict(id string, verdict Verdict) State {
	if id == "" {
		return s
	}
	if _, seen := s.verdicts.Get(id); seen {
		return s
	}
	s.verdicts = s.verdicts.Set(id, verdict)
	s.verdictOrder = s.verdictOrder.Append(id)
	if s.verdictOrder.Len() > maxVerdicts {
		s.verdicts = s.verdicts.Delete(s.verdictOrder.Get(0))
		s.verdictOrder = s.verdictOrder.Slice(1, s.verdictOrder.Len())
	}
	return s
}

func rejected(offset uint64, reason string) Verdict {
	return Verdict{Offset: offset, Reason: reason}
}

func (s State) applyWrite(entry Entry, record Record) (State, Verdict, *Change) {
	doc := record.Write.Document.WithVersion(entry.Offset)
	old, exists := s.Document(doc.Ref())
	change := newChange(entry, record, doc.Ref(), "Put")
	if exists {
		change.Old = &old
	}
	if record.Write.Delete {
		change.Action = "Delete"
	} else {
		change.New = &doc
	}
	if reason := writeRejectionReason(*record.Write, old, exists); reason != "" {
		change.Accepted, change.Reason = false, reason
		return s, rejected(entry.Offset, reason), change
	}
	if record.Write.Delete {
		s.documents = s.documents.Delete(doc.Ref().String())
	} else {
		s.documents = s.documents.Set(doc.Ref().String(), doc)
	}
	s.ConfigVersion = entry.Offset
	return s, Verdict{Offset: entry.Offset, Accepted: true}, change
}

// writeRejectionReason returns why a write must be rejected, or "" if it is accepted.
func writeRejectionReason(write Write, old resource.Document, exists bool) string {
	switch {
	case exists && write.Expect != old.Version, !exists && write.Expect != 0:
		return "the resource has another version"
	case write.Delete && !exists:
		return "the resource does not exist"
	case write.Delete:
		return ""
	}
	if err := resource.Check(write.Document); err != nil {
		return err.Error()
	}
	if write.Document.Kind == resource.KindKey && exists && isWithdrawn(old) {
		return "the key is withdrawn"
	}
	return ""
}

func isWithdrawn(doc resource.Document) bool {
	spec, err := resource.Decode(doc)
	key, ok := spec.(resource.Key)
	return err == nil && ok && key.Withdrawn
}

func (s State) applyWithdraw(entry Entry, record Record) (State, Verdict, *Change) {
	ref := resource.Ref{Kind: resource.KindKey, Name: record.Withdraw.Key}
	change := newChange(entry, record, ref, "Withdraw")
	old, exists := s.Document(ref)
	if !exists {
		change.Accepted, change.Reason = false, "the key does not exist"
		return s, rejected(entry.Offset, change.Reason), change
	}
	change.Old = &old
	spec, err := resource.Decode(old)
	key, ok := spec.(resource.Key)
	if err != nil || !ok {
		change.Accepted, change.Reason = false, "the key cannot be decoded"
		return s, rejected(entry.Offset, change.Reason), change
	}
	if key.Withdrawn {
		return s, Verdict{Offset: entry.Offset, Accepted: true}, nil
	}
	doc, err := resource.Encode(ref.Kind, ref.Name, key.AsWithdrawn())
	if err != nil {
		change.Accepted, change.Reason = false, err.Error()
		return s, rejected(entry.Offset, change.Reason), change
	}
	doc = doc.WithVersion(entry.Offset)
	change.New = &doc
	s.documents = s.documents.Set(ref.String(), doc)
	s.ConfigVersion = entry.Offset
	return s, Verdict{Offset: entry.Offset, Accepted: true}, change
}

func newChange(entry Entry, record Record, ref resource.Ref, action string) *Change {
	return &Change{Offset: entry.Offset, At: entry.At, Actor: record.Actor, VM: record.VM, Ref: ref, Action: action, Accepted: true}
}

func (s State) applyBegin(entry Entry, record Record) (State, Verdict) {
	current, exists := s.operations.Get(record.Begin.Operation)
	next, accepted := beginOperation(current, exists, record, entry.At)
	if !accepted {
		return s, rejected(entry.Offset, "the operation was begun before")
	}
	s.operations = s.operations.Set(record.Begin.Operation, next)
	s.expiryQueue = s.expiryQueue.Append(opRef{Operation: record.Begin.Operation, At: entry.At})
	return s, Verdict{Offset: entry.Offset, Accepted: true}
}

func (s State) applyEnd(entry Entry, record Record) (State, Verdict) {
	current, exists := s.operations.Get(record.End.Operation)
	if !exists {
		return s, rejected(entry.Offset, "the operation does not exist")
	}
	next, settled := endOperation(current, record, entry.At)
	if !settled {
		return s, rejected(entry.Offset, "the attempt is settled, superseded or may still be forwarded")
	}
	s.operations = s.operations.Set(record.End.Operation, next)
	return s, Verdict{Offset: entry.Offset, Accepted: true}
}

// expireOperations deletes settled operations that began more than OperationRetention before now, a
// time by the clock of the log. An operation in doubt is queued again with BegunAt set to now, because
// deleting it would let it run a second time.
func (s State) expireOperations(now time.Time) State {
	for s.expiryQueue.Len() > 0 {
		oldest := s.expiryQueue.Get(0)
		if now.Sub(oldest.At) <= OperationRetention {
			return s
		}
		s.expiryQueue = s.expiryQueue.Slice(1, s.expiryQueue.Len())
		op, exists := s.operations.Get(oldest.Operation)
		superseded := exists && !op.BegunAt.Equal(oldest.At)
		switch {
		case !exists || superseded:
		case op.Phase == PhaseBegun:
			s.expiryQueue = s.expiryQueue.Append(opRef{Operation: oldest.Operation, At: now})
			op.BegunAt = now
			s.operations = s.operations.Set(oldest.Operation, op)
			return s
		default:
			s.operations = s.operations.Delete(oldest.Operation)
		}
	}
	return s
}

func (s State) applyMove(entry Entry, record Record) (State, Verdict) {
	for _, slot := range record.Move.Slots {
		if slot < 0 || slot >= SlotCount || s.slotHolders[slot] != record.Move.From {
			return s, rejected(entry.Offset, "a slot has another holder")
		}
	}
	s.slotHolders = slices.Clone(s.slotHolders)
	for _, slot := range record.Move.Slots {
		s.slotHolders[slot] = record.Move.To
	}
	return s, Verdict{Offset: entry.Offset, Accepted: true}
}

// Package catalog folds the platform's log into the agreed state: resources, operations and slots.
//
// Every VM folds the same entries in the same order and reaches the same State. A record whose
// precondition fails at its offset changes nothing, for every reader alike. States are immutable;
// Apply returns the next one. The package does no input or output.
package catalog

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	// SlotCount is into how many equal parts every account's rate and burst are divided.
	SlotCount = 64
	// maxVerdicts bounds how many outcomes of recent records are kept.
	maxVerdicts = 4096
)

// Verdict says whether a record took effect.
type Verdict struct {
	Offset   uint64
	Accepted bool
	// Reason says why a record was rejected.
	Reason string `json:",omitempty"`
}

// Change is one entry of the audit trail.
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

// State is the agreed state after all entries below Next.
type State struct {
	// Next is the offset of the first entry that is not contained.
	Next uint64
	// ConfigVersion is the offset of the last accepted change of a resource.
	ConfigVersion uint64
	// SnapshotCovers is the Covers of the last snapshot that was seen whole in the log.
	SnapshotCovers uint64

	docs       *immutable.SortedMap[string, resource.Document]
	operations *immutable.Map[string, Operation]
	opOrder    *immutable.List[opRef]
	verdicts   *immutable.Map[string, Verdict]
	verdictIDs *immutable.List[string]
	unknown    *immutable.List[json.RawMessage]
	slots      []Holder
	chunks     chunkSet
}

type opRef struct {
	Operation string
	At        time.Time
}

// NewState returns the state before the first entry.
func NewState() State {
	return State{
		Next:       1,
		docs:       immutable.NewSortedMap[string, resource.Document](nil),
		operations: immutable.NewMap[string, Operation](nil),
		opOrder:    immutable.NewList[opRef](),
		verdicts:   immutable.NewMap[string, Verdict](nil),
		verdictIDs: immutable.NewList[string](),
		unknown:    immutable.NewList[json.RawMessage](),
		slots:      make([]Holder, SlotCount),
	}
}

// Document returns the resource with a reference.
func (s State) Document(ref resource.Ref) (resource.Document, bool) { return s.docs.Get(ref.String()) }

// Documents returns all resources of a kind in name order, or of all kinds when kind is empty.
func (s State) Documents(kind resource.Kind) []resource.Document {
	var docs []resource.Document
	for itr := s.docs.Iterator(); !itr.Done(); {
		_, doc, _ := itr.Next()
		if kind == "" || doc.Kind == kind {
			docs = append(docs, doc)
		}
	}
	return docs
}

// Operation returns the operation with an ID.
func (s State) Operation(id string) (Operation, bool) { return s.operations.Get(id) }

// Operations returns all operations in a phase.
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

// Verdict returns the outcome of the record with an ID, if the record was read recently.
func (s State) Verdict(id string) (Verdict, bool) { return s.verdicts.Get(id) }

// Slots returns the holder of each slot.
func (s State) Slots() []Holder { return slices.Clone(s.slots) }

// Apply returns the state after an entry, and the audit entry if it concerned a resource. An entry
// that is already contained changes nothing.
func (s State) Apply(entry Entry) (State, *Change, error) {
	if entry.Offset < s.Next {
		return s, nil, nil
	}
	s.Next = entry.Offset + 1
	record, err := DecodeRecord(entry.Data)
	if err != nil {
		return s.withUnknown(entry.Data), nil, nil
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
		s = s.withChunk(*record.Snapshot)
	default:
		s = s.withUnknown(entry.Data)
	}
	return s.withVerdict(record.ID, verdict), change, nil
}

func (s State) withUnknown(data []byte) State {
	if !json.Valid(data) {
		data, _ = json.Marshal(data)
	}
	s.unknown = s.unknown.Append(slices.Clone(json.RawMessage(data)))
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
	s.verdictIDs = s.verdictIDs.Append(id)
	if s.verdictIDs.Len() > maxVerdicts {
		s.verdicts = s.verdicts.Delete(s.verdictIDs.Get(0))
		s.verdictIDs = s.verdictIDs.Slice(1, s.verdictIDs.Len())
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
	if reason := refuseWrite(*record.Write, old, exists); reason != "" {
		change.Accepted, change.Reason = false, reason
		return s, rejected(entry.Offset, reason), change
	}
	if record.Write.Delete {
		s.docs = s.docs.Delete(doc.Ref().String())
	} else {
		s.docs = s.docs.Set(doc.Ref().String(), doc)
	}
	s.ConfigVersion = entry.Offset
	return s, Verdict{Offset: entry.Offset, Accepted: true}, change
}

// refuseWrite returns why a write must not take effect, or "".
func refuseWrite(write Write, old resource.Document, exists bool) string {
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
	doc, err := resource.Encode(ref.Kind, ref.Name, key.WithWithdrawn())
	if err != nil {
		change.Accepted, change.Reason = false, err.Error()
		return s, rejected(entry.Offset, change.Reason), change
	}
	doc = doc.WithVersion(entry.Offset)
	change.New = &doc
	s.docs = s.docs.Set(ref.String(), doc)
	s.ConfigVersion = entry.Offset
	return s, Verdict{Offset: entry.Offset, Accepted: true}, change
}

func newChange(entry Entry, record Record, ref resource.Ref, action string) *Change {
	return &Change{Offset: entry.Offset, At: entry.At, Actor: record.Actor, VM: record.VM, Ref: ref, Action: action, Accepted: true}
}

func (s State) applyBegin(entry Entry, record Record) (State, Verdict) {
	current, exists := s.operations.Get(record.Begin.Operation)
	next, won := begin(current, exists, record, entry.At)
	if !won {
		return s, rejected(entry.Offset, "the operation was begun before")
	}
	s.operations = s.operations.Set(record.Begin.Operation, next)
	s.opOrder = s.opOrder.Append(opRef{Operation: record.Begin.Operation, At: entry.At})
	return s, Verdict{Offset: entry.Offset, Accepted: true}
}

func (s State) applyEnd(entry Entry, record Record) (State, Verdict) {
	current, exists := s.operations.Get(record.End.Operation)
	if !exists {
		return s, rejected(entry.Offset, "the operation does not exist")
	}
	next, settled := end(current, record, entry.At)
	if !settled {
		return s, rejected(entry.Offset, "the attempt is settled, superseded or may still be forwarded")
	}
	s.operations = s.operations.Set(record.End.Operation, next)
	return s, Verdict{Offset: entry.Offset, Accepted: true}
}

// expireOperations forgets operations older than OperationRetention by the clock of the log. One
// that is still in doubt is kept, since forgetting it would let it run again.
func (s State) expireOperations(now time.Time) State {
	for s.opOrder.Len() > 0 {
		oldest := s.opOrder.Get(0)
		if now.Sub(oldest.At) <= OperationRetention {
			return s
		}
		s.opOrder = s.opOrder.Slice(1, s.opOrder.Len())
		op, exists := s.operations.Get(oldest.Operation)
		superseded := exists && !op.BegunAt.Equal(oldest.At)
		switch {
		case !exists || superseded:
		case op.Phase == PhaseBegun:
			s.opOrder = s.opOrder.Append(opRef{Operation: oldest.Operation, At: now})
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
		if slot < 0 || slot >= SlotCount || s.slots[slot] != record.Move.From {
			return s, rejected(entry.Offset, "a slot has another holder")
		}
	}
	s.slots = slices.Clone(s.slots)
	for _, slot := range record.Move.Slots {
		s.slots[slot] = record.Move.To
	}
	return s, Verdict{Offset: entry.Offset, Accepted: true}
}

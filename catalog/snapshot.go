package catalog

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cassiabridge/cassiabridge/resource"
)

// chunkBytes is the size of one snapshot chunk before its encoding in a record.
const chunkBytes = 192 << 10

// maxSnapshotBytes bounds a decompressed snapshot.
const maxSnapshotBytes = 512 << 20

// chunkSet holds the chunk indexes seen of snapshots that are not whole yet.
type chunkSet map[chunkKey][]int

type chunkKey struct {
	covers uint64
	writer string
}

type snapshotBody struct {
	Next           uint64
	ConfigVersion  uint64
	SnapshotCovers uint64
	Documents      []resource.Document
	Operations     []Operation
	OperationOrder []opRef
	Verdicts       []verdictEntry
	Unknown        []json.RawMessage
	Slots          []Holder
}

type verdictEntry struct {
	ID string
	Verdict
}

// withChunk notes a snapshot chunk, so that every VM knows which snapshots the log holds.
func (s State) withChunk(chunk SnapshotChunk) State {
	key := chunkKey{covers: chunk.Covers, writer: chunk.Writer}
	s.chunks = maps.Clone(s.chunks)
	if s.chunks == nil {
		s.chunks = chunkSet{}
	}
	if !slices.Contains(s.chunks[key], chunk.Index) {
		s.chunks[key] = append(slices.Clone(s.chunks[key]), chunk.Index)
	}
	if len(s.chunks[key]) < chunk.Count {
		return s
	}
	delete(s.chunks, key)
	maps.DeleteFunc(s.chunks, func(k chunkKey, _ []int) bool { return k.covers < chunk.Covers })
	s.SnapshotCovers = max(s.SnapshotCovers, chunk.Covers)
	return s
}

// EncodeState returns the compressed form of a state.
func EncodeState(s State) ([]byte, error) {
	body := snapshotBody{Next: s.Next, ConfigVersion: s.ConfigVersion, SnapshotCovers: s.SnapshotCovers,
		Documents: s.Documents(""), Slots: s.slots}
	for itr := s.opOrder.Iterator(); !itr.Done(); {
		_, ref := itr.Next()
		body.OperationOrder = append(body.OperationOrder, ref)
		if op, ok := s.operations.Get(ref.Operation); ok {
			body.Operations = append(body.Operations, op)
		}
	}
	for itr := s.verdictIDs.Iterator(); !itr.Done(); {
		_, id := itr.Next()
		verdict, _ := s.verdicts.Get(id)
		body.Verdicts = append(body.Verdicts, verdictEntry{ID: id, Verdict: verdict})
	}
	for itr := s.unknown.Iterator(); !itr.Done(); {
		_, raw := itr.Next()
		body.Unknown = append(body.Unknown, raw)
	}
	var out bytes.Buffer
	zipped := gzip.NewWriter(&out)
	if err := json.NewEncoder(zipped).Encode(body); err != nil {
		return nil, &Error{Op: "encode state", Kind: ErrMalformed, Err: err}
	}
	if err := zipped.Close(); err != nil {
		return nil, &Error{Op: "encode state", Kind: ErrMalformed, Err: err}
	}
	return out.Bytes(), nil
}

// DecodeState returns the state from its compressed form.
func DecodeState(data []byte) (State, error) {
	zipped, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, &Error{Op: "decode state", Kind: ErrMalformed, Err: err}
	}
	var body snapshotBody
	if err := json.NewDecoder(io.LimitReader(zipped, maxSnapshotBytes)).Decode(&body); err != nil {
		return State{}, &Error{Op: "decode state", Kind: ErrMalformed, Err: err}
	}
	if len(body.Slots) != SlotCount || body.Next == 0 {
		return State{}, &Error{Op: "decode state", Kind: ErrMalformed, Err: fmt.Errorf("%d slots, next offset %d", len(body.Slots), body.Next)}
	}
	s := NewState()
	s.Next, s.ConfigVersion, s.SnapshotCovers, s.slots = body.Next, body.ConfigVersion, body.SnapshotCovers, body.Slots
	for _, doc := range body.Documents {
		s.docs = s.docs.Set(doc.Ref().String(), doc)
	}
	for _, op := range body.Operations {
		s.operations = s.operations.Set(op.Operation, op)
	}
	for _, ref := range body.OperationOrder {
		s.opOrder = s.opOrder.Append(ref)
	}
	for _, v := range body.Verdicts {
		s.verdicts = s.verdicts.Set(v.ID, v.Verdict)
		s.verdictIDs = s.verdictIDs.Append(v.ID)
	}
	for _, raw := range body.Unknown {
		s.unknown = s.unknown.Append(raw)
	}
	return s, nil
}

// SnapshotRecords returns the records that store a state in the log.
func SnapshotRecords(s State, writer Holder) ([]Record, error) {
	data, err := EncodeState(s)
	if err != nil {
		return nil, err
	}
	parts := slices.Collect(slices.Chunk(data, chunkBytes))
	id := fmt.Sprintf("%s/%s", writer.VM, writer.Incarnation)
	var records []Record
	for i, part := range parts {
		records = append(records, Record{
			ID: fmt.Sprintf("snapshot/%d/%s/%d", s.Next, id, i), Actor: writer.VM, VM: writer.VM,
			Snapshot: &SnapshotChunk{Covers: s.Next, Writer: id, Index: i, Count: len(parts), Data: part},
		})
	}
	return records, nil
}

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

// chunkBytes is the size of the data of a snapshot chunk before it is encoded in a record.
const chunkBytes = 192 << 10

// maxSnapshotBytes is the maximum size of a decompressed snapshot.
const maxSnapshotBytes = 512 << 20

// chunkIndexes holds the indexes of the chunks read so far of each incomplete snapshot.
type chunkIndexes map[snapshotKey][]int

// snapshotKey identifies a snapshot by the fields Covers and Writer of its chunks.
type snapshotKey struct {
	covers uint64
	writer string
}

// snapshotBody is the JSON form of a State.
type snapshotBody struct {
	Next           uint64
	ConfigVersion  uint64
	SnapshotCovers uint64
	Documents      []resource.Document
	Operations     []Operation
	OperationOrder []opRef
	Verdicts       []verdictEntry
	Unknown        []json.RawMessage
	Slots          []Instance
}

type verdictEntry struct {
	ID string
	Verdict
}

// withSnapshotChunk returns the state after a snapshot chunk. It tracks the chunks so that every VM
// knows the newest complete snapshot in the log.
func (s State) withSnapshotChunk(chunk SnapshotChunk) State {
	key := snapshotKey{covers: chunk.Covers, writer: chunk.Writer}
	s.incompleteSnapshots = maps.Clone(s.incompleteSnapshots)
	if s.incompleteSnapshots == nil {
		s.incompleteSnapshots = chunkIndexes{}
	}
	if !slices.Contains(s.incompleteSnapshots[key], chunk.Index) {
		s.incompleteSnapshots[key] = append(slices.Clone(s.incompleteSnapshots[key]), chunk.Index)
	}
	if len(s.incompleteSnapshots[key]) < chunk.Count {
		return s
	}
	delete(s.incompleteSnapshots, key)
	maps.DeleteFunc(s.incompleteSnapshots, func(k snapshotKey, _ []int) bool { return k.covers < chunk.Covers })
	s.SnapshotCovers = max(s.SnapshotCovers, chunk.Covers)
	return s
}

// EncodeState returns a state as gzip-compressed JSON. Errors are of type *Error.
func EncodeState(s State) ([]byte, error) {
	body := snapshotBody{Next: s.Next, ConfigVersion: s.ConfigVersion, SnapshotCovers: s.SnapshotCovers,
		Documents: s.Documents(""), Slots: s.slotHolders}
	for itr := s.expiryQueue.Iterator(); !itr.Done(); {
		_, ref := itr.Next()
		body.OperationOrder = append(body.OperationOrder, ref)
		if op, ok := s.operations.Get(ref.Operation); ok {
			body.Operations = append(body.Operations, op)
		}
	}
	for itr := s.verdictOrder.Iterator(); !itr.Done(); {
		_, id := itr.Next()
		verdict, _ := s.verdicts.Get(id)
		body.Verdicts = append(body.Verdicts, verdictEntry{ID: id, Verdict: verdict})
	}
	for itr := s.unknownRecords.Iterator(); !itr.Done(); {
		_, raw := itr.Next()
		body.Unknown = append(body.Unknown, raw)
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if err := json.NewEncoder(compressor).Encode(body); err != nil {
		return nil, &Error{Op: "encode state", Kind: ErrMalformed, Err: err}
	}
	if err := compressor.Close(); err != nil {
		return nil, &Error{Op: "encode state", Kind: ErrMalformed, Err: err}
	}
	return out.Bytes(), nil
}

// DecodeState decodes the output of EncodeState. Errors are of type *Error and kind ErrMalformed.
func DecodeState(data []byte) (State, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return State{}, &Error{Op: "decode state", Kind: ErrMalformed, Err: err}
	}
	var body snapshotBody
	if err := json.NewDecoder(io.LimitReader(decompressor, maxSnapshotBytes)).Decode(&body); err != nil {
		return State{}, &Error{Op: "decode state", Kind: ErrMalformed, Err: err}
	}
	if len(body.Slots) != SlotCount || body.Next == 0 {
		return State{}, &Error{Op: "decode state", Kind: ErrMalformed, Err: fmt.Errorf("%d slots, next offset %d", len(body.Slots), body.Next)}
	}
	s := NewState()
	s.Next, s.ConfigVersion, s.SnapshotCovers, s.slotHolders = body.Next, body.ConfigVersion, body.SnapshotCovers, body.Slots
	for _, doc := range body.Documents {
		s.documents = s.documents.Set(doc.Ref().String(), doc)
	}
	for _, op := range body.Operations {
		s.operations = s.operations.Set(op.Operation, op)
	}
	for _, ref := range body.OperationOrder {
		s.expiryQueue = s.expiryQueue.Append(ref)
	}
	for _, v := range body.Verdicts {
		s.verdicts = s.verdicts.Set(v.ID, v.Verdict)
		s.verdictOrder = s.verdictOrder.Append(v.ID)
	}
	for _, raw := range body.Unknown {
		s.unknownRecords = s.unknownRecords.Append(raw)
	}
	return s, nil
}

// SnapshotRecords encodes a state and splits it into snapshot chunk records to append to the log.
func SnapshotRecords(s State, writer Instance) ([]Record, error) {
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

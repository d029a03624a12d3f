package catalog

import "fmt"

// maxChunks bounds the parts of one snapshot.
const maxChunks = maxSnapshotBytes / chunkBytes

// Replay builds a State from the entries that the log still holds.
//
// When the log starts at offset 1, entries are applied as they come. When older records have
// expired, entries are held back until a snapshot that covers a retained offset is whole; the
// snapshot is then restored and the entries after it applied. A Replay never goes back: entries
// and snapshots below the state's offset are ignored.
type Replay struct {
	state   State
	whole   bool
	pending []Entry
	chunks  map[chunkKey][][]byte
}

// NewReplay returns a replay that continues a state, or starts a new one when state is nil.
func NewReplay(state *State) *Replay {
	if state == nil {
		return &Replay{state: NewState(), whole: true}
	}
	return &Replay{state: *state, whole: true}
}

// State returns the state so far, and whether it is whole up to the entries given.
func (r *Replay) State() (State, bool) { return r.state, r.whole }

// Next returns the offset to read from.
func (r *Replay) Next() uint64 {
	if n := len(r.pending); n > 0 {
		return r.pending[n-1].Offset + 1
	}
	return r.state.Next
}

// Adopt takes a newer state from elsewhere, such as a peer, and reports whether it did.
func (r *Replay) Adopt(state State) bool {
	older := state.Next < r.state.Next
	same := state.Next == r.state.Next && r.whole
	if older || same {
		return false
	}
	pending := r.pending
	r.state, r.whole, r.pending, r.chunks = state, true, nil, nil
	for _, entry := range pending {
		if entry.Offset == r.state.Next {
			r.state, _, _ = r.state.Apply(entry)
		}
	}
	return true
}

// Feed takes the next entries and returns the changes of resources that they caused. first is the
// oldest offset that the log holds.
func (r *Replay) Feed(first uint64, entries []Entry) ([]Change, error) {
	if r.whole && first > r.state.Next {
		r.whole, r.pending, r.chunks = false, nil, map[chunkKey][][]byte{}
	}
	var changes []Change
	for _, entry := range entries {
		change, err := r.feedOne(entry)
		if err != nil {
			return changes, err
		}
		if change != nil {
			changes = append(changes, *change)
		}
	}
	return changes, nil
}

func (r *Replay) feedOne(entry Entry) (*Change, error) {
	if !r.whole {
		return nil, r.collect(entry)
	}
	if entry.Offset > r.state.Next {
		return nil, &Error{Op: "replay", Kind: ErrGap, Err: fmt.Errorf("offset %d follows %d", entry.Offset, r.state.Next-1)}
	}
	next, change, err := r.state.Apply(entry)
	r.state = next
	return change, err
}

// collect holds an entry back until a snapshot is whole.
func (r *Replay) collect(entry Entry) error {
	r.pending = append(r.pending, entry)
	record, err := DecodeRecord(entry.Data)
	if err != nil || record.Snapshot == nil {
		return nil
	}
	chunk := record.Snapshot
	key := chunkKey{covers: chunk.Covers, writer: chunk.Writer}
	if chunk.Count < 1 || chunk.Count > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Count {
		return nil
	}
	parts := r.chunks[key]
	if parts == nil {
		parts = make([][]byte, chunk.Count)
		r.chunks[key] = parts
	}
	if len(parts) != chunk.Count {
		return nil
	}
	parts[chunk.Index] = chunk.Data
	return r.restore(chunk.Covers, parts)
}

// restore adopts a snapshot once all its parts are there and the entries after it are retained.
func (r *Replay) restore(covers uint64, parts [][]byte) error {
	var data []byte
	for _, part := range parts {
		if part == nil {
			return nil
		}
		data = append(data, part...)
	}
	if covers < r.pending[0].Offset || covers < r.state.Next {
		return nil
	}
	state, err := DecodeState(data)
	if err != nil {
		return nil
	}
	pending := r.pending
	r.state, r.whole, r.pending, r.chunks = state, true, nil, nil
	for _, entry := range pending {
		if entry.Offset < covers {
			continue
		}
		if _, err := r.feedOne(entry); err != nil {
			return err
		}
	}
	return nil
}

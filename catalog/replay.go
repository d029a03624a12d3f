package catalog

import "fmt"

// maxChunks is the maximum number of chunks of a snapshot.
const maxChunks = maxSnapshotBytes / chunkBytes

// Replay builds a State from the entries that the log retains.
//
// Entries are applied as they arrive while the log retains the next one. If the next entry has
// expired, the Replay buffers entries until it has all chunks of a snapshot that covers every
// expired entry. It then restores the snapshot and applies the buffered entries after it. The offset
// of the state never decreases: older entries and snapshots are ignored.
type Replay struct {
	state    State
	complete bool
	buffered []Entry
	chunks   map[snapshotKey][][]byte
}

// NewReplay returns a Replay that starts from state, or from an empty state if state is nil.
func NewReplay(state *State) *Replay {
	if state == nil {
		return &Replay{state: NewState(), complete: true}
	}
	return &Replay{state: *state, complete: true}
}

// State returns the current state, and whether it includes all entries fed so far. It does not while
// the Replay waits for a snapshot.
func (r *Replay) State() (State, bool) { return r.state, r.complete }

// Next returns the offset of the next entry to feed.
func (r *Replay) Next() uint64 {
	if n := len(r.buffered); n > 0 {
		return r.buffered[n-1].Offset + 1
	}
	return r.state.Next
}

// Adopt replaces the state by one from another source, such as a peer, and applies the buffered
// entries that follow it. It returns false and changes nothing if the given state is older than the
// current one, or has the same offset and the current one is complete.
func (r *Replay) Adopt(state State) bool {
	older := state.Next < r.state.Next
	same := state.Next == r.state.Next && r.complete
	if older || same {
		return false
	}
	buffered := r.buffered
	r.state, r.complete, r.buffered, r.chunks = state, true, nil, nil
	for _, entry := range buffered {
		if entry.Offset == r.state.Next {
			r.state, _, _ = r.state.Apply(entry)
		}
	}
	return true
}

// Feed applies or buffers the next entries and returns the resource changes of those not buffered. first
// is the oldest offset that the log retains. If entries are missing between the state and the next
// entry, Feed returns an *Error of kind ErrGap.
func (r *Replay) Feed(first uint64, entries []Entry) ([]Change, error) {
	if r.complete && first > r.state.Next {
		r.complete, r.buffered, r.chunks = false, nil, map[snapshotKey][][]byte{}
	}
	var changes []Change
	for _, entry := range entries {
		change, err := r.feedEntry(entry)
		if err != nil {
			return changes, err
		}
		if change != nil {
			changes = append(changes, *change)
		}
	}
	return changes, nil
}

func (r *Replay) feedEntry(entry Entry) (*Change, error) {
	if !r.complete {
		return nil, r.bufferEntry(entry)
	}
	if entry.Offset > r.state.Next {
		return nil, &Error{Op: "replay", Kind: ErrGap, Err: fmt.Errorf("offset %d follows %d", entry.Offset, r.state.Next-1)}
	}
	next, change, err := r.state.Apply(entry)
	r.state = next
	return change, err
}

// bufferEntry buffers an entry and, if it completes a snapshot, restores the snapshot. Snapshot
// chunks with inconsistent counts or indexes are ignored.
func (r *Replay) bufferEntry(entry Entry) error {
	r.buffered = append(r.buffered, entry)
	record, err := DecodeRecord(entry.Data)
	if err != nil || record.Snapshot == nil {
		return nil
	}
	chunk := record.Snapshot
	key := snapshotKey{covers: chunk.Covers, writer: chunk.Writer}
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
	return r.restoreSnapshot(chunk.Covers, parts)
}

// restoreSnapshot replaces the state by a snapshot and applies the buffered entries after it. It does
// nothing while chunks are missing, or if the snapshot cannot be decoded, is older than the state or
// leaves a gap before the first buffered entry.
func (r *Replay) restoreSnapshot(covers uint64, parts [][]byte) error {
	var data []byte
	for _, part := range parts {
		if part == nil {
			return nil
		}
		data = append(data, part...)
	}
	if covers < r.buffered[0].Offset || covers < r.state.Next {
		return nil
	}
	state, err := DecodeState(data)
	if err != nil {
		return nil
	}
	buffered := r.buffered
	r.state, r.complete, r.buffered, r.chunks = state, true, nil, nil
	for _, entry := range buffered {
		if entry.Offset < covers {
			continue
		}
		if _, err := r.feedEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

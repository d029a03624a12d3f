// Package liveness tells from the entries that a replica writes about itself whether a process of it has lived after a moment.
//
// The ID and the address of a replica outlive its process, and an answer that names no start may be that of the next process under the same
// ID. The entries name the start, and their sequence numbers rise as long as the process lives. The package performs no I/O.
package liveness

import "time"

// Verdict is what the entries tell of a process.
type Verdict string

// Verdicts.
const (
	// Undecided means that the entries do not tell yet.
	Undecided Verdict = "Undecided"
	// Lived means that the process has written an entry after the moment.
	Lived Verdict = "Lived"
	// Restarted means that another process has written the entry.
	Restarted Verdict = "Restarted"
)

// Entry identifies one entry of a replica.
type Entry struct {
	// Born is when the process started, in Unix milliseconds by its own clock.
	Born int64
	// Sequence rises with each entry of one process.
	Sequence int64
}

// Watch follows the entries of one replica for the question whether its process has lived after a moment.
type Watch struct {
	// ID is that of the replica.
	ID    string
	born  int64
	since time.Time
	// first is the sequence number of the first entry that was read after the moment, if read is set. It may have been written before.
	first int64
	read  bool
}

// NewWatch returns a Watch for the process of a replica that started at born, and a moment.
func NewWatch(id string, born int64, since time.Time) *Watch {
	return &Watch{ID: id, born: born, since: since}
}

// Read records the newest entry of the replica, as a read of the list has found it that was sent at a time and held all that was written
// before.
func (w *Watch) Read(sentAt time.Time, entry Entry) Verdict {
	switch {
	case entry.Born != w.born:
		return Restarted
	case sentAt.Before(w.since):
		return Undecided
	case !w.read:
		w.read, w.first = true, entry.Sequence
		return Undecided
	case entry.Sequence > w.first:
		return Lived
	}
	return Undecided
}

// Package liveness tells whether a process of a replica lives, by what it answers when it is asked and by the entries that it writes, and
// keeps what is believed of it since when.
//
// The ID and the address of a replica outlive its process, and an answer that names no start may be that of the next process under the same
// ID. The entries name the start, and their sequence numbers rise as long as the process lives. The package performs no I/O.
package liveness

import "time"

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
// before. It returns Lives, Restarted, or Silent as long as the entries do not tell.
func (w *Watch) Read(sentAt time.Time, entry Entry) State {
	switch {
	case entry.Born != w.born:
		return Restarted
	case sentAt.Before(w.since):
		return Silent
	case !w.read:
		w.read, w.first = true, entry.Sequence
		return Silent
	case entry.Sequence > w.first:
		return Lives
	}
	return Silent
}

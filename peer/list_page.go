package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cassiabridge/cassiabridge/placement"
)

// maxListPageBytes bounds the size of a page of the list of replicas after decompression.
const maxListPageBytes = 1 << 20

// ListPage is a part of what a VM has read of the list of replicas in the store, for VMs of its group that need not read it
// themselves then.
type ListPage struct {
	// Era is the era of the store in which offsets hold. Entries are those that changed the list at offsets from From to Next, or
	// all of it up to Next if Snapshot is set.
	Era, From, Next uint64
	Snapshot        bool
	// Page is the number of this page, from 0, and Pages that of all pages that belong together.
	Page, Pages int
	// Age is the time since the list was read, at the time of sending.
	Age time.Duration
	// DoubtFor is how much longer a missing entry does not yet mean that its replica is gone, or 0.
	DoubtFor time.Duration
	Entries  []ListEntry
}

// SameList reports whether two pages belong to the same list.
func (p *ListPage) SameList(other *ListPage) bool {
	return p.Era == other.Era && p.From == other.From && p.Next == other.Next && p.Snapshot == other.Snapshot && p.Pages == other.Pages
}

// ListEntry is an entry of the list of replicas, or the removal of one.
type ListEntry struct {
	Replica placement.Replica
	Removed bool
	// Born and Sequence are the version of the entry, and ColdFor how much longer the replica is cold.
	Born, Sequence int64
	ColdFor        time.Duration
}

// listMessage is the wire format of a ListPage. Entries are compressed JSON.
type listMessage struct {
	Era, From, Next        uint64
	Snapshot               bool `json:",omitempty"`
	Page, Pages            int
	AgeMillis, DoubtMillis int64
	Entries                []byte
}

func newListMessage(p *ListPage) (*listMessage, error) {
	if p == nil {
		return nil, nil
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(w).Encode(p.Entries); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return &listMessage{Era: p.Era, From: p.From, Next: p.Next, Snapshot: p.Snapshot, Page: p.Page, Pages: p.Pages, AgeMillis: p.Age.Milliseconds(),
		DoubtMillis: p.DoubtFor.Milliseconds(), Entries: compressed.Bytes()}, nil
}

func (m *listMessage) page() (*ListPage, error) {
	if m == nil {
		return nil, nil
	}
	if m.Pages < 1 || m.Page < 0 || m.Page >= m.Pages {
		return nil, fmt.Errorf("page %d of %d", m.Page, m.Pages)
	}
	p := &ListPage{Era: m.Era, From: m.From, Next: m.Next, Snapshot: m.Snapshot, Page: m.Page, Pages: m.Pages, Age: millis(m.AgeMillis), DoubtFor: millis(m.DoubtMillis)}
	data := io.LimitReader(flate.NewReader(bytes.NewReader(m.Entries)), maxListPageBytes)
	if err := json.NewDecoder(data).Decode(&p.Entries); err != nil {
		return nil, err
	}
	return p, nil
}

package resumption

import "time"

// minAskInterval is the minimum time between two requests for the streams that a peer has told of and that were missed.
const minAskInterval = 100 * time.Millisecond

// receipt is what this VM knows of the log of one process of a peer.
type receipt struct {
	incarnation string
	// next is the position up to which all streams are known, and end the last position that the peer has named.
	next, end uint64
	askedAt   time.Time
}

// Receipts remembers up to which position this VM knows the streams of each peer, so that it can ask for those that it has missed. It
// is not safe for concurrent use.
type Receipts struct {
	peers map[string]*receipt
}

// NewReceipts returns Receipts of peers that have told of nothing.
func NewReceipts() *Receipts { return &Receipts{peers: map[string]*receipt{}} }

// Add records that a process of a peer has told of the streams of a page.
func (r *Receipts) Add(peer, incarnation string, page Page) {
	known := r.peers[peer]
	if known == nil || known.incarnation != incarnation {
		known = &receipt{incarnation: incarnation}
		r.peers[peer] = known
	}
	known.end = max(known.end, page.Next)
	if page.From <= known.next && page.Next > known.next {
		known.next, known.askedAt = page.Next, time.Time{}
	}
}

// TakeMissed returns from which position on this VM lacks streams of a peer, if it does and has not asked for them just before, and
// counts as asking for them.
func (r *Receipts) TakeMissed(now time.Time, peer string) (from uint64, missed bool) {
	known := r.peers[peer]
	if known == nil || known.next >= known.end || now.Sub(known.askedAt) < minAskInterval {
		return 0, false
	}
	known.askedAt = now
	return known.next, true
}

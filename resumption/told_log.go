package resumption

import (
	"slices"
	"time"
)

const (
	// tellPeriod is how long each stream is told to all peers, and maxTold the number of streams that are told to all at once.
	tellPeriod = 1500 * time.Millisecond
	maxTold    = 128
	// maxPageStreams is the number of streams that are told at once to a peer which has asked for them.
	maxPageStreams = 1000
)

// Page holds streams that a VM tells its peers of: those at the positions From to Next, without Next, in the log of all streams that its
// process has told of. A peer that knows the streams before From knows all before Next then, and any other one lacks some.
type Page struct {
	From, Next uint64
	Streams    Report
}

// toldStream is a stream of which peers were told first at a time.
type toldStream struct {
	name uint64
	at   time.Time
}

// toldLog holds the streams of which peers have been told and that can still be resumed, in that order.
type toldLog struct {
	// first is the position of the first entry. Positions count from the start of the process.
	first   uint64
	entries []toldStream
}

// next returns the position after the last entry.
func (l *toldLog) next() uint64 { return l.first + uint64(len(l.entries)) }

// expire drops the entries that are older than a period.
func (l *toldLog) expire(now time.Time, memory time.Duration) {
	for len(l.entries) > 0 && now.Sub(l.entries[0].at) > memory {
		l.entries = l.entries[1:]
		l.first++
	}
}

// lately returns the position from which on the entries are at most as old as a period, or the last limit entries.
func (l *toldLog) lately(now time.Time, period time.Duration, limit int) uint64 {
	from := max(0, len(l.entries)-limit)
	for from < len(l.entries) && now.Sub(l.entries[from].at) > period {
		from++
	}
	return l.first + uint64(from)
}

// Report returns the streams that have lately begun at this VM in some pools, to be told to all peers. Streams of other pools are told
// once they are among them.
func (t *Tracker) Report(now time.Time, pools []string) Page {
	t.expire(now)
	t.told.expire(now, t.memory)
	t.untold = slices.DeleteFunc(t.untold, func(name uint64) bool {
		stream := t.streams[name]
		if stream == nil || !stream.own {
			return true
		}
		if !slices.Contains(pools, stream.origin.Pool) {
			return false
		}
		t.told.entries = append(t.told.entries, toldStream{name, now})
		return true
	})
	return t.page(t.told.lately(now, tellPeriod, maxTold), t.told.next())
}

// PageFrom returns streams from a position of the log on, to be told to a peer that lacks them.
func (t *Tracker) PageFrom(now time.Time, from uint64) Page {
	t.expire(now)
	t.told.expire(now, t.memory)
	// What was before the log cannot be resumed any more, so the peer lacks none of it.
	begin := max(from, t.told.first)
	page := t.page(begin, min(begin+maxPageStreams, t.told.next()))
	page.From = min(from, begin)
	return page
}

// page returns the streams between two positions of the log that can still be resumed.
func (t *Tracker) page(from, next uint64) Page {
	page := Page{From: from, Next: next, Streams: Report{}}
	for position := from; position < next; position++ {
		name := t.told.entries[position-t.told.first].name
		if stream := t.streams[name]; stream != nil {
			page.Streams[stream.origin] = append(page.Streams[stream.origin], name)
		}
	}
	return page
}

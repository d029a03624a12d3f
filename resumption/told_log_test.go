package resumption

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// catchUp has a VM ask for what it has missed of a peer's streams until it lacks none, and returns how often it has asked.
func catchUp(now time.Time, from, to *Tracker, receipts *Receipts) (requests int) {
	for {
		position, missed := receipts.TakeMissed(now, "peer")
		if !missed {
			return requests
		}
		requests++
		page := from.PageFrom(now, position)
		to.RecordPeer(now, page.Streams)
		receipts.Add("peer", "x", page)
	}
}

// TestMissedStreamsAreAskedFor guards against streams that a peer never hears of, since it was cut off for longer than they are told.
func TestMissedStreamsAreAskedFor(t *testing.T) {
	tracker, peer, receipts := NewTracker(time.Time{}), NewTracker(time.Time{}), NewReceipts()
	hear := func(now time.Time) {
		page := tracker.Report(now, []string{pool})
		peer.RecordPeer(now, page.Streams)
		receipts.Add("peer", "x", page)
	}
	tracker.Begin(start, "heard", "r", v1)
	hear(start)
	assert.Zero(t, catchUp(start, tracker, peer, receipts), "nothing is missing")
	for n := range 3 * maxPageStreams {
		tracker.Begin(start.Add(time.Second), fmt.Sprint("missed-", n), "r", v2)
	}
	tracker.Report(start.Add(time.Second), []string{pool})
	healed := start.Add(5 * time.Second)
	hear(healed)
	assertOrigin(t, peer, healed, "missed-0", nil, Origin{pool, ""}, Known)
	assert.Equal(t, 3, catchUp(healed, tracker, peer, receipts))
	for n := range 3 * maxPageStreams {
		assertOrigin(t, peer, healed, fmt.Sprint("missed-", n), nil, v2, Known)
	}
	hear(healed.Add(time.Second))
	assert.Zero(t, catchUp(healed.Add(time.Second), tracker, peer, receipts), "no more than it lacks")
	restarted := Page{From: 0, Next: 1, Streams: Report{v1: {1}}}
	receipts.Add("peer", "y", restarted)
	assert.Zero(t, catchUp(healed.Add(2*time.Second), tracker, peer, receipts), "positions of another process")
}

// TestPeersKnowAllStreamsInTheEnd plays messages that are lost, pages and streams that expire against the streams that can be resumed.
func TestPeersKnowAllStreamsInTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const memory = 10 * time.Second
		now := start
		tracker, peer, receipts := NewTracker(time.Time{}), NewTracker(time.Time{}), NewReceipts()
		tracker.SetMemory(memory)
		peer.SetMemory(memory)
		began := map[string]time.Time{}
		told := rapid.Bool()
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"streams begin": func(t *rapid.T) {
				for range rapid.IntRange(1, 3*maxTold).Draw(t, "count") {
					attempt := fmt.Sprint("attempt-", len(began))
					began[attempt] = now
					tracker.Begin(now, attempt, "r", v2)
				}
			},
			"a beacon is sent": func(t *rapid.T) {
				page := tracker.Report(now, []string{pool})
				if told.Draw(t, "arrives") {
					peer.RecordPeer(now, page.Streams)
					receipts.Add("peer", "x", page)
				}
			},
			"a beacon arrives and what was missed is asked for": func(t *rapid.T) {
				page := tracker.Report(now, []string{pool})
				peer.RecordPeer(now, page.Streams)
				receipts.Add("peer", "x", page)
				now = now.Add(minAskInterval)
				catchUp(now, tracker, peer, receipts)
				for attempt, at := range began {
					if now.Sub(at) <= memory {
						if origin, _ := peer.OriginOf(now, attempt, pool, []string{"v1"}, true); origin != v2 {
							t.Fatalf("%s, which began %v ago, is not known", attempt, now.Sub(at))
						}
					}
				}
			},
		})
	})
}

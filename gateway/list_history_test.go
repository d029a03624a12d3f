package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestNoChangeIsLostBetweenProviders compares what a VM learns that gets changes of the list from VMs that have read it in different
// batches, and in parts, with what has changed.
func TestNoChangeIsLostBetweenProviders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replica := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		log := rapid.SliceOfN(replica, 1, 60).Draw(t, "log")
		end := listPosition{offset: uint64(len(log))}
		providers := make([]listHistory, 3)
		for n := range providers {
			providers[n] = newListHistory()
			at := rapid.IntRange(0, len(log)-1).Draw(t, "begin")
			providers[n].begin(listPosition{offset: uint64(at)})
			for at < len(log) {
				to := rapid.IntRange(at+1, len(log)).Draw(t, "batch end")
				changed := map[string]bool{}
				for _, id := range log[at:to] {
					changed[id] = true
				}
				var ids []string
				for id := range changed {
					ids = append(ids, id)
				}
				providers[n].add(ids, listPosition{offset: uint64(to)})
				at = to
			}
		}
		begin := rapid.IntRange(0, len(log)).Draw(t, "known")
		known := listPosition{offset: uint64(begin)}
		// toldAt holds the position of the VM when it was last told of a replica.
		toldAt := map[string]uint64{}
		for range 200 {
			if known == end {
				break
			}
			provider := &providers[rapid.IntRange(0, 2).Draw(t, "provider")]
			if !provider.knows(known) {
				continue
			}
			ids, to := provider.since(known, end, rapid.IntRange(1, 4).Draw(t, "limit"))
			for _, id := range ids {
				toldAt[id] = to.offset
			}
			if to.after(known) {
				known = to
			}
		}
		for offset, id := range log {
			if offset >= begin && uint64(offset) < known.offset && toldAt[id] <= uint64(offset) {
				t.Fatalf("the change of %s at %d was lost: known up to %d, told at %d", id, offset, known.offset, toldAt[id])
			}
		}
	})
}

func TestListHistoryIsBounded(t *testing.T) {
	h := newListHistory()
	assert.False(t, h.knows(listPosition{}), "nothing is known before the first list")
	h.begin(listPosition{offset: 5})
	ids := make([]string, 100)
	for n := range 2 * maxListHistory / len(ids) {
		h.add(ids, listPosition{offset: uint64(6 + n)})
	}
	assert.LessOrEqual(t, h.count, maxListHistory)
	assert.False(t, h.knows(listPosition{offset: 5}))
	assert.True(t, h.knows(h.complete))
	assert.False(t, h.knows(listPosition{era: 1, offset: 1 << 30}), "another era")
}

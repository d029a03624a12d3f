package standin

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	blockTokens    = 1024
	maxCacheEvents = 512
)

// prefixCache holds the hashes of the most recently added prompt blocks, and a log of added and
// removed blocks.
type prefixCache struct {
	mu       *sync.Mutex
	capacity int
	blocks   []uint64
	events   cacheLog
}

type cacheLog struct {
	From   uint64
	Events []cacheEvent
}

type cacheEvent struct {
	Hash    uint64
	Removed bool
}

func newPrefixCache(capacity int) prefixCache {
	return prefixCache{mu: &sync.Mutex{}, capacity: capacity, events: cacheLog{From: 1}}
}

// lookupAndAdd returns the length in tokens of the longest cached prefix of a prompt, and adds the
// blocks that are missing. A partial block at the end is not cached.
func (c *prefixCache) lookupAndAdd(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := xxhash.New()
	cached, contiguous := 0, true
	for block := range slices.Chunk([]byte(prompt), blockTokens*bytesPerToken) {
		if len(block) < blockTokens*bytesPerToken {
			break
		}
		_, _ = digest.Write(block)
		hash := digest.Sum64()
		if !slices.Contains(c.blocks, hash) {
			contiguous = false
			c.add(hash)
		}
		if contiguous {
			cached += blockTokens
		}
	}
	return cached
}

func (c *prefixCache) add(hash uint64) {
	c.blocks = append(c.blocks, hash)
	c.recordEvent(cacheEvent{Hash: hash})
	if len(c.blocks) > c.capacity {
		c.recordEvent(cacheEvent{Hash: c.blocks[0], Removed: true})
		c.blocks = c.blocks[1:]
	}
}

func (c *prefixCache) recordEvent(event cacheEvent) {
	c.events.Events = append(c.events.Events, event)
	if excess := len(c.events.Events) - maxCacheEvents; excess > 0 {
		c.events.Events = c.events.Events[excess:]
		c.events.From += uint64(excess)
	}
}

// recentEvents returns the retained events, up to maxCacheEvents. If gap is set, it leaves out the
// older half.
func (c *prefixCache) recentEvents(gap bool) cacheLog {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := cacheLog{From: c.events.From, Events: slices.Clone(c.events.Events)}
	if half := len(events.Events) / 2; gap {
		events.Events = events.Events[half:]
		events.From += uint64(half)
	}
	return events
}

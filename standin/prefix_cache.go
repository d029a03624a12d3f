package standin

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	pieceTokens    = 1024
	maxCacheEvents = 512
)

// prefixCache holds the newest pieces of prompts, and the events that tell of them.
type prefixCache struct {
	mu     *sync.Mutex
	size   int
	pieces []uint64
	events cacheLog
}

type cacheLog struct {
	From   uint64
	Events []cacheEvent
}

type cacheEvent struct {
	Hash    uint64
	Removed bool
}

func newPrefixCache(size int) prefixCache {
	return prefixCache{mu: &sync.Mutex{}, size: size, events: cacheLog{From: 1}}
}

// take returns how many tokens of a prompt are cached, and caches the rest.
func (c *prefixCache) take(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := xxhash.New()
	cached, unbroken := 0, true
	for piece := range slices.Chunk([]byte(prompt), pieceTokens*bytesPerToken) {
		if len(piece) < pieceTokens*bytesPerToken {
			break
		}
		_, _ = digest.Write(piece)
		hash := digest.Sum64()
		if !slices.Contains(c.pieces, hash) {
			unbroken = false
			c.add(hash)
		}
		if unbroken {
			cached += pieceTokens
		}
	}
	return cached
}

func (c *prefixCache) add(hash uint64) {
	c.pieces = append(c.pieces, hash)
	c.note(cacheEvent{Hash: hash})
	if len(c.pieces) > c.size {
		c.note(cacheEvent{Hash: c.pieces[0], Removed: true})
		c.pieces = c.pieces[1:]
	}
}

func (c *prefixCache) note(event cacheEvent) {
	c.events.Events = append(c.events.Events, event)
	if extra := len(c.events.Events) - maxCacheEvents; extra > 0 {
		c.events.Events = c.events.Events[extra:]
		c.events.From += uint64(extra)
	}
}

// log returns the newest events. With a gap, the older half of them is missing.
func (c *prefixCache) log(gap bool) cacheLog {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := cacheLog{From: c.events.From, Events: slices.Clone(c.events.Events)}
	if half := len(events.Events) / 2; gap {
		events.Events = events.Events[half:]
		events.From += uint64(half)
	}
	return events
}

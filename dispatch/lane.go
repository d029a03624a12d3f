package dispatch

import "time"

// Lane describes the pools that a dispatcher serves.
type Lane struct {
	// Retain is how long a prefill result is kept.
	Retain time.Duration
	// BytesPerToken and LinkRate predict the transfer of a prompt's KV cache, in bytes a second.
	BytesPerToken float64
	LinkRate      float64
	// TokenGap is the target for the time between tokens.
	TokenGap time.Duration
	// MaxQueued bounds the waiting requests.
	MaxQueued int
}

func (l Lane) transfer(tokens int) time.Duration {
	if l.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * l.BytesPerToken / l.LinkRate * float64(time.Second))
}

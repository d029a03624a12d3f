package dispatch

import "time"

// Lane holds the settings of the prefill and decode pools that a dispatcher serves.
type Lane struct {
	// Retain is how long an engine keeps a prefill result before it evicts it.
	Retain time.Duration
	// BytesPerToken and LinkRate, in bytes per second, give the transfer time of a prompt's KV cache. A
	// LinkRate of 0 means that transfers take no time.
	BytesPerToken float64
	LinkRate      float64
	// TokenGap is the target for the time between tokens, or 0 for none.
	TokenGap time.Duration
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int
}

func (l Lane) transferTime(tokens int) time.Duration {
	if l.LinkRate <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * l.BytesPerToken / l.LinkRate * float64(time.Second))
}

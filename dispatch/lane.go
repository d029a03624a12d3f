package dispatch

import "time"

// Lane holds the settings of the prefill and decode pools that a dispatcher serves.
type Lane struct {
	// Retention is how long an engine keeps a prefill result before it evicts it.
	Retention time.Duration
	// BytesPerToken and LinkBytesPerSecond give the transfer time of a prompt's KV cache. A LinkBytesPerSecond of 0
	// means that transfers take no time.
	BytesPerToken      float64
	LinkBytesPerSecond float64
	// TokenGap is the target for the time between tokens, or 0 for none.
	TokenGap time.Duration
	// MaxQueued is the maximum number of queued requests.
	MaxQueued int
}

func (l Lane) transferTime(tokens int) time.Duration {
	if l.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(tokens) * l.BytesPerToken / l.LinkBytesPerSecond * float64(time.Second))
}

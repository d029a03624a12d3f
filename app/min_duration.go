package app

import (
	"sync/atomic"
	"time"
)

// minDuration holds the shortest of the durations that were recorded, or 0. It is safe for concurrent use.
type minDuration struct{ nanos atomic.Int64 }

func (m *minDuration) record(d time.Duration) {
	for {
		known := m.nanos.Load()
		if known != 0 && known <= int64(d) || m.nanos.CompareAndSwap(known, int64(d)) {
			return
		}
	}
}

func (m *minDuration) get() time.Duration { return time.Duration(m.nanos.Load()) }

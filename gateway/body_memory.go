package gateway

import "sync/atomic"

// assumedBodyBytes is the size that is reserved for a body of unknown length.
const assumedBodyBytes = 256 << 10

// bodyMemory limits the memory that the bodies of all requests in flight use, in bytes.
type bodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

func bodyBytes(length int64) int64 {
	if length < 0 {
		return assumedBodyBytes
	}
	return length
}

// reserve reserves memory for a body of the given length, which is -1 if unknown. It returns false if the limit would
// be exceeded. A body is always accepted if no other is in flight.
func (b *bodyMemory) reserve(length int64) bool {
	size := bodyBytes(length)
	if total := b.reserved.Add(size); total > b.limit && total > size {
		b.reserved.Add(-size)
		return false
	}
	return true
}

// release releases the memory that was reserved for a body of the same length.
func (b *bodyMemory) release(length int64) { b.reserved.Add(-bodyBytes(length)) }

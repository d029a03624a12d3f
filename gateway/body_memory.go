package gateway

import "sync/atomic"

// unknownBodyBytes is what a body without a stated length counts.
const unknownBodyBytes = 256 << 10

// bodyMemory bounds the memory of the bodies of all requests under way.
type bodyMemory struct {
	limit int64
	taken atomic.Int64
}

func bodyBytes(length int64) int64 {
	if length < 0 {
		return unknownBodyBytes
	}
	return length
}

// take takes memory for a body of a length, or -1 if it is not known. It returns false if too much is taken. A single
// body is always let in.
func (b *bodyMemory) take(length int64) bool {
	bytes := bodyBytes(length)
	if total := b.taken.Add(bytes); total > b.limit && total > bytes {
		b.taken.Add(-bytes)
		return false
	}
	return true
}

// giveBack gives back the memory of a body.
func (b *bodyMemory) giveBack(length int64) { b.taken.Add(-bodyBytes(length)) }

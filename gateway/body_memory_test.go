package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBodyMemory(t *testing.T) {
	b := bodyMemory{limit: 1000}
	assert.True(t, b.reserve(900))
	assert.False(t, b.reserve(200), "the limit would be exceeded")
	assert.True(t, b.reserve(100))
	b.release(900)
	b.release(100)
	assert.Zero(t, b.reserved.Load())
	assert.True(t, b.reserve(5000), "a single body is accepted even above the limit")
	assert.False(t, b.reserve(-1), "no second body is accepted beside it")
}

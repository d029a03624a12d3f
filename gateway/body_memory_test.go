package gateway

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestBodyMemory(t *testing.T) {
	b := bodyMemory{limit: 1000}
	assert.True(t, b.take(900))
	assert.False(t, b.take(200), "too much together")
	assert.True(t, b.take(100))
	b.giveBack(900)
	b.giveBack(100)
	assert.Zero(t, b.taken.Load())
	assert.True(t, b.take(5000), "a single one is let in")
	assert.False(t, b.take(-1), "nothing beside it")
}

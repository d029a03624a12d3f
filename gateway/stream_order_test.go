package gateway

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/eventstream"
)

func TestNumberings(t *testing.T) {
	sound, skipping := eventstream.Steps{All: 70}, eventstream.Steps{All: 70, Skipping: 60}
	scenarios := []struct {
		name     string
		streams  []eventstream.Steps
		counting bool
	}{
		{"nothing is known", nil, true},
		{"numbers that count", []eventstream.Steps{sound, sound}, true},
		{"numbers that do not count", []eventstream.Steps{skipping, skipping}, false},
		{"one faulty stream", []eventstream.Steps{sound, {All: 3, Skipping: 1}, sound}, true},
		{"a faulty stream at first", []eventstream.Steps{{All: 3, Skipping: 1}, sound}, true},
		{"other streams since long", append([]eventstream.Steps{{All: 3 * maxSteps}}, slices.Repeat([]eventstream.Steps{skipping}, 500)...), false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var n numberings
			for _, steps := range scenario.streams {
				n.add("pool", steps)
			}
			assert.Equal(t, scenario.counting, n.counting("pool"))
			assert.True(t, n.counting("another pool"))
		})
	}
}

package eventstream

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNumberings(t *testing.T) {
	sound, skipping := Steps{All: 70}, Steps{All: 70, Skipping: 60}
	scenarios := []struct {
		name     string
		streams  []Steps
		counting bool
	}{
		{"nothing is known", nil, true},
		{"numbers that count", []Steps{sound, sound}, true},
		{"numbers that do not count", []Steps{skipping, skipping}, false},
		{"one faulty stream", []Steps{sound, {All: 3, Skipping: 1}, sound}, true},
		{"a faulty stream at first", []Steps{{All: 3, Skipping: 1}, sound}, true},
		{"other streams since long", append([]Steps{{All: 3 * maxSteps}}, slices.Repeat([]Steps{skipping}, 500)...), false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var n Numberings
			for _, steps := range scenario.streams {
				n.Add("pool", steps)
			}
			assert.Equal(t, scenario.counting, n.Counting("pool"))
			assert.True(t, n.Counting("another pool"))
		})
	}
}

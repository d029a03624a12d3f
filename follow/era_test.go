package follow

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"
)

func TestEraTracker(t *testing.T) {
	changes := 0
	eras := NewEraTracker(zap.NewNop(), func() { changes++ })
	scenarios := []struct {
		name    string
		era     uint64
		changes int
	}{
		{"an answer that names none", 0, 0},
		{"the first one", 3, 0},
		{"the same again", 3, 0},
		{"a newer one", 4, 1},
		{"a late answer of the older one", 3, 1},
		{"two restores at once", 6, 2},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			eras.Observe(scenario.era)
			assert.Equal(t, scenario.changes, changes)
		})
	}
}

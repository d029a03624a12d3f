package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestEntryVersions(t *testing.T) {
	known := EntryVersion{Born: 5, Sequence: 10}
	scenarios := []struct {
		name     string
		version  EntryVersion
		gone     bool
		outdated bool
	}{
		{"the entry that is known", known, false, false},
		{"an older entry of the same process", EntryVersion{Born: 5, Sequence: 9}, false, true},
		{"a newer entry of the same process", EntryVersion{Born: 5, Sequence: 11}, false, false},
		{"the first entry of a newer process", EntryVersion{Born: 6, Sequence: 1}, false, false},
		{"an entry of an older process", EntryVersion{Born: 4, Sequence: 99}, false, true},
		{"the last entry of a replica that has gone", known, true, true},
		{"a newer entry of a replica that had gone", EntryVersion{Born: 5, Sequence: 11}, true, false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			versions := newEntryVersions()
			versions.record("1", known)
			if scenario.gone {
				versions.recordGone(start, "1")
			}
			assert.Equal(t, scenario.outdated, versions.outdated("1", scenario.version))
		})
	}
	t.Run("a replica that is not known", func(t *testing.T) {
		versions := newEntryVersions()
		assert.False(t, versions.outdated("1", known))
	})
	t.Run("replicas that have gone are forgotten", func(t *testing.T) {
		versions := newEntryVersions()
		versions.record("1", known)
		versions.recordGone(start, "1")
		versions.recordGone(start.Add(goneReplicaMemory+time.Second), "2")
		assert.NotContains(t, versions.newest, "1")
		assert.Len(t, versions.goneAt, 1)
	})
}

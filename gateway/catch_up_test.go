package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestCatchUp(t *testing.T) {
	type step struct {
		after   time.Duration
		version uint64
		peers   peerVersions
		done    bool
	}
	scenarios := []struct {
		name  string
		steps []step
	}{
		{"alone", []step{{0, 3, peerVersions{complete: true}, true}}},
		{"no declarations", []step{{time.Minute, 0, peerVersions{complete: true}, false}}},
		{"all peers are as new", []step{{0, 3, peerVersions{complete: true, newest: 3}, true}}},
		{"a peer has not been heard", []step{{0, 3, peerVersions{newest: 3}, false}, {catchUpWait, 3, peerVersions{newest: 3}, true}}},
		{"a peer is newer", []step{{0, 3, peerVersions{complete: true, newest: 5}, false}, {time.Minute, 3, peerVersions{complete: true, newest: 5}, false}}},
		{"the newer peer's declarations are found", []step{{0, 3, peerVersions{newest: 5}, false}, {time.Millisecond, 5, peerVersions{complete: true, newest: 5}, true}}},
		{"the newer peer has ended", []step{{0, 3, peerVersions{newest: 5}, false}, {catchUpWait, 3, peerVersions{newest: 3}, true}}},
		{"a peer is newer later", []step{{0, 3, peerVersions{complete: true, newest: 3}, true}, {time.Minute, 3, peerVersions{complete: true, newest: 4}, true}}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			var u catchUp
			now := start
			for _, step := range scenario.steps {
				now = now.Add(step.after)
				u.update(now, step.version, step.peers)
				assert.Equal(t, step.done, u.done, "after %s", step.after)
			}
		})
	}
}

package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/resumption"
)

// goesOnAtOldVersion reports whether a VM would go on with a stream that it does not know at the only version of which it knows.
func goesOnAtOldVersion(v *simVM) bool {
	return v.findOrigin(v.now(), "begun-elsewhere", "p").unknown == resumption.Known
}

// TestVMOutOfStepJoinsSoftwareVersions guards against a VM that goes on with streams which began elsewhere at the version that it knows,
// while it does not hear that replicas of another one have joined.
func TestVMOutOfStepJoinsSoftwareVersions(t *testing.T) {
	t.Parallel()
	const outOfStep = 3 * time.Second
	newFleet := func(t *testing.T) (*simFleet, *simVM) {
		f := newSimFleet(t, 30, 60)
		f.run(4 * time.Second)
		v := f.vms[17]
		assert.True(t, goesOnAtOldVersion(v), "a single version in a calm fleet")
		return f, v
	}
	join := func(f *simFleet) {
		replica := f.newReplica()
		replica.SoftwareVersion = "v2"
		f.changes[f.endOffset()] = replica
		f.replicas = append(f.replicas, replica)
	}
	t.Run("cut off from peers and the store", func(t *testing.T) {
		f, v := newFleet(t)
		v.cutFromPeers, v.cutFromStore = true, true
		join(f)
		f.run(outOfStep)
		assert.False(t, goesOnAtOldVersion(v))
		v.cutFromPeers, v.cutFromStore = false, false
		for range 100 {
			f.run(20 * time.Millisecond)
			assert.False(t, goesOnAtOldVersion(v), "after the cut")
		}
	})
	t.Run("cut off from peers", func(t *testing.T) {
		f, v := newFleet(t)
		v.cutFromPeers = true
		f.run(outOfStep)
		join(f)
		f.run(outOfStep)
		assert.False(t, goesOnAtOldVersion(v), "it reads the list by itself")
	})
	t.Run("frozen", func(t *testing.T) {
		f, v := newFleet(t)
		f.freeze(v)
		join(f)
		f.run(outOfStep)
		v.held = nil
		f.thaw(v)
		assert.False(t, goesOnAtOldVersion(v), "as it wakes up")
		for range 100 {
			f.run(20 * time.Millisecond)
			assert.False(t, goesOnAtOldVersion(v))
		}
	})
	t.Run("suspended, while its steady clock stood still", func(t *testing.T) {
		f, v := newFleet(t)
		v.ageEvidence(outOfStep)
		assert.False(t, goesOnAtOldVersion(v))
		f.run(time.Second)
		assert.True(t, goesOnAtOldVersion(v), "once it has heard peers")
	})
	t.Run("the store does not answer anybody", func(t *testing.T) {
		f, v := newFleet(t)
		for _, other := range f.vms {
			other.cutFromStore = true
		}
		f.run(outOfStep)
		assert.True(t, goesOnAtOldVersion(v), "all peers are heard, and none knows of another version")
	})
}

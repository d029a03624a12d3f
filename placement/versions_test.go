package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLimitedRequestIsPlacedAtAnotherSoftwareVersion guards against a stream that goes on at a version that did not begin it.
func TestLimitedRequestIsPlacedAtAnotherSoftwareVersion(t *testing.T) {
	versionOf := map[string]string{"d0": "v1", "d1": "v1", "d2": "v2", "d3": "v2", "s0": "v1", "s1": "v2", "s2": "v2"}
	newScheduler := func() *Scheduler {
		s := newTestScheduler(2, 4)
		for id, version := range versionOf {
			r, _ := s.Replica(id)
			r.SoftwareVersion = version
			s.SetReplica(r)
		}
		return s
	}
	only := func(version string) VersionLimit { return VersionLimit{Limited: true, Version: version} }
	for _, version := range []string{"v1", "v2"} {
		t.Run("engines of "+version, func(t *testing.T) {
			s := newScheduler()
			r := request(1, 0, 1000, 50)
			r.Versions = only(version)
			d := submit(t, s, 0, r)
			require.Equal(t, Start, d.Kind)
			assert.Equal(t, version, versionOf[d.Decode.ID])
			next, found := s.ReassignDecode(at(0), 1, []string{d.Decode.ID})
			require.True(t, found)
			assert.Equal(t, version, versionOf[next.ID])
			_, found = s.ReassignDecode(at(0), 1, []string{d.Decode.ID, next.ID})
			assert.False(t, found, "no other engine of the version is left")
		})
	}
	t.Run("an engine of the version that fails comes before others that don't", func(t *testing.T) {
		s := newScheduler()
		s.RecordFailure(at(0), "d0", true)
		s.RecordFailure(at(0), "d1", true)
		r := request(1, 0, 1000, 50)
		r.Versions = only("v1")
		d := submit(t, s, 0, r)
		require.Equal(t, Start, d.Kind)
		assert.Equal(t, "v1", versionOf[d.Decode.ID])
	})
	t.Run("no engine of the version", func(t *testing.T) {
		r := request(1, 0, 1000, 50)
		r.Versions = only("v3")
		assert.Equal(t, RefuseNoEngine, submit(t, newScheduler(), 0, r).Kind)
	})
	t.Run("services", func(t *testing.T) {
		s := newScheduler()
		call := ServiceCall{Pool: servicePool, Versions: only("v1")}
		assert.Equal(t, "s0", s.PickService(at(0), call).Replica.ID)
		call.Avoid = []string{"s0"}
		assert.False(t, s.PickService(at(0), call).Found)
	})
	t.Run("versions that are listed", func(t *testing.T) {
		s := newScheduler()
		assert.Equal(t, []string{"v1", "v2"}, s.SoftwareVersions(servicePool))
		s.RemoveReplica(at(0), "s0")
		assert.Equal(t, []string{"v2"}, s.SoftwareVersions(servicePool))
	})
}

package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// streamsToTakeUp is the number of streams that a test takes up: chance would find engines of the same version for all of them
// in one case in a million.
const streamsToTakeUp = 20

// cutStreams has streams break after their fifth event.
var cutStreams = standin.ReplicaFaults{CutAfter: 5}

// versionedSite runs VMs before two decode engines of each of the given software versions, and prefill engines of the last one.
type versionedSite struct {
	*site
	versions []string
}

func newVersionedSite(t *testing.T, vms int, versions ...string) *versionedSite {
	t.Helper()
	replicas := defaultReplicas()
	for n := 2; n < 2*len(versions); n++ {
		spec := replicas[2]
		spec.ID = fmt.Sprint("d-", n)
		replicas = append(replicas, spec)
	}
	s := &versionedSite{newSiteWithReplicas(t, vms, replicas), versions}
	for n := range 2 * len(versions) {
		s.updateEntry(s.engine(n), "version", versions[n/2])
	}
	for _, prefill := range []string{"p-0", "p-1"} {
		s.updateEntry(prefill, "version", versions[len(versions)-1])
	}
	time.Sleep(maxSitePropagationDelay)
	return s
}

func (s *versionedSite) engine(n int) string { return fmt.Sprint("d-", n) }

func (s *versionedSite) setFaults(faults standin.ReplicaFaults) {
	for n := range 2 * len(s.versions) {
		s.replicas[s.engine(n)].SetFaults(faults)
	}
}

// versionsOf returns the software versions of the engines that ran an attempt, in order of the engines.
func (s *versionedSite) versionsOf(attempt string) []string {
	var versions []string
	for n := range 2 * len(s.versions) {
		for _, run := range s.replicas[s.engine(n)].Runs() {
			version := s.versions[n/2]
			if run.Attempt == attempt && (len(versions) == 0 || versions[len(versions)-1] != version) {
				versions = append(versions, version)
			}
		}
	}
	return versions
}

// breakStreams sends streams to a VM that break after their fifth event.
func (s *versionedSite) breakStreams(t *testing.T, v *gatewayVM, count int) []siteResponse {
	t.Helper()
	s.setFaults(cutStreams)
	var broken []siteResponse
	for range count {
		a := s.send(v, streamRequest("/check/a"))
		require.Equal(t, streamBody(a.attempt, 5), a.body)
		require.False(t, a.complete)
		broken = append(broken, a)
	}
	s.setFaults(standin.ReplicaFaults{})
	return broken
}

// takeUp sends the request that takes a broken stream up.
func (s *versionedSite) takeUp(v *gatewayVM, broken siteResponse) siteResponse {
	r := streamRequest("/check/a")
	r.header["Last-Event-Id"] = "5"
	r.header["Resumes"] = broken.attempt
	return s.send(v, r)
}

// takeUpOnceInStep is takeUp, again and again while the VM refuses since it may lack news of replicas.
func (s *versionedSite) takeUpOnceInStep(v *gatewayVM, broken siteResponse) siteResponse {
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		a := s.takeUp(v, broken)
		if len(s.logLines(v, a.attempt, "Reason=Outdated")) == 0 || time.Now().After(deadline) {
			return a
		}
	}
}

// assertTakenUp checks that a stream was taken up at the software version that began it, and to its end.
func (s *versionedSite) assertTakenUp(t *testing.T, broken, a siteResponse) {
	t.Helper()
	assert.Equal(t, http.StatusOK, a.status, a.body)
	assert.True(t, a.complete)
	assert.Equal(t, strings.TrimPrefix(streamBody(a.attempt, 20), streamBody(a.attempt, 5)), a.body)
	assert.Equal(t, s.versionsOf(broken.attempt), s.versionsOf(a.attempt))
}

// assertTakenUpOrRefused takes streams up at the second VM, and checks that each goes on at its version or is refused as not run.
func (s *versionedSite) assertTakenUpOrRefused(t *testing.T, streams []siteResponse) {
	t.Helper()
	for _, broken := range streams {
		if a := s.takeUp(s.vms[1], broken); a.status == http.StatusOK {
			s.assertTakenUp(t, broken, a)
		} else {
			s.assertNotRun(t, a)
		}
	}
}

// TestSiteStreamGoesOnAtAnotherSoftwareVersion guards against streams that hold events of two software versions of a service.
func TestSiteStreamGoesOnAtAnotherSoftwareVersion(t *testing.T) {
	t.Parallel()
	s := newVersionedSite(t, 2, "v1", "v2")
	t.Run("in one answer", func(t *testing.T) {
		for _, broken := range s.breakStreams(t, s.vms[0], streamsToTakeUp) {
			assert.Len(t, s.versionsOf(broken.attempt), 1)
		}
	})
	t.Run("taken up at the VM that began it", func(t *testing.T) {
		for _, broken := range s.breakStreams(t, s.vms[0], streamsToTakeUp) {
			s.assertTakenUp(t, broken, s.takeUp(s.vms[0], broken))
		}
	})
	t.Run("taken up at another VM after the first was killed", func(t *testing.T) {
		streams := s.breakStreams(t, s.vms[0], streamsToTakeUp)
		time.Sleep(time.Second)
		s.kill(s.vms[0])
		for _, broken := range streams {
			s.assertTakenUp(t, broken, s.takeUp(s.vms[1], broken))
		}
	})
	t.Run("no engine of its version left", func(t *testing.T) {
		streams := s.breakStreams(t, s.vms[1], streamsToTakeUp)
		for n := range 2 {
			s.updateEntry(s.engine(n), "state", "draining")
		}
		time.Sleep(maxSitePropagationDelay)
		for _, broken := range streams {
			a := s.takeUp(s.vms[1], broken)
			if s.versionsOf(broken.attempt)[0] == "v1" {
				s.assertNotRun(t, a)
			} else {
				s.assertTakenUp(t, broken, a)
			}
		}
	})
}

// TestSiteRestartedVMsJoinSoftwareVersions guards against VMs that were all killed, do not know which version began a stream, and
// go on with it at any.
func TestSiteRestartedVMsJoinSoftwareVersions(t *testing.T) {
	t.Parallel()
	restart := func(s *versionedSite, meanwhile func()) {
		for _, v := range s.vms {
			s.kill(v)
		}
		meanwhile()
		for _, v := range s.vms {
			s.start(v)
		}
		for _, v := range s.vms {
			s.awaitServing(v)
		}
	}
	t.Run("two versions", func(t *testing.T) {
		s := newVersionedSite(t, 2, "v1", "v2")
		streams := s.breakStreams(t, s.vms[0], streamsToTakeUp)
		time.Sleep(time.Second)
		restart(s, func() {})
		for _, broken := range streams {
			s.assertTakenUp(t, broken, s.takeUp(s.vms[1], broken))
		}
	})
	t.Run("two versions, and streams that have just begun", func(t *testing.T) {
		s := newVersionedSite(t, 2, "v1", "v2")
		streams := s.breakStreams(t, s.vms[0], streamsToTakeUp)
		restart(s, func() {})
		s.assertTakenUpOrRefused(t, streams)
	})
	t.Run("the old version has just gone", func(t *testing.T) {
		s := newVersionedSite(t, 2, "v1", "v2")
		streams := s.breakStreams(t, s.vms[0], streamsToTakeUp)
		for n := range 2 {
			s.store.PutReplica(s.engine(n), nil)
		}
		restart(s, func() {})
		s.assertTakenUpOrRefused(t, streams)
	})
	t.Run("another version has taken the place of a single one", func(t *testing.T) {
		s := newVersionedSite(t, 2, "v1")
		streams := s.breakStreams(t, s.vms[0], streamsToTakeUp)
		time.Sleep(2 * time.Second)
		restart(s, func() {
			for _, id := range []string{"p-0", "p-1", "d-0", "d-1"} {
				s.updateEntry(id, "version", "v2")
			}
		})
		s.eventually(5*time.Second, "the engines are known", func() bool {
			return s.send(s.vms[1], streamRequest("/check/a")).status == http.StatusOK
		})
		for _, broken := range streams {
			s.assertNotRun(t, s.takeUpOnceInStep(s.vms[1], broken))
		}
	})
	t.Run("a single version goes on", func(t *testing.T) {
		s := newVersionedSite(t, 2, "v1")
		streams := s.breakStreams(t, s.vms[0], streamsToTakeUp)
		time.Sleep(2 * time.Second)
		restart(s, func() {})
		for _, broken := range streams {
			s.assertTakenUp(t, broken, s.takeUp(s.vms[1], broken))
		}
	})
}

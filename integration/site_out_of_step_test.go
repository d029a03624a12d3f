package integration

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// addVersion starts two decode engines of another software version, and waits until a VM lists them.
func (s *versionedSite) addVersion(v *gatewayVM, version string) {
	first := 2 * len(s.versions)
	s.versions = append(s.versions, version)
	for n := first; n < first+2; n++ {
		spec := defaultReplicas()[2]
		spec.ID = s.engine(n)
		s.addReplica(spec)
		s.updateEntry(spec.ID, "version", version)
	}
	s.eventually(5*time.Second, "the engines are listed", func() bool {
		return len(s.logLines(v, "replica-listed", "SoftwareVersion="+version)) == 2
	})
}

// breakStreamsAtOnce is breakStreams for streams that begin at the same time.
func (s *versionedSite) breakStreamsAtOnce(v *gatewayVM, count int) []siteResponse {
	s.setFaults(cutStreams)
	defer s.setFaults(standin.ReplicaFaults{})
	broken := make([]siteResponse, count)
	var wg sync.WaitGroup
	for n := range broken {
		wg.Go(func() { broken[n] = s.send(v, streamRequest("/check/a")) })
	}
	wg.Wait()
	return broken
}

// TestSiteVMThatStoodStillJoinsSoftwareVersions guards against streams that began at replicas of a new software version while one VM stood
// still, and that go on there at the only version of which it knows.
func TestSiteVMThatStoodStillJoinsSoftwareVersions(t *testing.T) {
	t.Parallel()
	for _, period := range []time.Duration{0, 1200 * time.Millisecond, 3 * time.Second} {
		t.Run(fmt.Sprint("at least ", period), func(t *testing.T) {
			t.Parallel()
			s := newVersionedSite(t, 2, "v1")
			first, second := s.vms[0], s.vms[1]
			stoppedAt := time.Now()
			second.signal(t, syscall.SIGSTOP)
			s.addVersion(first, "v2")
			streams := s.breakStreamsAtOnce(first, streamsToTakeUp)
			answers := make([]siteResponse, len(streams))
			var wg sync.WaitGroup
			for n, broken := range streams {
				wg.Go(func() { answers[n] = s.takeUp(second, broken) })
			}
			time.Sleep(max(50*time.Millisecond, time.Until(stoppedAt.Add(period))))
			second.signal(t, syscall.SIGCONT)
			wg.Wait()
			t.Logf("stood still for %v", time.Since(stoppedAt))
			wentOn := 0
			for n, a := range answers {
				if a.status == http.StatusOK {
					wentOn++
					s.assertTakenUp(t, streams[n], a)
				} else {
					s.assertNotRun(t, a)
				}
			}
			assert.GreaterOrEqual(t, 2*wentOn, len(streams), "its peer knows where the streams began")
		})
	}
}

package integration

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSiteVMOutOfStepJoinsSoftwareVersions guards against a VM that stood still while replicas of a second software version joined, takes
// up streams that began on these through other VMs, and goes on with them at the version that it knows.
func TestSiteVMOutOfStepJoinsSoftwareVersions(t *testing.T) {
	t.Parallel()
	s := newVersionedSite(t, 2, "v1")
	frozen := s.vms[1].cmd.Process
	require.NoError(t, frozen.Signal(syscall.SIGSTOP))
	for n := 2; n < 4; n++ {
		spec := defaultReplicas()[2]
		spec.ID = s.engine(n)
		s.addReplica(spec)
		s.updateEntry(spec.ID, "version", "v2")
	}
	s.versions = append(s.versions, "v2")
	time.Sleep(maxSitePropagationDelay)
	var streams []siteResponse
	for _, broken := range s.breakStreams(t, s.vms[0], 2*streamsToTakeUp) {
		if s.versionsOf(broken.attempt)[0] == "v2" {
			streams = append(streams, broken)
		}
	}
	require.Greater(t, len(streams), 5)
	require.NoError(t, frozen.Signal(syscall.SIGCONT))
	joined := 0
	for _, broken := range streams[:6] {
		a := s.takeUp(s.vms[1], broken)
		if versions := fmt.Sprint(s.versionsOf(a.attempt)); a.status == http.StatusOK && versions != "[v2]" {
			joined++
		}
	}
	assert.Zero(t, joined, "streams that went on at another version, of 6")
	s.eventually(5*time.Second, "streams go on once the VM is in step", func() bool {
		a := s.takeUp(s.vms[1], streams[6%len(streams)])
		return a.status == http.StatusOK
	})
}

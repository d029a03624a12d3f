package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	// tolerableEnds is how many replicas one repeated request may end.
	tolerableEnds = 6
	// crashesUntilKnown is the number of ends after which a request must be known as harmful on all VMs, one stable period later.
	crashesUntilKnown = 3
	// soundShare is the share of sound calls on the same route that must be served from then on.
	soundShare = 0.95
)

// TestSiteOneCallEndsReplicaAfterReplica guards against a call without shared parts that is sent to one replica after another and
// ends each. Calls beside it, also one that is repeated all the time without a body, are innocent.
func TestSiteOneCallEndsReplicaAfterReplica(t *testing.T) {
	t.Parallel()
	s := newSite(t, 5)
	desks := newRestartingDesks(s, 4)
	s.eventually(5*time.Second, "the desks are in use", func() bool {
		return s.send(s.vms[0], siteRequest{path: "/status/a"}).status == http.StatusOK && len(s.logLines(s.vms[0], "replica-listed", "Replica=e-4")) > 0
	})
	var sound, harmful []sentRequest
	var load sync.WaitGroup
	const duration = 12 * time.Second
	load.Go(func() {
		harmful = s.sendRepeatedly(110*time.Millisecond, duration, func(int) siteRequest { return siteRequest{path: harmfulTarget} })
	})
	load.Go(func() {
		sound = s.sendRepeatedly(20*time.Millisecond, duration, func(n int) siteRequest {
			return siteRequest{path: []string{"/status/same", fmt.Sprint("/status/", n)}[n%2]}
		})
	})
	load.Wait()
	ends := desks.ends()
	require.NotEmpty(t, ends, "a desk ended")
	t.Logf("%d desks ended, %d harmful calls", len(ends), len(harmful))
	assert.LessOrEqual(t, len(ends), tolerableEnds)
	known := ends[min(len(ends), crashesUntilKnown)-1].Add(3 * time.Second)
	assert.LessOrEqual(t, desks.harmfulArrivals(known), toleratedArrivals)
	served, later := countServed(sound, known)
	t.Logf("%d of %d sound calls were served once it was known", served, later)
	assert.Greater(t, later, 100)
	assert.GreaterOrEqual(t, float64(served), soundShare*float64(later))
	for _, r := range harmful {
		assert.False(t, r.served())
		if r.response.status == http.StatusServiceUnavailable {
			assert.Empty(t, s.runsOf(r.response.attempt), "a refusal is truly not run")
			assert.NotEmpty(t, r.response.header.Get("Retry-After"))
			assert.Less(t, r.response.elapsed, time.Second, "at once")
		}
	}
}

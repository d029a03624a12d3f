package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// toleratedEnds is the number of ends of engines after which the VMs must have found the part that causes them, and
	// findPeriod the time that they have for it.
	toleratedEnds = 5
	findPeriod    = 3 * time.Second
	// toleratedArrivals is the number of requests with the part that may reach an engine afterwards.
	toleratedArrivals = 3
	// harmfulInterval and soundInterval are the times between two requests of each kind.
	harmfulInterval = 150 * time.Millisecond
	soundInterval   = 60 * time.Millisecond
)

func hasHarmfulPart(h http.Header) bool {
	return strings.Contains(h.Get(standin.HeaderParts), harmfulPart)
}

// promptRequest returns a generation request whose prompt begins with the parts and ends with one of its own.
func promptRequest(path, parts string, n int) siteRequest {
	r := streamRequest(path)
	r.header[standin.HeaderParts] = fmt.Sprintf("%s,own%d:4500", parts, n)
	return r
}

// TestSitePromptPartEndsEngineAfterEngine guards against a part of the prompt that is sent to one engine after another
// and ends each.
func TestSitePromptPartEndsEngineAfterEngine(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	engines := newRestartingEngines(s, 4)
	var sound, harmful []sentRequest
	var load sync.WaitGroup
	const duration = 13 * time.Second
	load.Go(func() {
		harmful = s.sendRepeatedly(harmfulInterval, duration, func(n int) siteRequest {
			return promptRequest([]string{"/review/a", "/check/a"}[n%2], "5a5a:200,"+harmfulPart+":300", n)
		})
	})
	load.Go(func() {
		sound = s.sendRepeatedly(soundInterval, duration, func(n int) siteRequest {
			return promptRequest("/review/a", "5a5a:200,"+[]string{"c0de", "feed"}[n%2]+":300", n)
		})
	})
	load.Wait()
	ends := engines.ends()
	require.NotEmpty(t, ends, "an engine ended")
	found := ends[min(len(ends), toleratedEnds)-1]
	arrivals := engines.harmfulArrivals(found.Add(findPeriod))
	t.Logf("%d engines ended, %d requests reached engines afterwards", len(ends), arrivals)
	assert.LessOrEqual(t, arrivals, toleratedArrivals)
	served, later := countServed(sound, found.Add(2*findPeriod))
	t.Logf("%d of %d sound requests were served", served, later)
	assert.Greater(t, later, 20)
	assert.GreaterOrEqual(t, served, later/2, "requests that share the first part and the account are served")
	for _, r := range harmful {
		assert.False(t, r.served())
		if r.response.status == http.StatusServiceUnavailable {
			assert.Empty(t, s.runsOf(r.response.attempt), "a refusal is truly not run")
		}
	}
}

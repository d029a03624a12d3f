package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteOddStatusReachesACaller guards against a status that HTTP does not have, or that was not asked for, which reaches a caller, or
// ends its connection without an answer.
func TestSiteOddStatusReachesACaller(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.updateEntry("s-0", "state", "draining")
	s.updateEntry("s-1", "state", "draining")
	statuses := make(chan string, 1)
	s.startRawReplica("r-0", deskService, "", func() func(*http.Request) string {
		return func(r *http.Request) string {
			attempt := r.Header.Get(standin.HeaderAttempt)
			return strings.Replace(rawAnswer(attempt, "r-0", standin.ServiceAnswer(attempt)), "200 OK", <-statuses, 1)
		}
	})
	time.Sleep(maxSitePropagationDelay)
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		for _, r := range []siteRequest{{path: "/status/a"}, {method: http.MethodPost, path: "/release/a"}} {
			t.Run(status+" "+r.path, func(t *testing.T) {
				statuses <- status + " Odd"
				a := s.send(s.vms[0], r)
				require.NoError(t, a.err)
				assert.Equal(t, http.StatusBadGateway, a.status, a.body)
				assert.Empty(t, a.header.Get(standin.HeaderSignature), "our own answer")
			})
			time.Sleep(100 * time.Millisecond)
		}
	}
	assert.Empty(t, s.logLines(s.vms[0], "panic"))
}

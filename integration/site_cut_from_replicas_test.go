package integration

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// cutRequests are requests of each kind.
func cutRequests() []siteRequest {
	return []siteRequest{{path: "/status/1"}, {method: http.MethodPost, path: "/release/1", body: "a sheet"}, streamRequest("/review/1"), streamRequest("/check/1")}
}

// sendAll sends a number of requests of each kind to a VM, one after the other at an interval, and returns the answers.
func (s *site) sendAll(v *gatewayVM, rounds int, interval time.Duration) []siteResponse {
	var wg sync.WaitGroup
	answers := make([]siteResponse, rounds*len(cutRequests()))
	for n := range answers {
		r := cutRequests()[n%len(cutRequests())]
		r.timeout = 1500 * time.Millisecond
		wg.Go(func() { answers[n] = s.send(v, r) })
		time.Sleep(interval)
	}
	wg.Wait()
	return answers
}

// served returns how many answers are complete successes of replicas, each after exactly one run.
func (s *site) served(t *testing.T, answers []siteResponse) int {
	t.Helper()
	count := 0
	for _, a := range answers {
		if a.status != http.StatusOK || !a.complete {
			t.Logf("%s: status %d, %v after %v: %.150s", a.attempt, a.status, a.err, a.elapsed, a.body)
			continue
		}
		assert.Len(t, s.runsOf(a.attempt), 1, a.attempt)
		count++
	}
	return count
}

// TestSiteVMCutFromReplicasServesNobody guards against a VM that has lost the way to all replicas, which its peers still reach, and
// serves none of its callers.
func TestSiteVMCutFromReplicasServesNobody(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]cutKind{"silently": cutSilently, "refused": cutByRefusal, "reset": cutByReset} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			v, links := s.startInside("vm-cut")
			s.sendAll(v, 5, 10*time.Millisecond)
			links.setCut(kind)
			s.sendAll(v, 5, 50*time.Millisecond)
			answers := s.sendAll(v, 10, 20*time.Millisecond)
			assert.GreaterOrEqual(t, s.served(t, answers), len(answers)*95/100, "served from one second after the cut")
			links.setCut(notCut)
			time.Sleep(2 * time.Second)
			answers = s.sendAll(v, 5, 20*time.Millisecond)
			assert.Equal(t, len(answers), s.served(t, answers), "served after the cut")
		})
	}
}

package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteRestartedReplicasAnswersAreCut guards against whole answers without framing that look cut, because their replica has started again
// under its ID before the request and the list of replicas does not name the new process yet.
func TestSiteRestartedReplicasAnswersAreCut(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	listener := listen(t)
	answer := func(r *http.Request) string {
		return unframedEvents(r.Header.Get(standin.HeaderAttempt), streamBody(r.Header.Get(standin.HeaderAttempt), 3))
	}
	restarting := &proxiedReplica{}
	s.listReplica(restarting.restart("restarting", answer), engineService, listener.Addr().String())
	go restarting.serve(listener)
	s.removeReplicas("d-0", "d-1")
	for range requestsForEachEngine {
		assertStartOfStream(t, s.send(s.vms[0], streamRequest("/review/a")), 3, true)
	}
	process := restarting.restart("restarting", answer)
	listed := time.AfterFunc(entryDelay, func() { s.listReplica(process, engineService, listener.Addr().String()) })
	t.Cleanup(func() { listed.Stop() })
	whole := 0
	for _, a := range sendTogether(t, requestsForEachEngine, func(int) siteResponse { return s.send(s.vms[0], streamRequest("/review/a")) }) {
		if a.status == http.StatusOK && a.complete && a.body == streamBody(a.attempt, 3) {
			whole++
		}
	}
	assert.Equal(t, requestsForEachEngine, whole)
}

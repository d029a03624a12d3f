package integration

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteReplacedReplicaCompletesAnAnswer guards against an answer without framing that looks complete when its replica is killed in the
// middle of it, and something else accepts connections at its address at once.
func TestSiteReplacedReplicaCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	restarts := map[string]func(*mortalReplica){
		"same ID": (*mortalReplica).restartUnderSameID, "new ID": (*mortalReplica).restartUnderNewID, "proxy": (*mortalReplica).leaveProxy}
	kinds := map[string]struct {
		service, stage, path, contentType string
		request                           siteRequest
	}{
		"plain answer":     {service: deskService, contentType: "text/plain", request: siteRequest{path: "/status/a"}},
		"stream":           {service: engineService, stage: "decode", contentType: "text/event-stream", request: streamRequest("/review/a")},
		"resumable stream": {service: engineService, stage: "decode", contentType: "text/event-stream", request: streamRequest("/check/a")},
	}
	for kindName, kind := range kinds {
		for restartName, restart := range restarts {
			t.Run(kindName+", "+restartName, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 1)
				var answered atomic.Bool
				m := &mortalReplica{service: kind.service, restart: restart, answer: func(process standin.Process, r *http.Request) string {
					if answered.Swap(true) {
						return ""
					}
					body := "the first half"
					if kind.stage != "" {
						body = eventsOf(r.Header.Get(standin.HeaderAttempt), 1, 2)
					}
					return unframedStart(process, r, kind.contentType, body)
				}}
				s.startMortal(m, "mortal", kind.stage)
				s.removeReplicas("s-0", "s-1", "d-0", "d-1")
				a := s.send(s.vms[0], kind.request)
				assert.Equal(t, http.StatusOK, a.status, a.body)
				assert.False(t, a.complete, "the answer is not whole: %q", a.body)
			})
		}
	}
}

// TestSiteLivingReplicasAnswersAreCut guards against an answer without framing of a replica that lives on, which is whole and looks cut.
func TestSiteLivingReplicasAnswersAreCut(t *testing.T) {
	t.Parallel()
	const count, events = 1000, 4
	var replicas []replicaSpec
	for _, spec := range defaultReplicas() {
		spec.WorkDuration, spec.Events = time.Millisecond, events
		replicas = append(replicas, spec)
	}
	s := newSiteWithReplicas(t, 1, replicas)
	s.setAllFaults(standin.ReplicaFaults{Unframed: true})
	for _, path := range []string{"/status/a", "/review/a", "/check/a"} {
		whole := 0
		for _, a := range sendTogether(t, count, func(int) siteResponse { return s.send(s.vms[0], streamRequest(path)) }) {
			if a.status == http.StatusOK && a.complete && (a.body == streamBody(a.attempt, events) || a.body == standin.ServiceAnswer(a.attempt)) {
				whole++
			}
		}
		assert.Equal(t, count, whole, path)
	}
}

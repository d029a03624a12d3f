package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// startMortalReplica starts a replica that writes the start of an answer without framing, is killed and does not come back.
func (s *site) startMortalReplica(id, service, stage, contentType, start string) {
	s.startMortal(&mortalReplica{service: service, restart: func(*mortalReplica) {}, answer: func(process standin.Process, r *http.Request) string {
		return unframedStart(process, r, contentType, start)
	}}, id, stage)
}

// TestSiteKilledReplicaCompletesAnAnswer guards against an answer without framing that looks complete when its replica is killed between
// two events, or anywhere in a plain answer: the kernel ends its connections in an orderly way.
func TestSiteKilledReplicaCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]struct{ service, stage, path, contentType, start string }{
		"plain answer": {deskService, "", "/status/a", "text/plain", "the first half"},
		"stream":       {engineService, "decode", "/review/a", "text/event-stream", eventsOf("a", 1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			for _, id := range []string{"s-0", "s-1", "d-0", "d-1"} {
				s.store.PutReplica(id, nil)
			}
			s.startMortalReplica("mortal", kind.service, kind.stage, kind.contentType, kind.start)
			time.Sleep(maxSitePropagationDelay)
			a := s.send(s.vms[0], streamRequest(kind.path))
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.False(t, a.complete, "the answer is not whole: %q", a.body)
		})
	}
	t.Run("stream that is resumed", func(t *testing.T) {
		t.Parallel()
		s := newSite(t, 1)
		s.store.PutReplica("d-1", nil)
		const attempt = "goes-on-elsewhere"
		s.updateEntry("d-0", "state", "draining") // no other engine can go on
		s.startMortalReplica("mortal", engineService, "decode", "text/event-stream", eventsOf(attempt, 1, 2))
		time.Sleep(maxSitePropagationDelay)
		r := streamRequest("/check/a")
		r.attempt = attempt
		answered := make(chan siteResponse, 1)
		go func() { answered <- s.send(s.vms[0], r) }()
		s.eventually(5*time.Second, "the stream has begun", func() bool { return len(s.logLines(s.vms[0], "Event=placed", attempt)) > 0 })
		assert.False(t, (<-answered).complete)
	})
}

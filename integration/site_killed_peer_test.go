package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteKilledPeerCompletesAnAnswer guards against an answer without framing that comes through a peer and looks complete when that peer
// is killed: the kernel ends its connections in an orderly way.
func TestSiteKilledPeerCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	for name, kind := range map[string]struct{ service, stage, path, contentType, start string }{
		"plain answer": {deskService, "", "/status/a", "text/plain", "the first half"},
		"stream":       {engineService, "decode", "/review/a", "text/event-stream", eventsOf("a", 1, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			v, links := s.startInside("vm-cut")
			for _, id := range []string{"s-0", "s-1", "d-0", "d-1"} {
				s.store.PutReplica(id, nil)
			}
			s.startRawReplica("raw", kind.service, kind.stage, func() func(*http.Request) string {
				return func(r *http.Request) string {
					return "HTTP/1.1 200 OK\r\n" + standin.HeaderAttempt + ": " + r.Header.Get(standin.HeaderAttempt) + "\r\n" +
						standin.HeaderSignature + ": by r\r\nContent-Type: " + kind.contentType + "\r\n\r\n" + kind.start
				}
			})
			links.setCut(cutByRefusal)
			time.Sleep(maxSitePropagationDelay)
			request := streamRequest(kind.path)
			request.attempt = "through-a-peer"
			answered := make(chan siteResponse, 1)
			go func() { answered <- s.send(v, request) }()
			s.eventually(5*time.Second, "the answer has begun through a peer", func() bool {
				return len(s.logLines(s.vms[0], "Event=connection-opened-for-peer", request.attempt))+
					len(s.logLines(s.vms[1], "Event=connection-opened-for-peer", request.attempt)) > 0
			})
			time.Sleep(300 * time.Millisecond)
			for _, peer := range s.vms[:2] {
				if len(s.logLines(peer, "Event=connection-opened-for-peer", request.attempt)) > 0 {
					s.kill(peer)
				}
			}
			a := <-answered
			assert.True(t, strings.HasPrefix(kind.start, a.body), a.body)
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.False(t, a.complete, "the answer is not whole: %q", a.body)
		})
	}
}

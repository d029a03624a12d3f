package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

// strayAnswer is the answer to a status check, which names no attempt.
const strayAnswer = "HTTP/1.1 200 OK\r\nInstance-Id: r-0\r\nInstance-Load: 0,0,8\r\nContent-Length: 0\r\n\r\n"

// TestSiteStrayAnswerReachesACaller guards against an answer without an attempt ID, which belongs to no request, that is passed
// on to the caller whose request is next on its connection.
func TestSiteStrayAnswerReachesACaller(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.updateEntry("s-0", "state", "draining")
	s.updateEntry("s-1", "state", "draining")
	s.startRawReplica("r-0", deskService, "", func() func(*http.Request) string {
		return func(r *http.Request) string {
			attempt := r.Header.Get(standin.HeaderAttempt)
			return strayAnswer + rawAnswer(attempt, "r-0", standin.ServiceAnswer(attempt))
		}
	})
	time.Sleep(maxSitePropagationDelay)
	for n := range 5 {
		t.Run(fmt.Sprint("request ", n), func(t *testing.T) {
			a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: "/release/a"})
			assertResponse(t, a, standin.ServiceAnswer(a.attempt))
		})
	}
}

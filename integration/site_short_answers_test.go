package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteStreamOfAnnouncedLengthEndsInsideAnEvent guards against a stream that ends inside an event and looks complete, because it has the
// length that its replica announced.
func TestSiteStreamOfAnnouncedLengthEndsInsideAnEvent(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/review/a", "/check/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSiteOfRawEngines(t, func(attempt, lastEvent string) string {
				if lastEvent == "" {
					return rawAnswer(attempt, "r", eventsOf(attempt, 1, 2)+"id: 3\ndata: ")
				}
				return rawFailure(attempt, "500 Internal Server Error", "cannot go on")
			})
			a := s.send(s.vms[0], streamRequest(path))
			assert.Equal(t, http.StatusOK, a.status, a.body)
			assert.False(t, a.complete, "the stream is not whole: %q", a.body)
		})
	}
}

// TestSiteStreamOfAnnouncedLengthIsCut guards against a whole stream of announced length that looks cut.
func TestSiteStreamOfAnnouncedLengthIsCut(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, _ string) string { return rawAnswer(attempt, "r", eventsOf(attempt, 1, 2, 3)) })
	for _, path := range []string{"/review/a", "/check/a"} {
		assertStartOfStream(t, s.send(s.vms[0], streamRequest(path)), 3, true)
	}
}

// TestSiteEmptyAnswerEndsAResumedStream guards against a caller that resumes a stream and gets a complete answer without an event from one
// replica, although another one has the rest.
func TestSiteEmptyAnswerEndsAResumedStream(t *testing.T) {
	t.Parallel()
	empty := map[string]func(attempt string) string{
		"in chunks":       func(attempt string) string { return rawEvents(attempt, "") + lastChunk },
		"of no length":    func(attempt string) string { return rawAnswer(attempt, "r", "") },
		"without framing": func(attempt string) string { return unframedEvents(attempt, "") },
	}
	for name, answer := range empty {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSiteWithReplicas(t, 1, append(defaultReplicas()[:2], defaultReplicas()[4:]...))
			var answeredEmpty atomic.Int64
			for n := range 2 {
				s.startRawReplica(fmt.Sprint("r-", n), engineService, "decode", func() func(*http.Request) string {
					return func(r *http.Request) string {
						attempt := r.Header.Get(standin.HeaderAttempt)
						if n == 0 {
							answeredEmpty.Add(1)
							return answer(attempt)
						}
						return rawEvents(attempt, eventsOf(attempt, 3, 4)) + lastChunk
					}
				})
			}
			time.Sleep(maxSitePropagationDelay)
			for range requestsForEachEngine {
				r := streamRequest("/check/a")
				r.header["Last-Event-Id"] = "2"
				a := s.send(s.vms[0], r)
				if a.status == http.StatusOK && a.complete {
					assert.Equal(t, 2, strings.Count(a.body, "id: "), "the stream is not whole: %q", a.body)
				}
			}
			assert.Positive(t, answeredEmpty.Load())
		})
	}
}

// TestSiteStreamThatIsWholeIsTakenUp guards against a caller that takes up a stream of which nothing is left, and that never gets its end.
func TestSiteStreamThatIsWholeIsTakenUp(t *testing.T) {
	t.Parallel()
	s := newSiteWithReplicas(t, 1, append(defaultReplicas()[:2], defaultReplicas()[4:]...))
	for n := range 2 {
		s.startRawReplica(fmt.Sprint("r-", n), engineService, "decode", func() func(*http.Request) string {
			return func(r *http.Request) string { return rawEvents(r.Header.Get(standin.HeaderAttempt), "") + lastChunk }
		})
	}
	time.Sleep(maxSitePropagationDelay)
	for range requestsForEachEngine {
		r := streamRequest("/check/a")
		r.header["Last-Event-Id"] = "2"
		a := s.send(s.vms[0], r)
		assert.Equal(t, http.StatusOK, a.status)
		assert.True(t, a.complete)
		assert.Empty(t, a.body)
	}
}

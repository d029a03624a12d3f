package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// copyingEngines are decode engines that refuse each attempt once, as full ones do, and send a second copy of each refusal
// late: before the next answer on its connection.
type copyingEngines struct {
	site *site

	mu      sync.Mutex
	refused map[string]bool
	// ran holds the number of runs of each attempt.
	ran map[string]int
}

// newCopyingEngines replaces the decode engines of s by count copying ones.
func newCopyingEngines(s *site, count int) *copyingEngines {
	e := &copyingEngines{site: s, refused: map[string]bool{}, ran: map[string]int{}}
	for _, id := range []string{"d-0", "d-1"} {
		s.updateEntry(id, "state", "draining")
	}
	for n := range count {
		e.start(fmt.Sprint("c-", n))
	}
	return e
}

func (e *copyingEngines) start(id string) {
	e.site.startRawReplica(id, engineService, "decode", func() func(*http.Request) string {
		late := ""
		return func(r *http.Request) string {
			before := late
			attempt := r.Header.Get(standin.HeaderAttempt)
			if e.refuses(id, attempt) {
				late = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", standin.HeaderAttempt, attempt)
				return before + late
			}
			late = ""
			return before + rawAnswer(attempt, id, streamBody(attempt, 3))
		}
	})
}

// rawAnswer returns the bytes of a whole answer.
func rawAnswer(attempt, replica, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: by %s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s",
		standin.HeaderAttempt, attempt, standin.HeaderSignature, replica, len(body), body)
}

// refuses reports whether an engine refuses an attempt, which it does once. Otherwise the attempt runs.
func (e *copyingEngines) refuses(id, attempt string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if key := id + "/" + attempt; !e.refused[key] {
		e.refused[key] = true
		return true
	}
	e.ran[attempt]++
	return false
}

// TestSiteLateCopyOfARefusalMakesARequestRunTwice guards against the second copy of a refusal that is taken for the answer to
// the next try, so that the request, which runs, is sent elsewhere or reported as not run.
func TestSiteLateCopyOfARefusalMakesARequestRunTwice(t *testing.T) {
	t.Parallel()
	for _, engines := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			s := newSite(t, 1)
			e := newCopyingEngines(s, engines)
			time.Sleep(maxSitePropagationDelay)
			for range 5 {
				r := streamRequest("/review/a")
				r.timeout = 5 * time.Second
				a := s.send(s.vms[0], r)
				e.mu.Lock()
				runs := e.ran[a.attempt]
				e.mu.Unlock()
				if a.status == http.StatusServiceUnavailable {
					assert.Zero(t, runs, "a refused attempt has not run")
				} else {
					assertResponse(t, a, streamBody(a.attempt, 3))
					assert.Equal(t, 1, runs)
				}
			}
			assert.NotEmpty(t, e.ran, "the engines ran requests after their refusals")
		})
	}
}

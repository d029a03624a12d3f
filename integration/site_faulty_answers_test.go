package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteAnswerCutInItsHeadLooksComplete guards against an answer that ends in the middle of its head and reaches the caller as
// a success with an empty or short body.
func TestSiteAnswerCutInItsHeadLooksComplete(t *testing.T) {
	t.Parallel()
	for _, kind := range []struct{ service, stage, path string }{{deskService, "", "/release/a"}, {engineService, "decode", "/review/a"}} {
		t.Run(kind.service, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			for _, id := range []string{"s-0", "s-1", "d-0", "d-1"} {
				s.updateEntry(id, "state", "draining")
			}
			var cutAt atomic.Int64
			headBytes := len(rawAnswer("attempt-000", "r-0", ""))
			s.startRawReplica("r-0", kind.service, kind.stage, func() func(*http.Request) string {
				return func(r *http.Request) string {
					answer := rawAnswer(r.Header.Get(standin.HeaderAttempt), "r-0", "a body")
					return answer[:min(int(cutAt.Load()), strings.Index(answer, "\r\n\r\n")+3)] + rawCut
				}
			})
			time.Sleep(maxSitePropagationDelay)
			for n := range headBytes {
				cutAt.Store(int64(n))
				a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: kind.path, body: "x", header: map[string]string{standin.HeaderTokens: "100,10"}})
				assert.False(t, a.status == http.StatusOK && a.complete, "cut after %d bytes: %+v", n, a)
				assert.NotEqual(t, http.StatusServiceUnavailable, a.status, "the request may have run")
			}
		})
	}
}

// TestSiteErrorOfTheNextReplicaInsideAStream guards against a stream that breaks off and continues with the text or the head of
// an error of the replica that was asked next, or ends as if it were complete.
func TestSiteErrorOfTheNextReplicaInsideAStream(t *testing.T) {
	t.Parallel()
	const text = "no such handle"
	answers := map[string]func(attempt string) string{
		"not found":    func(a string) string { return rawFailure(a, "404 Not Found", text) },
		"server error": func(a string) string { return rawFailure(a, "500 Internal Server Error", text) },
		"unframed failure": func(a string) string {
			return "HTTP/1.1 500 No\r\n" + standin.HeaderAttempt + ": " + a + "\r\n\r\n" + text + rawCut
		},
		"refusal": func(a string) string {
			return strings.Replace(rawFailure(a, "503 Full", text), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
		},
		"no content": func(a string) string {
			return "HTTP/1.1 204 No Content\r\n" + standin.HeaderAttempt + ": " + a + "\r\n\r\n"
		},
		"head cut":           func(a string) string { return "HTTP/1.1 500 Internal" + rawCut },
		"not an event":       func(a string) string { return rawAnswer(a, "r", text) },
		"events without IDs": func(a string) string { return rawAnswer(a, "r", "data: "+text+"\n\n") },
		"no event":           func(a string) string { return rawEvents(a, "") + lastChunk },
		"another attempt's":  func(a string) string { return rawAnswer("other", "r", streamBody("other", 3)) },
	}
	for name, answer := range answers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			s.updateEntry("d-0", "state", "draining")
			s.updateEntry("d-1", "state", "draining")
			for n := range 2 {
				s.startRawReplica(fmt.Sprint("r-", n), engineService, "decode", func() func(*http.Request) string {
					return func(r *http.Request) string {
						attempt := r.Header.Get(standin.HeaderAttempt)
						if r.Header.Get("Last-Event-Id") != "" {
							return answer(attempt)
						}
						begun := streamBody(attempt, 3)
						return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: by r\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", standin.HeaderAttempt, attempt, standin.HeaderSignature, len(begun), begun) + rawCut
					}
				})
			}
			time.Sleep(maxSitePropagationDelay)
			for range 3 {
				a := s.send(s.vms[0], streamRequest("/check/a"))
				assert.False(t, a.complete, "the stream is not whole: %q", a.body)
				assert.True(t, strings.HasPrefix(streamBody(a.attempt, 3), a.body), "only events of the stream: %q", a.body)
			}
		})
	}
}

func rawFailure(attempt, status, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\n%s: by r\r\nContent-Length: %d\r\n\r\n%s", status, standin.HeaderAttempt, attempt, standin.HeaderSignature, len(body), body)
}

// TestSiteEarlierRefusalAnswersTheNextCall guards against the second copy of a refusal on a kept connection that is taken for the
// answer to the next call of a plain service, which has run.
func TestSiteEarlierRefusalAnswersTheNextCall(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.updateEntry("s-0", "state", "draining")
	s.updateEntry("s-1", "state", "draining")
	var mu sync.Mutex
	ran := map[string]int{}
	for n := range 2 {
		id := fmt.Sprint("r-", n)
		s.startRawReplica(id, deskService, "", func() func(*http.Request) string {
			late, answered := "", 0
			return func(r *http.Request) string {
				attempt, before := r.Header.Get(standin.HeaderAttempt), late
				answered++
				if answered%2 == 1 {
					late = strings.Replace(rawFailure(attempt, "503 Full", ""), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
					return before + late
				}
				late = ""
				mu.Lock()
				ran[attempt]++
				mu.Unlock()
				return before + rawAnswer(attempt, id, standin.ServiceAnswer(attempt))
			}
		})
	}
	time.Sleep(maxSitePropagationDelay)
	served := 0
	for range 40 {
		a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: "/release/a", keepAlive: true})
		mu.Lock()
		runs := ran[a.attempt]
		mu.Unlock()
		assert.LessOrEqual(t, runs, 1)
		if a.status == http.StatusOK {
			served++
			assertResponse(t, a, standin.ServiceAnswer(a.attempt))
		} else {
			assert.Equal(t, http.StatusServiceUnavailable, a.status)
			assert.Zero(t, runs, "a refused call has not run")
		}
	}
	assert.NotZero(t, served)
}

package integration

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// rawEvents returns the head of a stream in chunks and its first chunk, if there are events. The stream is not ended.
func rawEvents(attempt, events string) string {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: by r\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		standin.HeaderAttempt, attempt, standin.HeaderSignature)
	if events == "" {
		return head
	}
	return head + fmt.Sprintf("%x\r\n%s\r\n", len(events), events)
}

// rawEvent returns an event of an attempt, without an ID if n is 0.
func rawEvent(attempt string, n int) string {
	if n == 0 {
		return fmt.Sprintf("data: %s\n\n", attempt)
	}
	return standin.StreamEvent(attempt, n)
}

// eventsOf returns the events of an attempt with the given numbers.
func eventsOf(attempt string, numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		b.WriteString(rawEvent(attempt, n))
	}
	return b.String()
}

// startRawEngines starts two decode engines that answer what answer returns for an attempt and the last event that its caller has.
func (s *site) startRawEngines(answer func(attempt, lastEvent string) string) {
	for n := range 2 {
		s.startRawReplica(fmt.Sprint("r-", n), engineService, "decode", func() func(*http.Request) string {
			return func(r *http.Request) string {
				return answer(r.Header.Get(standin.HeaderAttempt), r.Header.Get("Last-Event-Id"))
			}
		})
	}
	time.Sleep(maxSitePropagationDelay)
}

// newSiteOfRawEngines starts a VM whose decode engines all answer what answer returns.
func newSiteOfRawEngines(t *testing.T, answer func(attempt, lastEvent string) string) *site {
	t.Helper()
	s := newSiteWithReplicas(t, 1, append(defaultReplicas()[:2], defaultReplicas()[4:]...))
	s.startRawEngines(answer)
	return s
}

// assertStartOfStream checks that a caller got the first events of its stream, each once and in order, and whether the stream is complete.
func assertStartOfStream(t *testing.T, a siteResponse, events int, complete bool) {
	t.Helper()
	assert.Equal(t, http.StatusOK, a.status, a.body)
	assert.Equal(t, streamBody(a.attempt, events), a.body)
	assert.Equal(t, complete, a.complete, "complete: %v", a.err)
}

// assertNotServed checks that a caller got no complete success: a stream that breaks off, or an error.
func assertNotServed(t *testing.T, a siteResponse) {
	t.Helper()
	assert.False(t, a.complete && a.status == http.StatusOK, a.body)
}

// TestSiteResumedStreamGoesBack guards against a stream that goes on with events which its caller already has, or which leave some out,
// because the next replica does not go on after the last event that it is told of.
func TestSiteResumedStreamGoesBack(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		name string
		next []int
		// events is the number of events that the caller gets, and complete whether as a complete stream.
		events   int
		complete bool
	}{
		{"goes on", []int{3, 4}, 4, true},
		{"begins anew", []int{1, 2, 3, 4}, 2, false},
		{"begins with the last event", []int{2, 3, 4}, 2, false},
		{"leaves an event out", []int{4}, 2, false},
		{"goes on without IDs", []int{0, 0}, 2, false},
		{"sends nothing", nil, 2, false},
		{"goes back later", []int{3, 2, 4}, 3, false},
		{"repeats an event later", []int{3, 3, 4}, 3, false},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			s := newSiteOfRawEngines(t, func(attempt, lastEvent string) string {
				if lastEvent == "" {
					return rawEvents(attempt, eventsOf(attempt, 1, 2)+"id: 3\ndata: ") + rawCut
				}
				return rawEvents(attempt, eventsOf(attempt, scenario.next...)) + lastChunk
			})
			assertStartOfStream(t, s.send(s.vms[0], streamRequest("/check/a")), scenario.events, scenario.complete)
		})
	}
}

// TestSiteStreamWithoutIDsIsJoined guards against a stream without event IDs that breaks off and is joined with a second run, whose
// events come from its beginning.
func TestSiteStreamWithoutIDsIsJoined(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, _ string) string {
		return rawEvents(attempt, eventsOf(attempt, 0, 0)+"data: ") + rawCut
	})
	a := s.send(s.vms[0], streamRequest("/check/a"))
	assert.False(t, a.complete)
	assert.Equal(t, eventsOf(a.attempt, 0, 0), a.body)
}

// TestSiteStreamOutOfOrderLooksComplete guards against a stream of one replica whose events come out of order and that reaches its
// caller as a complete one.
func TestSiteStreamOutOfOrderLooksComplete(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, _ string) string {
		return rawEvents(attempt, eventsOf(attempt, 1, 3, 2)) + lastChunk
	})
	for _, path := range []string{"/check/a", "/review/a"} {
		t.Run(path, func(t *testing.T) {
			a := s.send(s.vms[0], streamRequest(path))
			assertNotServed(t, a)
			assert.NotContains(t, a.body, "id: 2\n")
		})
	}
}

// TestSiteFramedStreamThatEndsInsideAnEventIsNotComplete guards against a stream that its replica ends in an orderly way inside an event,
// and that reaches its caller as a complete one.
func TestSiteFramedStreamThatEndsInsideAnEventIsNotComplete(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, lastEvent string) string {
		if lastEvent == "1" {
			return rawEvents(attempt, eventsOf(attempt, 2, 3)) + lastChunk
		}
		return rawEvents(attempt, eventsOf(attempt, 1)+"id: 2\ndata: ") + lastChunk
	})
	t.Run("resumed", func(t *testing.T) {
		assertStartOfStream(t, s.send(s.vms[0], streamRequest("/check/a")), 3, true)
	})
	t.Run("not resumable", func(t *testing.T) {
		a := s.send(s.vms[0], streamRequest("/review/a"))
		assert.False(t, a.complete, a.body)
	})
}

// TestSiteCallerResumesAndGoesBack guards against a caller that resumes a stream and gets events which it already has, or which leave some
// out.
func TestSiteCallerResumesAndGoesBack(t *testing.T) {
	t.Parallel()
	answer := func(attempt, lastEvent string) string {
		switch lastEvent {
		case "1":
			return rawEvents(attempt, eventsOf(attempt, 2, 3)) + lastChunk
		case "2":
			return rawEvents(attempt, eventsOf(attempt, 1, 2, 3)) + lastChunk
		}
		return rawEvents(attempt, eventsOf(attempt, 7, 8)) + lastChunk
	}
	s := newSiteOfRawEngines(t, answer)
	s.store.PutReplica("x-0", nil)
	s.startRawReplica("s-raw", spareService, "", func() func(*http.Request) string {
		return func(r *http.Request) string {
			return answer(r.Header.Get(standin.HeaderAttempt), r.Header.Get("Last-Event-Id"))
		}
	})
	s.configure(func(c *standin.Configuration) {
		c.Routes = append(c.Routes, standin.Route("feed", host, "/feed/", "streaming", spareService, map[string]any{"resumable": true, "maxAttempts": 2}))
	})
	time.Sleep(maxSitePropagationDelay)
	for _, path := range []string{"/check/a", "/feed/a"} {
		for _, scenario := range []struct {
			name, lastEvent string
			events          []int
			complete        bool
		}{
			{"goes on", "1", []int{2, 3}, true},
			{"begins anew", "2", nil, false},
			{"leaves events out", "3", nil, false},
		} {
			t.Run(scenario.name+" "+path, func(t *testing.T) {
				r := streamRequest(path)
				r.header["Last-Event-Id"] = scenario.lastEvent
				a := s.send(s.vms[0], r)
				assert.Equal(t, scenario.complete, a.complete && a.status == http.StatusOK, a.body)
				assert.True(t, strings.HasPrefix(a.body, eventsOf(a.attempt, scenario.events...)), a.body)
				assert.Equal(t, len(scenario.events), strings.Count(a.body, "id: "), a.body)
			})
		}
	}
}

package integration

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// unframedEvents returns a stream that only the end of its connection ends.
func unframedEvents(attempt, events string) string {
	return "HTTP/1.1 200 OK\r\n" + standin.HeaderAttempt + ": " + attempt + "\r\n" + standin.HeaderSignature + ": by r\r\nContent-Type: text/event-stream\r\n\r\n" + events + rawCut
}

// TestSiteUnframedSecondAnswerCompletesAStream guards against a stream in chunks that goes on with an answer without framing, is cut between
// two events and looks complete: the last chunk says more than the end of a connection.
func TestSiteUnframedSecondAnswerCompletesAStream(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, lastEvent string) string {
		if lastEvent == "" {
			return rawEvents(attempt, eventsOf(attempt, 1, 2)) + rawCut
		}
		return unframedEvents(attempt, eventsOf(attempt, 3))
	})
	assertStartOfStream(t, s.send(s.vms[0], streamRequest("/check/a")), 3, false)
}

// TestSiteTextAsLastEventEndsTheCheckForGaps guards against one caller who names a text as its last event and so makes all streams of the
// pool go on with events left out.
func TestSiteTextAsLastEventEndsTheCheckForGaps(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, lastEvent string) string {
		if lastEvent == "3" {
			return rawEvents(attempt, eventsOf(attempt, 7, 8)) + lastChunk
		}
		return rawEvents(attempt, eventsOf(attempt, 1, 2, 3)) + lastChunk
	})
	for _, lastEvent := range []string{"x", "3"} {
		r := streamRequest("/check/a")
		r.header["Last-Event-Id"] = lastEvent
		a := s.send(s.vms[0], r)
		if lastEvent == "3" {
			assertNotServed(t, a)
		}
	}
}

// TestSiteCallersLastEventEjectsReplicas guards against a caller that names an event which its replicas have not made, and whose requests
// take these replicas from others.
func TestSiteCallersLastEventEjectsReplicas(t *testing.T) {
	t.Parallel()
	s := newSiteOfRawEngines(t, func(attempt, _ string) string {
		return rawEvents(attempt, eventsOf(attempt, 1, 2, 3)) + lastChunk
	})
	for range 6 {
		r := streamRequest("/check/a")
		r.header["Last-Event-Id"] = "1000000"
		a := s.send(s.vms[0], r)
		assertNotServed(t, a)
		assert.Equal(t, http.StatusBadGateway, a.status)
	}
	assert.Empty(t, s.logLines(s.vms[0], "Event=replica-ejected"))
}

// TestSiteCompressedStreamLooksTruncated guards against a compressed stream in chunks that ends although it is whole: its bytes are no lines.
func TestSiteCompressedStreamLooksTruncated(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, id := range []string{"s-0", "s-1"} {
		s.store.PutReplica(id, nil)
	}
	const data = "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\xff compressed"
	s.startRawReplica("raw", deskService, "", func() func(*http.Request) string {
		return func(r *http.Request) string {
			answer := rawEvents(r.Header.Get(standin.HeaderAttempt), data) + lastChunk
			return strings.Replace(answer, "Content-Type", "Content-Encoding: gzip\r\nContent-Type", 1)
		}
	})
	time.Sleep(maxSitePropagationDelay)
	a := s.send(s.vms[0], siteRequest{path: "/status/a", header: map[string]string{"Accept-Encoding": "gzip"}})
	assert.True(t, a.complete, a.err)
	assert.Equal(t, data, a.body)
}

package integration

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteRefusedLateHeaderRuns guards against a request whose header is completed just as its time ends, and that runs although its caller
// gets 408, which promises that it has not.
func TestSiteRefusedLateHeaderRuns(t *testing.T) {
	t.Parallel()
	const (
		headerTimeout = 50 * time.Millisecond
		requests      = 800
		atATime       = 8
		spread        = 600 * time.Microsecond
	)
	s := newSite(t, 1)
	s.configure(func(c *standin.Configuration) { c.Limits["headerTimeoutMs"] = headerTimeout.Milliseconds() })
	time.Sleep(maxSitePropagationDelay)
	refused := make(chan string, requests)
	places := make(chan struct{}, atATime)
	var sent sync.WaitGroup
	for n := range requests {
		places <- struct{}{}
		sent.Go(func() {
			defer func() { <-places }()
			attempt := fmt.Sprint("late-", n)
			pause := headerTimeout - spread/2 + spread*time.Duration(n)/requests
			if strings.HasPrefix(s.sendInTwoParts(s.vms[0], attempt, pause), "HTTP/1.1 408") {
				refused <- attempt
			}
		})
	}
	sent.Wait()
	close(refused)
	count, ran := 0, 0
	for attempt := range refused {
		count++
		if len(s.runsOf(attempt)) > 0 {
			ran++
		}
	}
	assert.Positive(t, count)
	assert.Zero(t, ran, "of %d requests that were answered 408", count)
}

// sendInTwoParts sends a request that must not run twice, the end of its header after a pause, and returns the answer.
func (s *site) sendInTwoParts(v *gatewayVM, attempt string, pause time.Duration) string {
	conn, err := net.Dial("tcp", v.callers)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST /release/a HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\nConnection: close\r\n", host, standin.HeaderAttempt, attempt, schoolsKey)
	time.Sleep(pause)
	_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

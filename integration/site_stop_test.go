package integration

import (
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// stopGraceMillis is the Grace setting of the VMs that these tests stop.
	stopGraceMillis = 4000
	// lateInterval is the time between two requests after the signal, and lateRequests their number.
	lateInterval = 100 * time.Millisecond
	lateRequests = 24
)

// lateRequest is a request that is sent after its VM was told to stop.
type lateRequest struct {
	siteResponse
	sentAfter time.Duration
}

// newStopSite returns a site whose desk takes work for each request, with a VM to stop.
func newStopSite(t *testing.T, work time.Duration) (*site, *gatewayVM) {
	s := newSiteWithReplicas(t, 0, []replicaSpec{
		{standin.ReplicaConfig{ID: "s-0", WorkDuration: work}, deskService}, {standin.ReplicaConfig{ID: "s-1", WorkDuration: work}, deskService},
	})
	s.graceMillis = stopGraceMillis
	s.configure(func(c *standin.Configuration) { c.Routes[2]["timeoutMs"] = 14_000 })
	v := s.newVM("vm-0")
	s.start(v)
	s.eventually(10*time.Second, "the VM is ready", func() bool { return s.isReady(v) })
	time.Sleep(500 * time.Millisecond)
	return s, v
}

// stopBesideRequests sends SIGTERM to a VM, and requests that may run once, on new connections. It returns their responses.
func stopBesideRequests(s *site, v *gatewayVM) []lateRequest {
	v.signal(s.t, syscall.SIGTERM)
	signaledAt := time.Now()
	// A request that arrives before the VM has noticed the signal was taken before the stop.
	s.eventually(5*time.Second, "the VM stops", func() bool { return !s.isReady(v) })
	responses := make([]lateRequest, lateRequests)
	var callers sync.WaitGroup
	for n := range lateRequests {
		callers.Go(func() {
			sentAfter := time.Since(signaledAt)
			responses[n] = lateRequest{s.send(v, siteRequest{method: http.MethodPost, path: "/release/a", timeout: 14 * time.Second}), sentAfter}
		})
		time.Sleep(lateInterval)
	}
	callers.Wait()
	return responses
}

// assertAnsweredOrNotRun checks that each request got a whole answer, or a refusal or a closed port and has not run.
func assertAnsweredOrNotRun(t *testing.T, s *site, responses []lateRequest) {
	t.Helper()
	for _, a := range responses {
		if a.status == http.StatusOK {
			assert.True(t, a.complete, "%v after the signal: %v", a.sentAfter, a.err)
			continue
		}
		assert.Empty(t, s.runsOf(a.attempt), "%v after the signal: status %d, %v", a.sentAfter, a.status, a.err)
		if a.status == http.StatusServiceUnavailable {
			assert.True(t, a.closeConn, "a VM that stops asks its callers to close their connections")
			assert.NotEmpty(t, a.header.Get("Retry-After"))
		}
	}
}

// TestSiteStopCutsRequestsTakenLate guards against requests that are taken after SIGTERM although they cannot be done before
// the VM ends, and are then cut without an answer.
func TestSiteStopCutsRequestsTakenLate(t *testing.T) {
	t.Parallel()
	const work = 3 * time.Second
	inTime := func(a lateRequest) bool { return a.sentAfter < 300*time.Millisecond }
	t.Run("work times are known", func(t *testing.T) {
		t.Parallel()
		s, v := newStopSite(t, work)
		var callers sync.WaitGroup
		for range 6 {
			callers.Go(func() {
				assert.Equal(t, http.StatusOK, s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"}).status)
			})
		}
		callers.Wait()
		responses := stopBesideRequests(s, v)
		assertAnsweredOrNotRun(t, s, responses)
		for _, a := range responses {
			assert.True(t, !inTime(a) || a.status == http.StatusOK, "what can be done in time is taken: %v, %d", a.sentAfter, a.status)
		}
	})
	t.Run("no request has ended yet", func(t *testing.T) {
		t.Parallel()
		const longWork = 5 * time.Second
		s, v := newStopSite(t, longWork)
		var callers sync.WaitGroup
		callers.Go(func() {
			assert.Equal(t, http.StatusOK, s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"}).status)
		})
		time.Sleep(longWork - time.Second)
		assertAnsweredOrNotRun(t, s, stopBesideRequests(s, v))
		callers.Wait()
	})
	t.Run("short work is not refused", func(t *testing.T) {
		t.Parallel()
		s, v := newStopSite(t, 50*time.Millisecond)
		responses := stopBesideRequests(s, v)
		assertAnsweredOrNotRun(t, s, responses)
		for _, a := range responses {
			assert.True(t, a.status == http.StatusOK || a.err != nil, "%v after the signal: status %d %s", a.sentAfter, a.status, a.body)
		}
	})
}

// TestSiteStopClosesConnectionsWithoutAnAnswer guards against requests that outlast the stop of their VM and end with a closed
// connection in place of an answer.
func TestSiteStopClosesConnectionsWithoutAnAnswer(t *testing.T) {
	t.Parallel()
	s, v := newStopSite(t, time.Minute)
	answered := make(chan siteResponse, 1)
	go func() { answered <- s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"}) }()
	s.eventually(2*time.Second, "the request runs", func() bool { return len(s.replicas["s-0"].Runs())+len(s.replicas["s-1"].Runs()) == 1 })
	v.signal(t, syscall.SIGTERM)
	a := <-answered
	assert.Equal(t, http.StatusBadGateway, a.status, a.err)
	assert.True(t, strings.Contains(a.body, "stops"), a.body)
	assert.NoError(t, v.cmd.Wait(), "no request was cut")
}

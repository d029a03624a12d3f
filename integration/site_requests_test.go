package integration

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

func TestSiteServesEachKindOfRoute(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	for _, v := range s.vms {
		for _, path := range []string{"/review/a", "/check/a"} {
			a := s.send(v, streamRequest(path))
			assertResponse(t, a, streamBody(a.attempt, 20))
			assert.Len(t, s.runsOf(a.attempt), 1)
		}
		for _, path := range []string{"/release/a", "/status/a", "/open/a"} {
			a := s.send(v, siteRequest{path: path})
			assertResponse(t, a, standin.ServiceAnswer(a.attempt))
			assert.Len(t, s.runsOf(a.attempt), 1)
		}
	}
	assert.Zero(t, s.replicas["p-0"].HeldResults()+s.replicas["p-1"].HeldResults(), "all prefill results were fetched")
}

func TestSiteForwardsRequestsUnchanged(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	a := s.send(s.vms[0], siteRequest{method: "PATCH", path: "/release/a%2Fb//c?x=%20&y", body: "the body", timeout: 3 * time.Second, header: map[string]string{
		"X-Own": "kept", standin.HeaderAccount: "clinics", standin.HeaderReplica: "s-9", standin.HeaderHold: "h", standin.HeaderStage: "prefill", standin.HeaderPriority: "0", "Connection": "X-Gone", "X-Gone": "1"}})
	assertResponse(t, a, standin.ServiceAnswer(a.attempt))
	runs := s.runsOf(a.attempt)
	require.Len(t, runs, 1)
	run := runs[0]
	assert.Equal(t, "PATCH /release/a%2Fb//c?x=%20&y the body", strings.Join([]string{run.Method, run.Target, run.Body}, " "))
	assert.Equal(t, "kept", run.Header.Get("X-Own"))
	assert.Equal(t, "schools", run.Header.Get(standin.HeaderAccount), "the account header names the account of the key")
	for _, name := range []string{"Authorization", "X-Gone", standin.HeaderHold, standin.HeaderStage, standin.HeaderPriority} {
		assert.Empty(t, run.Header.Get(name), name)
	}
	assert.NotContains(t, fmt.Sprint(run.Header), schoolsKey)
	var left int
	_, err := fmt.Sscan(run.Header.Get(standin.HeaderTimeout), &left)
	assert.NoError(t, err)
	assert.InDelta(t, 2900, left, 100, "remaining time of the caller's timeout")
}

func TestSiteRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	v := s.vms[0]
	t.Run("non-idempotent request whose response is lost is not retried", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{LoseAnswer: true})
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{LoseAnswer: true})
		a := s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"})
		assert.Equal(t, http.StatusBadGateway, a.status, "502 does not promise that the request has not run")
		assert.Len(t, s.runsOf(a.attempt), 1)
	})
	t.Run("idempotent request is retried up to maxAttempts", func(t *testing.T) {
		a := s.send(v, siteRequest{path: "/status/a"})
		assert.Equal(t, http.StatusBadGateway, a.status)
		assert.Len(t, s.runsOf(a.attempt), 2)
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{})
		for range 3 {
			a := s.send(v, siteRequest{path: "/status/b"})
			assertResponse(t, a, standin.ServiceAnswer(a.attempt))
		}
	})
	t.Run("broken stream that is not resumable", func(t *testing.T) {
		s.replicas["d-0"].SetFaults(standin.ReplicaFaults{CutAfter: 5})
		s.replicas["d-1"].SetFaults(standin.ReplicaFaults{CutAfter: 5})
		a := s.send(v, streamRequest("/review/a"))
		assert.False(t, a.complete, "a broken stream must not look complete")
		assert.Len(t, s.runsOf(a.attempt), 1)
	})
}

// TestSiteRetriesStayWithinBudget guards against retries that amplify an overload: while all decode engines refuse,
// whatever arrives beyond one prefill and one decode per request must stay within the retry budget (ratio and slack) of
// the settings.
func TestSiteRetriesStayWithinBudget(t *testing.T) {
	t.Parallel()
	const callers, requestsPerCaller, ratio, slack = 10, 20, 0.2, 4
	const requests = callers * requestsPerCaller
	s := newSite(t, 0)
	s.retrySlack = slack
	v := s.newVM("vm-0")
	s.start(v)
	s.awaitServing(v)
	for _, id := range []string{"d-0", "d-1"} {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Refuse: true})
	}
	var workers sync.WaitGroup
	for range callers {
		workers.Go(func() {
			for range requestsPerCaller {
				s.assertNotRun(t, s.send(v, streamRequest("/review/a")))
			}
		})
	}
	workers.Wait()
	arrivals := s.arrivals()
	t.Logf("%d arrivals of %d requests", arrivals, requests)
	assert.Greater(t, arrivals, requests, "decode engines received requests")
	assert.LessOrEqual(t, float64(arrivals-2*requests), ratio*requests+slack)
}

// TestSiteRetriesAreCounted guards against retries that are missing from cassiabridge_repeats_total: while all
// decode engines refuse, the counter must not be lower than the number of retries that arrive at the engines.
func TestSiteRetriesAreCounted(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, id := range []string{"d-0", "d-1"} {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Refuse: true})
	}
	repeats := 0
	for range 5 {
		before := s.arrivals()
		s.assertNotRun(t, s.send(s.vms[0], streamRequest("/review/a")))
		// The first prefill and the first decode of a request are not retries.
		repeats += max(0, s.arrivals()-before-2)
	}
	assert.NotZero(t, repeats)
	assert.LessOrEqual(t, repeats, s.metric(s.vms[0], `cassiabridge_repeats_total{pool="engines"}`))
}

// arrivals returns the number of prefills that ran plus the number of decodes that were refused.
func (s *site) arrivals() int {
	return s.replicas["d-0"].RefusedCount() + s.replicas["d-1"].RefusedCount() + len(s.replicas["p-0"].Runs()) + len(s.replicas["p-1"].Runs())
}

// metric returns the value of a VM's counter, or 0 if the VM has no such counter. The name includes the labels.
func (s *site) metric(v *gatewayVM, name string) int {
	resp, err := http.Get("http://" + v.metrics + "/metrics")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if value, found := strings.CutPrefix(scanner.Text(), name+" "); found {
			count, err := strconv.Atoi(value)
			require.NoError(s.t, err)
			return count
		}
	}
	return 0
}

func TestSiteRefusedRequestsHaveNotRun(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	v := s.vms[0]
	t.Run("one upstream refuses", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{Refuse: true})
		for range 4 {
			a := s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"})
			assertResponse(t, a, standin.ServiceAnswer(a.attempt))
		}
	})
	t.Run("all upstreams refuse", func(t *testing.T) {
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{Refuse: true})
		a := s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"})
		s.assertNotRun(t, a)
		assert.NotEmpty(t, a.header.Get("Retry-After"))
	})
	t.Run("one upstream loses its responses, the other refuses", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{LoseAnswer: true})
		inDoubt := 0
		for range 8 {
			a := s.send(v, siteRequest{path: "/status/a"})
			if len(s.runsOf(a.attempt)) == 0 {
				s.assertNotRun(t, a) // The retry budget may be exhausted.
				continue
			}
			inDoubt++
			assert.Equal(t, http.StatusBadGateway, a.status)
		}
		assert.NotZero(t, inDoubt)
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{Refuse: true})
	})
	t.Run("all decode engines refuse", func(t *testing.T) {
		s.replicas["d-0"].SetFaults(standin.ReplicaFaults{Refuse: true})
		s.replicas["d-1"].SetFaults(standin.ReplicaFaults{Refuse: true})
		a := s.send(v, streamRequest("/review/a"))
		s.assertNotRun(t, a)
		s.eventually(2*time.Second, "unfetched prefill results are freed", func() bool { return s.replicas["p-0"].HeldResults()+s.replicas["p-1"].HeldResults() == 0 })
	})
	t.Run("replica of another service answers at a listed address", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{})
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{})
		s.store.PutReplica("s-old", map[string]any{"service": deskService, "address": s.replicas["x-0"].address, "zone": "zone-a", "slots": 48, "state": "ready"})
		time.Sleep(maxSitePropagationDelay)
		for range 6 {
			a := s.send(v, siteRequest{method: http.MethodPost, path: "/release/a"})
			assertResponse(t, a, standin.ServiceAnswer(a.attempt))
		}
		assert.Empty(t, s.replicas["x-0"].Runs())
	})
}

func TestSiteAuthentication(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	scenarios := []struct {
		name   string
		call   siteRequest
		status int
	}{
		{name: "unknown key", call: siteRequest{path: "/status/a", key: "nobody's"}, status: http.StatusUnauthorized},
		{name: "no key", call: siteRequest{path: "/status/a", key: "none"}, status: http.StatusUnauthorized},
		{name: "no key on a public route", call: siteRequest{path: "/open/a", key: "none"}, status: http.StatusOK},
		{name: "no route", call: siteRequest{path: "/elsewhere/a"}, status: http.StatusNotFound},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			a := s.send(s.vms[0], scenario.call)
			assert.Equal(t, scenario.status, a.status)
			if scenario.status != http.StatusOK {
				assert.Empty(t, s.runsOf(a.attempt))
			}
		})
	}
	t.Run("removed key is rejected", func(t *testing.T) {
		s.configure(func(c *standin.Configuration) { c.Tenants[1]["apiKeys"] = []string{} })
		time.Sleep(maxSitePropagationDelay)
		for _, v := range s.vms {
			assert.Equal(t, http.StatusUnauthorized, s.send(v, siteRequest{path: "/status/a", key: clinicsKey}).status)
			assert.Equal(t, http.StatusOK, s.send(v, siteRequest{path: "/status/a"}).status)
		}
	})
}

func TestSiteAccountRateLimit(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	const rate, burst, cost = 4000.0, 2000.0, 200.0
	s.configure(func(c *standin.Configuration) { c.Tenants[0]["ratePerS"], c.Tenants[0]["burst"] = rate, burst })
	time.Sleep(maxSitePropagationDelay)
	var served, refused atomic.Int64
	start := time.Now()
	var workers sync.WaitGroup
	for n := range 12 {
		workers.Go(func() {
			for time.Since(start) < 3*time.Second {
				switch s.send(s.vms[n%3], siteRequest{path: "/status/a"}).status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				}
			}
		})
	}
	workers.Wait()
	allowed := burst + rate*time.Since(start).Seconds()
	used := cost * float64(served.Load())
	// VMs learn of each other's spending by beacons. While a beacon is in transit, two requests of each caller may be
	// admitted beyond the rate.
	assert.LessOrEqual(t, used, allowed+2*12*cost)
	assert.GreaterOrEqual(t, used, 0.7*allowed, "requests within the rate are served")
	assert.NotZero(t, refused.Load())
}

func TestSiteCallerDisconnects(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	for _, p := range []string{"d-0", "d-1"} {
		s.addReplica(replicaSpec{standin.ReplicaConfig{ID: p + "-slow", Stage: "decode", WorkDuration: 100 * time.Millisecond, Events: 100}, engineService})
		s.store.PutReplica(p, nil)
	}
	time.Sleep(maxSitePropagationDelay)
	for range 4 {
		c := streamRequest("/review/a")
		c.cancelAfter = 400 * time.Millisecond
		a := s.send(s.vms[0], c)
		assert.False(t, a.complete)
		canceledAt := time.Now()
		s.eventually(time.Second, "the engine stops decoding", func() bool {
			runs := s.runsOf(a.attempt)
			return len(runs) == 1 && !runs[0].EndedAt.IsZero()
		})
		assert.Less(t, s.runsOf(a.attempt)[0].EndedAt.Sub(canceledAt), 500*time.Millisecond)
		s.eventually(time.Second, "the cause is logged", func() bool { return len(s.logLines(s.vms[0], "request-ended", a.attempt, "Kind=CallerGone")) == 1 })
	}
}

func TestSiteTimeouts(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.replicas["s-0"].SetFaults(standin.ReplicaFaults{Silent: true})
	s.replicas["s-1"].SetFaults(standin.ReplicaFaults{Silent: true})
	t.Run("set by the caller", func(t *testing.T) {
		a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: "/release/a", timeout: 300 * time.Millisecond})
		assert.Equal(t, http.StatusGatewayTimeout, a.status)
		assert.Less(t, a.elapsed, 800*time.Millisecond)
	})
	t.Run("prefill engines do not respond", func(t *testing.T) {
		s.replicas["p-0"].SetFaults(standin.ReplicaFaults{Silent: true})
		s.replicas["p-1"].SetFaults(standin.ReplicaFaults{Silent: true})
		a := s.send(s.vms[0], streamRequest("/review/a"))
		s.assertNotRun(t, a)
		for _, id := range []string{"p-0", "p-1"} {
			s.eventually(time.Second, id+" is avoided", func() bool { return len(s.logLines(s.vms[0], "replica-ejected", "Replica="+id)) > 0 })
		}
	})
	t.Run("set by the route", func(t *testing.T) {
		s.configure(func(c *standin.Configuration) { c.Routes[2]["timeoutMs"] = 400 })
		time.Sleep(maxSitePropagationDelay)
		a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: "/release/a"})
		assert.Equal(t, http.StatusGatewayTimeout, a.status)
		assert.Less(t, a.elapsed, 900*time.Millisecond)
	})
}

func TestSiteBadInput(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	valid := "GET /status/a HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + schoolsKey + "\r\n"
	scenarios := []struct{ name, bytes, status string }{
		{name: "not HTTP", bytes: "nonsense\r\n\r\n", status: "400"},
		{name: "no Host header", bytes: "GET /status/a HTTP/1.1\r\n\r\n", status: "400"},
		{name: "malformed header", bytes: valid + "X y: 1\r\n\r\n", status: "400"},
		{name: "malformed Content-Length", bytes: valid + "Content-Length: x\r\n\r\n", status: "400"},
		{name: "two Content-Length headers", bytes: valid + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: "400"},
		{name: "header over the limit", bytes: valid + "X: " + strings.Repeat("x", 20_000) + "\r\n\r\n", status: "431"},
		{name: "body over the limit", bytes: valid + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 1_100_000), status: "413"},
		{name: "malformed chunk size", bytes: valid + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", status: "400"},
		{name: "unknown transfer coding", bytes: valid + "Transfer-Encoding: gzip\r\n\r\n", status: "501"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			before := len(s.replicas["s-0"].Runs()) + len(s.replicas["s-1"].Runs())
			conn, err := net.Dial("tcp", s.vms[0].callers)
			require.NoError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Write([]byte(scenario.bytes))
			statusLine := make([]byte, 12)
			_, err = conn.Read(statusLine)
			assert.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 "+scenario.status, string(statusLine))
			assert.Equal(t, before, len(s.replicas["s-0"].Runs())+len(s.replicas["s-1"].Runs()), "no replica ran a request")
		})
	}
	assert.Equal(t, http.StatusOK, s.send(s.vms[0], siteRequest{path: "/status/a"}).status)
}

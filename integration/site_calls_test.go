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
	s := newSite(t, 2)
	for _, v := range s.vms {
		for _, path := range []string{"/review/a", "/check/a"} {
			a := s.send(v, stream(path))
			assertAnswered(t, a, wholeStream(a.attempt, 20))
			assert.Len(t, s.runsOf(a.attempt), 1)
		}
		for _, path := range []string{"/release/a", "/status/a", "/open/a"} {
			a := s.send(v, siteCall{path: path})
			assertAnswered(t, a, standin.ServiceAnswer(a.attempt))
			assert.Len(t, s.runsOf(a.attempt), 1)
		}
	}
	assert.Zero(t, s.replicas["p-0"].Handles()+s.replicas["p-1"].Handles(), "all results were fetched")
}

func TestSiteForwardsRequestsUnchanged(t *testing.T) {
	s := newSite(t, 1)
	a := s.send(s.vms[0], siteCall{method: "PATCH", path: "/release/a%2Fb//c?x=%20&y", body: "the body", timeout: 3 * time.Second, header: map[string]string{
		"X-Own": "kept", standin.HeaderAccount: "clinics", standin.HeaderReplica: "s-9", standin.HeaderHold: "h", standin.HeaderStage: "prefill", standin.HeaderPriority: "0", "Connection": "X-Gone", "X-Gone": "1"}})
	assertAnswered(t, a, standin.ServiceAnswer(a.attempt))
	runs := s.runsOf(a.attempt)
	require.Len(t, runs, 1)
	run := runs[0]
	assert.Equal(t, "PATCH /release/a%2Fb//c?x=%20&y the body", strings.Join([]string{run.Method, run.Target, run.Body}, " "))
	assert.Equal(t, "kept", run.Header.Get("X-Own"))
	assert.Equal(t, "schools", run.Header.Get(standin.HeaderAccount), "the account is that of the key")
	for _, name := range []string{"Authorization", "X-Gone", standin.HeaderHold, standin.HeaderStage, standin.HeaderPriority} {
		assert.Empty(t, run.Header.Get(name), name)
	}
	assert.NotContains(t, fmt.Sprint(run.Header), schoolsKey)
	var left int
	_, err := fmt.Sscan(run.Header.Get(standin.HeaderTimeout), &left)
	assert.NoError(t, err)
	assert.InDelta(t, 2900, left, 100, "what is left of the caller's time")
}

func TestSiteRunsAtMostOnce(t *testing.T) {
	s := newSite(t, 1)
	v := s.vms[0]
	t.Run("a call that may not be repeated, its answer lost", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{LoseAnswer: true})
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{LoseAnswer: true})
		a := s.send(v, siteCall{method: http.MethodPost, path: "/release/a"})
		assert.Equal(t, http.StatusBadGateway, a.status, "no promise that it has not run")
		assert.Len(t, s.runsOf(a.attempt), 1)
	})
	t.Run("one that may, within its attempts", func(t *testing.T) {
		a := s.send(v, siteCall{path: "/status/a"})
		assert.Equal(t, http.StatusBadGateway, a.status)
		assert.Len(t, s.runsOf(a.attempt), 2)
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{})
		for range 3 {
			a := s.send(v, siteCall{path: "/status/b"})
			assertAnswered(t, a, standin.ServiceAnswer(a.attempt))
		}
	})
	t.Run("a stream that may not be resumed, cut", func(t *testing.T) {
		s.replicas["d-0"].SetFaults(standin.ReplicaFaults{CutAfter: 5})
		s.replicas["d-1"].SetFaults(standin.ReplicaFaults{CutAfter: 5})
		a := s.send(v, stream("/review/a"))
		assert.False(t, a.whole, "a cut stream must not look whole")
		assert.Len(t, s.runsOf(a.attempt), 1)
	})
}

func TestSiteResumesStreams(t *testing.T) {
	s := newSite(t, 1)
	s.replicas["d-0"].SetFaults(standin.ReplicaFaults{CutAfter: 5})
	for range 6 {
		a := s.send(s.vms[0], stream("/check/a"))
		assertAnswered(t, a, wholeStream(a.attempt, 20))
		assert.LessOrEqual(t, len(s.runsOf(a.attempt)), 2)
	}
	assert.NotEmpty(t, s.replicas["d-0"].Runs(), "the cut engine was used")
}

func TestSiteFailuresOfEngines(t *testing.T) {
	s := newSite(t, 1)
	v := s.vms[0]
	t.Run("before the first event", func(t *testing.T) {
		s.replicas["d-0"].SetFaults(standin.ReplicaFaults{Fail: true})
		for range 6 {
			a := s.send(v, stream("/check/a"))
			assertAnswered(t, a, wholeStream(a.attempt, 20))
		}
		assert.NotEmpty(t, s.replicas["d-0"].Runs())
	})
	t.Run("in a stream that had begun elsewhere", func(t *testing.T) {
		s.replicas["d-0"].SetFaults(standin.ReplicaFaults{Fail: true})
		s.replicas["d-1"].SetFaults(standin.ReplicaFaults{CutAfter: 5})
		for range 6 {
			a := s.send(v, stream("/check/a"))
			assert.False(t, a.whole && a.status == http.StatusOK, "a cut stream must not look whole")
			if a.status == http.StatusOK {
				assert.Equal(t, wholeStream(a.attempt, 5), a.body, "a failure is no part of a stream")
			}
		}
	})
	t.Run("where it may not run again", func(t *testing.T) {
		s.replicas["d-0"].SetFaults(standin.ReplicaFaults{Fail: true})
		s.replicas["d-1"].SetFaults(standin.ReplicaFaults{Fail: true})
		a := s.send(v, stream("/review/a"))
		assert.Equal(t, http.StatusInternalServerError, a.status)
		assert.Equal(t, standin.StreamFailure, a.body)
		assert.Len(t, s.runsOf(a.attempt), 1)
	})
}

// TestSiteRepeatsStayWithinTheBudget has all decode engines refuse. What arrives beyond one prefill and one run of each
// request must stay within the ratio and the slack of the settings.
func TestSiteRepeatsStayWithinTheBudget(t *testing.T) {
	const callers, each, ratio, slack = 10, 20, 0.2, 4
	const requests = callers * each
	s := newSite(t, 0)
	s.retrySlack = slack
	v := s.newVM("vm-0")
	s.start(v)
	s.awaitServing(v)
	for _, id := range []string{"d-0", "d-1"} {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Refuse: true})
	}
	var load sync.WaitGroup
	for range callers {
		load.Go(func() {
			for range each {
				s.assertNotRun(t, s.send(v, stream("/review/a")))
			}
		})
	}
	load.Wait()
	arrivals := s.arrivals()
	t.Logf("%d arrivals of %d requests", arrivals, requests)
	assert.Greater(t, arrivals, requests, "engines were offered work")
	assert.LessOrEqual(t, float64(arrivals-2*requests), ratio*requests+slack)
}

// TestSiteRepeatsAreCountedInFull compares what arrives at engines that refuse with what the VM counts as repeats.
func TestSiteRepeatsAreCountedInFull(t *testing.T) {
	s := newSite(t, 1)
	for _, id := range []string{"d-0", "d-1"} {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Refuse: true})
	}
	further := 0
	for range 5 {
		before := s.arrivals()
		s.assertNotRun(t, s.send(s.vms[0], stream("/review/a")))
		// The first prefill and the first offer of a run are no repeats.
		further += max(0, s.arrivals()-before-2)
	}
	assert.NotZero(t, further)
	assert.LessOrEqual(t, further, s.metric(s.vms[0], `cassiabridge_repeats_total{pool="engines"}`))
}

// arrivals returns how many prefills ran, and how many runs were refused.
func (s *site) arrivals() int {
	return s.replicas["d-0"].Refused() + s.replicas["d-1"].Refused() + len(s.replicas["p-0"].Runs()) + len(s.replicas["p-1"].Runs())
}

// metric returns a counter of a VM, or 0 if it has none of that name.
func (s *site) metric(v *storeVM, name string) int {
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

func TestSiteRefusalsAreTrue(t *testing.T) {
	s := newSite(t, 1)
	v := s.vms[0]
	t.Run("one upstream refuses", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{Refuse: true})
		for range 4 {
			a := s.send(v, siteCall{method: http.MethodPost, path: "/release/a"})
			assertAnswered(t, a, standin.ServiceAnswer(a.attempt))
		}
	})
	t.Run("all upstreams refuse", func(t *testing.T) {
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{Refuse: true})
		a := s.send(v, siteCall{method: http.MethodPost, path: "/release/a"})
		s.assertNotRun(t, a)
		assert.NotEmpty(t, a.header.Get("Retry-After"))
	})
	t.Run("one may have run it, the other refuses", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{LoseAnswer: true})
		inDoubt := 0
		for range 8 {
			a := s.send(v, siteCall{path: "/status/a"})
			if len(s.runsOf(a.attempt)) == 0 {
				s.assertNotRun(t, a) // The retry budget may be used up.
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
		a := s.send(v, stream("/review/a"))
		s.assertNotRun(t, a)
		s.eventually(2*time.Second, "results that nobody fetched are freed", func() bool { return s.replicas["p-0"].Handles()+s.replicas["p-1"].Handles() == 0 })
	})
	t.Run("another upstream answers at the address", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{})
		s.replicas["s-1"].SetFaults(standin.ReplicaFaults{})
		s.store.PutReplica("s-old", map[string]any{"service": deskName, "address": s.replicas["x-0"].address, "zone": "zone-a", "slots": 48, "state": "ready"})
		time.Sleep(siteBound)
		for range 6 {
			a := s.send(v, siteCall{method: http.MethodPost, path: "/release/a"})
			assertAnswered(t, a, standin.ServiceAnswer(a.attempt))
		}
		assert.Empty(t, s.replicas["x-0"].Runs())
	})
}

func TestSiteKeys(t *testing.T) {
	s := newSite(t, 2)
	scenarios := []struct {
		name   string
		call   siteCall
		status int
	}{
		{name: "unknown key", call: siteCall{path: "/status/a", key: "nobody's"}, status: http.StatusUnauthorized},
		{name: "no key", call: siteCall{path: "/status/a", key: "none"}, status: http.StatusUnauthorized},
		{name: "no key on a public route", call: siteCall{path: "/open/a", key: "none"}, status: http.StatusOK},
		{name: "no route", call: siteCall{path: "/elsewhere/a"}, status: http.StatusNotFound},
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
	t.Run("a key that is taken away stops", func(t *testing.T) {
		s.configure(func(c *standin.Configuration) { c.Tenants[1]["apiKeys"] = []string{} })
		time.Sleep(siteBound)
		for _, v := range s.vms {
			assert.Equal(t, http.StatusUnauthorized, s.send(v, siteCall{path: "/status/a", key: clinicsKey}).status)
			assert.Equal(t, http.StatusOK, s.send(v, siteCall{path: "/status/a"}).status)
		}
	})
}

func TestSiteKeepsAccountsWithinTheirRate(t *testing.T) {
	s := newSite(t, 3)
	const rate, burst, cost = 4000.0, 2000.0, 200.0
	s.configure(func(c *standin.Configuration) { c.Tenants[0]["ratePerS"], c.Tenants[0]["burst"] = rate, burst })
	time.Sleep(siteBound)
	var served, refused atomic.Int64
	began := time.Now()
	var load sync.WaitGroup
	for n := range 12 {
		load.Go(func() {
			for time.Since(began) < 3*time.Second {
				switch s.send(s.vms[n%3], siteCall{path: "/status/a"}).status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusTooManyRequests:
					refused.Add(1)
				}
			}
		})
	}
	load.Wait()
	allowed := burst + rate*time.Since(began).Seconds()
	used := cost * float64(served.Load())
	// Two requests of each caller may be under way while a beacon travels.
	assert.LessOrEqual(t, used, allowed+2*12*cost)
	assert.GreaterOrEqual(t, used, 0.7*allowed, "what is within the rate is served")
	assert.NotZero(t, refused.Load())
}

func TestSiteCallerLeaves(t *testing.T) {
	s := newSite(t, 1)
	for _, p := range []string{"d-0", "d-1"} {
		s.place(replicaSetup{standin.ReplicaConfig{ID: p + "-slow", Stage: "decode", Work: 100 * time.Millisecond, Events: 100}, enginesName})
		s.store.PutReplica(p, nil)
	}
	time.Sleep(siteBound)
	for range 4 {
		c := stream("/review/a")
		c.leaveAfter = 400 * time.Millisecond
		a := s.send(s.vms[0], c)
		assert.False(t, a.whole)
		left := time.Now()
		s.eventually(time.Second, "the work stops", func() bool {
			runs := s.runsOf(a.attempt)
			return len(runs) == 1 && !runs[0].Ended.IsZero()
		})
		assert.Less(t, s.runsOf(a.attempt)[0].Ended.Sub(left), 500*time.Millisecond)
		s.eventually(time.Second, "the log says why", func() bool { return len(s.lines(s.vms[0], "request-ended", a.attempt, "Kind=CallerGone")) == 1 })
	}
}

func TestSiteTimeouts(t *testing.T) {
	s := newSite(t, 1)
	s.replicas["s-0"].SetFaults(standin.ReplicaFaults{Silent: true})
	s.replicas["s-1"].SetFaults(standin.ReplicaFaults{Silent: true})
	t.Run("of the caller", func(t *testing.T) {
		a := s.send(s.vms[0], siteCall{method: http.MethodPost, path: "/release/a", timeout: 300 * time.Millisecond})
		assert.Equal(t, http.StatusGatewayTimeout, a.status)
		assert.Less(t, a.took, 800*time.Millisecond)
	})
	t.Run("of a prefill", func(t *testing.T) {
		s.replicas["p-0"].SetFaults(standin.ReplicaFaults{Silent: true})
		s.replicas["p-1"].SetFaults(standin.ReplicaFaults{Silent: true})
		a := s.send(s.vms[0], stream("/review/a"))
		s.assertNotRun(t, a)
		for _, id := range []string{"p-0", "p-1"} {
			s.eventually(time.Second, id+" is passed over", func() bool { return len(s.lines(s.vms[0], "replica-passed-over", "Replica="+id)) > 0 })
		}
	})
	t.Run("of the route", func(t *testing.T) {
		s.configure(func(c *standin.Configuration) { c.Routes[2]["timeoutMs"] = 400 })
		time.Sleep(siteBound)
		a := s.send(s.vms[0], siteCall{method: http.MethodPost, path: "/release/a"})
		assert.Equal(t, http.StatusGatewayTimeout, a.status)
		assert.Less(t, a.took, 900*time.Millisecond)
	})
}

func TestSiteBadInput(t *testing.T) {
	s := newSite(t, 1)
	valid := "GET /status/a HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + schoolsKey + "\r\n"
	scenarios := []struct{ name, bytes, status string }{
		{name: "no HTTP", bytes: "nonsense\r\n\r\n", status: "400"},
		{name: "no host", bytes: "GET /status/a HTTP/1.1\r\n\r\n", status: "400"},
		{name: "a bad header", bytes: valid + "X y: 1\r\n\r\n", status: "400"},
		{name: "a bad length", bytes: valid + "Content-Length: x\r\n\r\n", status: "400"},
		{name: "two lengths", bytes: valid + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", status: "400"},
		{name: "a long header", bytes: valid + "X: " + strings.Repeat("x", 20_000) + "\r\n\r\n", status: "431"},
		{name: "a long body", bytes: valid + "Content-Length: 2000000\r\n\r\n" + strings.Repeat("x", 1_100_000), status: "413"},
		{name: "a bad chunk", bytes: valid + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", status: "400"},
		{name: "unknown coding", bytes: valid + "Transfer-Encoding: gzip\r\n\r\n", status: "501"},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			before := len(s.replicas["s-0"].Runs()) + len(s.replicas["s-1"].Runs())
			conn, err := net.Dial("tcp", s.vms[0].callers)
			require.NoError(t, err)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = conn.Write([]byte(scenario.bytes))
			head := make([]byte, 12)
			_, err = conn.Read(head)
			assert.NoError(t, err)
			assert.Equal(t, "HTTP/1.1 "+scenario.status, string(head))
			assert.Equal(t, before, len(s.replicas["s-0"].Runs())+len(s.replicas["s-1"].Runs()), "nothing ran")
		})
	}
	assert.Equal(t, http.StatusOK, s.send(s.vms[0], siteCall{path: "/status/a"}).status)
}

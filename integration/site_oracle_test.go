package integration

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// oracleSeed seeds the random behavior of oracles, callers and faults, so that a run can be repeated.
var oracleSeed = flag.Uint64("oracle.seed", 1, "seed of the random behavior in TestSiteAgainstOracles")

const (
	oracleCallers           = 8
	requestsPerOracleCaller = 40
	// oracleTimeout is the callers' timeout. It is shorter than the delay of standin.RunLate.
	oracleTimeout = 500 * time.Millisecond
	// oracleSettleTime is how long the test waits after the last response, so that delayed runs of the oracles have ended.
	oracleSettleTime = 1500 * time.Millisecond
)

// listedOracle is an oracle with the replica ID and the address of its entry in the store.
type listedOracle struct {
	*standin.Oracle
	id, addr string
}

// newOracleSite returns a site with one VM and a service of four oracles, which a non-idempotent and an idempotent
// route use.
func newOracleSite(t *testing.T, seed uint64) (*site, []*listedOracle) {
	s := newSite(t, 1)
	s.configure(func(c *standin.Configuration) {
		c.Services = append(c.Services, map[string]any{"name": "oracles", "healthPath": standin.HealthPath, "maxConnections": 100})
		c.Routes = append(c.Routes, standin.Route("once", host, "/once/", "non_idempotent", "oracles", map[string]any{"maxAttempts": 2}),
			standin.Route("often", host, "/often/", "idempotent", "oracles", map[string]any{"maxAttempts": 2}))
	})
	var oracles []*listedOracle
	for n := range 4 {
		id := fmt.Sprint("o-", n)
		oracle := standin.NewOracle(id, seed+uint64(n))
		addr, stop, err := oracle.Listen()
		require.NoError(t, err)
		t.Cleanup(stop)
		oracles = append(oracles, &listedOracle{oracle, id, addr})
		s.listReplica(oracle.Process(), "oracles", addr)
	}
	time.Sleep(maxSitePropagationDelay)
	return s, oracles
}

// runPeriodically calls f after random pauses between minPause and maxPause until stop is called. stop waits for a call
// of f that is in progress.
func runPeriodically(random *rand.Rand, minPause, maxPause time.Duration, f func(n int)) (stop func()) {
	done := make(chan struct{})
	var worker sync.WaitGroup
	worker.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(minPause + time.Duration(random.Int64N(int64(maxPause-minPause)))):
				f(n)
			}
		}
	})
	return func() {
		close(done)
		worker.Wait()
	}
}

// freezeRandomly suspends a VM's process at random times for 20 to 919 ms, until stop is called.
func freezeRandomly(v *gatewayVM, random *rand.Rand) (stop func()) {
	return runPeriodically(random, 100*time.Millisecond, 500*time.Millisecond, func(int) {
		_ = v.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(20+random.IntN(900)) * time.Millisecond)
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
	})
}

// replaceRandomly gives oracles a new replica ID at random times, as if another replica had taken over the address. The
// entry in the store follows up to 200 ms later, so that the VM sends requests to a replica that is no longer there.
func replaceRandomly(s *site, oracles []*listedOracle, random *rand.Rand) (stop func()) {
	return runPeriodically(random, 200*time.Millisecond, 400*time.Millisecond, func(n int) {
		o := oracles[random.IntN(len(oracles))]
		old := o.id
		o.id = fmt.Sprintf("%s-%d", o.addr, n)
		o.SetReplicaID(o.id)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		s.listReplica(o.Process(), "oracles", o.addr)
		s.store.PutReplica(old, nil)
	})
}

// oracleExchange is a request with the response that its caller received.
type oracleExchange struct {
	siteRequest
	response siteResponse
}

func sendToOracles(s *site, seed uint64) []oracleExchange {
	var mu sync.Mutex
	var exchanges []oracleExchange
	var callers sync.WaitGroup
	for caller := range oracleCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := range requestsPerOracleCaller {
				c := siteRequest{method: http.MethodGet, path: "/often/a", attempt: fmt.Sprintf("call-%d-%d", caller, n), timeout: oracleTimeout}
				if random.IntN(2) == 0 {
					c.method, c.path, c.body = http.MethodPost, "/once/a?n=1", strings.Repeat("x", random.IntN(50_000))
				}
				if random.IntN(10) == 0 {
					c.cancelAfter = time.Duration(random.IntN(20)) * time.Millisecond
				}
				response := s.send(s.vms[0], c)
				mu.Lock()
				exchanges = append(exchanges, oracleExchange{c, response})
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return exchanges
}

// assertResponseMatchesRuns checks a caller's response against the runs of its request: a request that is reported as
// not run must have no run, and a request must not run more often than its route allows.
func assertResponseMatchesRuns(t *testing.T, c oracleExchange, runs []standin.Run) {
	t.Helper()
	a := c.response
	switch {
	case a.err == nil && a.status == http.StatusOK:
		assert.Equal(t, standin.ServiceAnswer(c.attempt), a.body, "complete response to this request")
		assert.NotEmpty(t, a.header.Get(standin.HeaderSignature))
		assert.NotEmpty(t, runs)
	case a.status == http.StatusServiceUnavailable && a.header.Get(standin.HeaderSignature) == "", a.status == http.StatusTooManyRequests:
		assert.Empty(t, runs, "%s is reported as not run", c.attempt)
	case a.status >= 400 && a.status < 500:
		assert.Fail(t, "valid request was rejected", "%s: %d %s", c.attempt, a.status, a.body)
	}
	maxRuns := 2
	if c.method == http.MethodPost {
		maxRuns = 1
	}
	assert.LessOrEqual(t, len(runs), maxRuns, "runs of %s", c.attempt)
	for _, run := range runs {
		assert.Equal(t, c.method+" "+c.path, run.Method+" "+run.Target)
		if c.cancelAfter == 0 {
			assert.Equal(t, c.body, run.Body)
		}
	}
}

func TestSiteAgainstOracles(t *testing.T) {
	t.Parallel()
	for _, frozen := range []bool{false, true} {
		t.Run(fmt.Sprint("VM frozen at random: ", frozen), func(t *testing.T) {
			s, oracles := newOracleSite(t, *oracleSeed)
			stopFreezing := func() {}
			if frozen {
				stopFreezing = freezeRandomly(s.vms[0], rand.New(rand.NewPCG(*oracleSeed, 99)))
			}
			stopReplacing := replaceRandomly(s, oracles, rand.New(rand.NewPCG(*oracleSeed, 98)))
			exchanges := sendToOracles(s, *oracleSeed)
			stopReplacing()
			stopFreezing()
			time.Sleep(oracleSettleTime)
			runs := map[string][]standin.Run{}
			for _, oracle := range oracles {
				for _, run := range oracle.Runs() {
					runs[run.Attempt] = append(runs[run.Attempt], run)
				}
			}
			answered := 0
			for _, c := range exchanges {
				assertResponseMatchesRuns(t, c, runs[c.attempt])
				if c.response.err == nil && c.response.status == http.StatusOK {
					answered++
				}
			}
			assert.NotZero(t, answered)
			t.Logf("%d of %d answered", answered, len(exchanges))
		})
	}
}

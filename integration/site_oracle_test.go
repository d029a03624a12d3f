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

// oracleSeed repeats a run, or makes another.
var oracleSeed = flag.Uint64("oracle.seed", 1, "seed of the conduct of upstreams in TestSiteAgainstOracles")

const (
	oracleCallers = 8
	oracleCalls   = 40
	// oracleTimeout is what callers wait. Upstreams that run a request late do so after it.
	oracleTimeout = 500 * time.Millisecond
	// oracleSettled is when all that was sent has run, if it runs at all.
	oracleSettled = 1500 * time.Millisecond
)

// listedOracle is an oracle with its entry.
type listedOracle struct {
	*standin.Oracle
	id, addr string
}

func (s *site) listOracle(id, addr string) {
	s.store.PutReplica(id, map[string]any{"service": "oracles", "address": addr, "zone": "zone-a", "version": "v1", "slots": 48, "state": "ready", "coldRemainingMs": 0, "sequence": 1})
}

// oracleSite is a site whose desk is made of oracles.
func oracleSite(t *testing.T, seed uint64) (*site, []*listedOracle) {
	s := newSite(t, 1)
	s.configure(func(c *standin.Configuration) {
		c.Services = append(c.Services, map[string]any{"name": "oracles", "healthPath": "/health", "maxConnections": 100})
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
		s.listOracle(id, addr)
	}
	time.Sleep(siteBound)
	return s, oracles
}

// repeatedly calls a function after random pauses until the returned function is called.
func repeatedly(random *rand.Rand, least, most time.Duration, act func(n int)) (stop func()) {
	done := make(chan struct{})
	var worker sync.WaitGroup
	worker.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(least + time.Duration(random.Int64N(int64(most-least)))):
				act(n)
			}
		}
	})
	return func() {
		close(done)
		worker.Wait()
	}
}

// freezeAtRandom stops and continues a VM.
func freezeAtRandom(v *storeVM, random *rand.Rand) (stop func()) {
	return repeatedly(random, 100*time.Millisecond, 500*time.Millisecond, func(int) {
		_ = v.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(time.Duration(20+random.IntN(900)) * time.Millisecond)
		_ = v.cmd.Process.Signal(syscall.SIGCONT)
	})
}

// replaceAtRandom makes other replicas answer at the oracles' addresses. Their entries change a little later.
func replaceAtRandom(s *site, oracles []*listedOracle, random *rand.Rand) (stop func()) {
	return repeatedly(random, 200*time.Millisecond, 400*time.Millisecond, func(n int) {
		o := oracles[random.IntN(len(oracles))]
		old := o.id
		o.id = fmt.Sprintf("%s-%d", o.addr, n)
		o.Become(o.id)
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		s.listOracle(o.id, o.addr)
		s.store.PutReplica(old, nil)
	})
}

// oracleCall is a call with what its caller was told.
type oracleCall struct {
	siteCall
	answer siteAnswer
}

func callOracles(s *site, seed uint64) []oracleCall {
	var mu sync.Mutex
	var calls []oracleCall
	var callers sync.WaitGroup
	for caller := range oracleCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(caller)))
			for n := range oracleCalls {
				c := siteCall{method: http.MethodGet, path: "/often/a", attempt: fmt.Sprintf("call-%d-%d", caller, n), timeout: oracleTimeout}
				if random.IntN(2) == 0 {
					c.method, c.path, c.body = http.MethodPost, "/once/a?n=1", strings.Repeat("x", random.IntN(50_000))
				}
				if random.IntN(10) == 0 {
					c.leaveAfter = time.Duration(random.IntN(20)) * time.Millisecond
				}
				answer := s.send(s.vms[0], c)
				mu.Lock()
				calls = append(calls, oracleCall{c, answer})
				mu.Unlock()
			}
		})
	}
	callers.Wait()
	return calls
}

// assertPromises checks what one caller was told against what was run for it.
func assertPromises(t *testing.T, c oracleCall, runs []standin.Run) {
	t.Helper()
	a := c.answer
	switch {
	case a.err == nil && a.status == http.StatusOK:
		assert.Equal(t, standin.ServiceAnswer(c.attempt), a.body, "the whole answer to the own request")
		assert.NotEmpty(t, a.header.Get(standin.HeaderReceipt))
		assert.NotEmpty(t, runs)
	case a.status == http.StatusServiceUnavailable && a.header.Get(standin.HeaderReceipt) == "", a.status == http.StatusTooManyRequests:
		assert.Empty(t, runs, "%s is told as not run", c.attempt)
	case a.status >= 400 && a.status < 500:
		assert.Fail(t, "a proper request is not at fault", "%s: %d %s", c.attempt, a.status, a.body)
	}
	most := 2
	if c.method == http.MethodPost {
		most = 1
	}
	assert.LessOrEqual(t, len(runs), most, "runs of %s", c.attempt)
	for _, run := range runs {
		assert.Equal(t, c.method+" "+c.path, run.Method+" "+run.Target)
		if c.leaveAfter == 0 {
			assert.Equal(t, c.body, run.Body)
		}
	}
}

func TestSiteAgainstOracles(t *testing.T) {
	for _, frozen := range []bool{false, true} {
		t.Run(fmt.Sprint("VM frozen at times: ", frozen), func(t *testing.T) {
			s, oracles := oracleSite(t, *oracleSeed)
			stopFreezing := func() {}
			if frozen {
				stopFreezing = freezeAtRandom(s.vms[0], rand.New(rand.NewPCG(*oracleSeed, 99)))
			}
			stopReplacing := replaceAtRandom(s, oracles, rand.New(rand.NewPCG(*oracleSeed, 98)))
			calls := callOracles(s, *oracleSeed)
			stopReplacing()
			stopFreezing()
			time.Sleep(oracleSettled)
			runs := map[string][]standin.Run{}
			for _, oracle := range oracles {
				for _, run := range oracle.Runs() {
					runs[run.Attempt] = append(runs[run.Attempt], run)
				}
			}
			answered := 0
			for _, c := range calls {
				assertPromises(t, c, runs[c.attempt])
				if c.answer.err == nil && c.answer.status == http.StatusOK {
					answered++
				}
			}
			assert.NotZero(t, answered)
			t.Logf("%d of %d answered", answered, len(calls))
		})
	}
}

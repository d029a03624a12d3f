package integration

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	smallRate  = 100.0
	smallBurst = 300.0
	// arrivalJitter is the delay allowed between the admission of a call and its arrival at the service.
	arrivalJitter = 100 * time.Millisecond
)

// smallAccount declares smallRate and smallBurst.
var smallAccount = document(resource.KindClientAccount, "small", `{"TokensPerSecond": 100, "BurstTokens": 300}`)

// assertWithinRate checks that the calls between any two arrivals, both included, do not exceed the burst of the small
// account plus its rate × (the time between them + arrivalJitter). A call costs one token.
func assertWithinRate(t *testing.T, arrivals []time.Time) {
	t.Helper()
	maxExcess := 0.0
	for i := range arrivals {
		for j := i; j < len(arrivals); j++ {
			window := arrivals[j].Sub(arrivals[i]) + arrivalJitter
			excess := float64(j-i+1) - smallBurst - smallRate*window.Seconds()
			maxExcess = max(maxExcess, excess)
		}
	}
	assert.Zero(t, maxExcess, "tokens in excess of burst + rate × window")
}

// sendCalls sends calls from concurrent callers, spread over vms, for the duration d. Each caller pauses after
// every call. It returns how many calls were sent and how many were rejected by the rate limit.
func (c *cluster) sendCalls(key string, vms []*vm, callers int, pause, d time.Duration) (sent, refused int64) {
	var calls sync.WaitGroup
	var sentCount, refusedCount atomic.Int64
	deadline := time.Now().Add(d)
	for n := range callers {
		calls.Go(func() {
			for time.Now().Before(deadline) {
				sentCount.Add(1)
				if c.callPrice(vms[n%len(vms)], key).status == http.StatusTooManyRequests {
					refusedCount.Add(1)
				}
				time.Sleep(pause)
			}
		})
	}
	calls.Wait()
	return sentCount.Load(), refusedCount.Load()
}

// The calls of an account through all VMs together must stay within its rate, also while VMs that lend tokens
// fail or are partitioned.
func TestAccountRateLimit(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		name        string
		injectFault func(c *cluster)
		vms         func(c *cluster) []*vm
	}{
		{name: "calls to all VMs", vms: func(c *cluster) []*vm { return c.vms }},
		{name: "calls to one VM", vms: func(c *cluster) []*vm { return c.vms[:1] }},
		{name: "lender killed and restarted", vms: func(c *cluster) []*vm { return c.vms[:2] }, injectFault: func(c *cluster) {
			c.kill(c.vms[2])
			c.start(c.vms[2])
		}},
		{name: "lender suspended for longer than a loan", vms: func(c *cluster) []*vm { return c.vms }, injectFault: func(c *cluster) {
			c.freeze(c.vms[2])
			time.Sleep(1500 * time.Millisecond)
			c.unfreeze(c.vms[2])
		}},
		{name: "peer partitioned and log unavailable", vms: func(c *cluster) []*vm { return c.vms }, injectFault: func(c *cluster) {
			c.setLogDown(true)
			c.vms[1].relay.blocked.Store(true)
			time.Sleep(time.Second)
			c.vms[1].relay.blocked.Store(false)
			c.setLogDown(false)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(t, clusterConfig{vms: 3, extraResources: []resource.Document{smallAccount}})
			key := c.newKey("k1", "small")
			if s.injectFault != nil {
				time.AfterFunc(700*time.Millisecond, func() { s.injectFault(c) })
			}
			c.sendCalls(key, s.vms(c), 12, 0, 5*time.Second)
			assert.NotEmpty(t, c.desk.RequestTimes())
			assertWithinRate(t, c.desk.RequestTimes())
		})
	}
}

// A VM must borrow the tokens of idle VMs, so that an account can use its whole rate through one VM.
func TestBorrowsTokensOfIdleVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3, extraResources: []resource.Document{smallAccount}})
	key := c.newKey("k1", "small")
	// 40 callers that pause for 500 ms use less than 80 tokens a second, all through one VM. Without loans this
	// VM has a third of the rate, and calls would wait until they time out.
	sent, refused := c.sendCalls(key, c.vms[:1], 40, 500*time.Millisecond, 8*time.Second)
	assert.Greater(t, sent, int64(200))
	assert.Zero(t, refused, "calls refused of %d sent within the account's rate", sent)
}

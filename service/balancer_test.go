package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
)

func newTestBalancer() (*Balancer, func(time.Duration)) {
	now := time.Unix(1_800_000_000, 0)
	return NewBalancer(func() time.Time { return now }), func(d time.Duration) { now = now.Add(d) }
}

var twoUpstreams = []resource.Upstream{{Name: "a", Places: 2}, {Name: "b", Places: 2}}

func TestBalancer(t *testing.T) {
	t.Run("faster upstream gets more requests", func(t *testing.T) {
		b, advance := newTestBalancer()
		counts := map[string]int{}
		for range 100 {
			chosen, done, found := b.Pick(twoUpstreams, nil)
			require.True(t, found)
			counts[chosen.Name]++
			took := 10 * time.Millisecond
			if chosen.Name == "b" {
				took = 100 * time.Millisecond
			}
			advance(took)
			done(true)
		}
		assert.Greater(t, counts["a"], 4*counts["b"])
	})
	t.Run("circuit breaker opens and closes again", func(t *testing.T) {
		b, advance := newTestBalancer()
		for range breakerThreshold {
			_, done, _ := b.Pick(twoUpstreams[:1], nil)
			done(false)
		}
		_, _, found := b.Pick(twoUpstreams[:1], nil)
		assert.False(t, found)
		advance(breakerOpenPeriod)
		_, _, found = b.Pick(twoUpstreams[:1], nil)
		assert.True(t, found)
	})
	t.Run("upstreams are not used beyond capacity", func(t *testing.T) {
		b, _ := newTestBalancer()
		for range 4 {
			_, _, found := b.Pick(twoUpstreams, nil)
			assert.True(t, found)
		}
		_, _, found := b.Pick(twoUpstreams, nil)
		assert.False(t, found)
	})
	t.Run("retries stay within a tenth of the requests", func(t *testing.T) {
		b, _ := newTestBalancer()
		retries := 0
		for range 1000 {
			_, done, _ := b.Pick(twoUpstreams, nil)
			done(true)
			if b.TakeRetry() {
				retries++
			}
		}
		assert.LessOrEqual(t, float64(retries), 1000*retriesPerCall+maxRetryBudget)
	})
}

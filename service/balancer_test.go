package service

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
)

func testBalancer() (*Balancer, func(time.Duration)) {
	now := time.Unix(1_800_000_000, 0)
	return NewBalancer(func() time.Time { return now }), func(d time.Duration) { now = now.Add(d) }
}

var twoUpstreams = []resource.Upstream{{Name: "a", Places: 2}, {Name: "b", Places: 2}}

func TestBalancer(t *testing.T) {
	t.Run("the faster upstream gets more", func(t *testing.T) {
		b, advance := testBalancer()
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
	t.Run("a failing upstream is left alone for a while", func(t *testing.T) {
		b, advance := testBalancer()
		for range failuresToBreak {
			_, done, _ := b.Pick(twoUpstreams[:1], nil)
			done(false)
		}
		_, _, found := b.Pick(twoUpstreams[:1], nil)
		assert.False(t, found)
		advance(breakFor)
		_, _, found = b.Pick(twoUpstreams[:1], nil)
		assert.True(t, found)
	})
	t.Run("no upstream gets more than its places", func(t *testing.T) {
		b, _ := testBalancer()
		for range 4 {
			_, _, found := b.Pick(twoUpstreams, nil)
			assert.True(t, found)
		}
		_, _, found := b.Pick(twoUpstreams, nil)
		assert.False(t, found)
	})
	t.Run("retries stay within a tenth of the calls", func(t *testing.T) {
		b, _ := testBalancer()
		retries := 0
		for range 1000 {
			_, done, _ := b.Pick(twoUpstreams, nil)
			done(true)
			if b.MayRetry() {
				retries++
			}
		}
		assert.LessOrEqual(t, float64(retries), 1000*retryShare+maxRetryCredit)
	})
}

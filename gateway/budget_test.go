package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestRepeatsOfAllVMsStayWithinTheBudget has every VM repeat whenever it may, at random loads, and restarts all at once
// some time. In no window may they
// repeat more than the ratio of the requests in it or in the one before, and the slack.
func TestRepeatsOfAllVMsStayWithinTheBudget(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 54.0
		window = 10 * time.Second
		step   = 100 * time.Millisecond
		steps  = 400
	)
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "VMs")
		budgets := make([]*retryBudget, vms)
		for i := range budgets {
			budgets[i] = newRetryBudget(ratio, slack, window)
			budgets[i].setVMs(vms)
		}
		restartAt := rapid.IntRange(1, steps-1).Draw(t, "all restarted at")
		busy := rapid.SliceOfN(rapid.IntRange(0, 20), 8, 8).Draw(t, "requests in each step")
		requests, repeats := make([]int, steps), make([]int, steps)
		for n := range steps {
			now := start.Add(time.Duration(n) * step)
			if n == restartAt {
				for i := range budgets {
					budgets[i] = newRetryBudget(ratio, slack, window)
					budgets[i].setVMs(vms)
				}
			}
			for i, b := range budgets {
				for range busy[(n/50+i)%len(busy)] {
					b.request(now, "p")
					requests[n]++
				}
				for b.take(now, "p", 1) {
					repeats[n]++
				}
			}
		}
		span := int(window / step)
		sum := func(values []int, from int) int {
			total := 0
			for n := max(0, from); n < min(steps, from+span); n++ {
				total += values[n]
			}
			return total
		}
		for from := range steps - span {
			most := max(sum(requests, from), sum(requests, from-span), sum(requests, from-span/2))
			allowed := ratio*float64(most) + slack
			if got := float64(sum(repeats, from)); got > allowed {
				t.Fatalf("from step %d: %v repeats, %v are allowed", from, got, allowed)
			}
		}
	})
}

func TestRepeatsOfOnePoolDoNotUseUpAnother(t *testing.T) {
	b := newRetryBudget(0.2, 10, 10*time.Second)
	taken := 0
	for b.take(start, "one", 1) {
		taken++
	}
	assert.InDelta(t, startShare*10, taken, 1)
	assert.True(t, b.take(start, "two", 1))
	assert.True(t, b.take(start.Add(20*time.Second), "one", 1), "the slack flows in again")
}

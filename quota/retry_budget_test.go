package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestRetriesOfAllVMsStayWithinBudget lets every VM retry whenever its budget allows, under random load, and restarts
// all VMs at once, which then do not know of each other for a while. In no window may the retries of all VMs exceed the slack plus the ratio of the requests in that
// window or in one that begins up to a window earlier.
func TestRetriesOfAllVMsStayWithinBudget(t *testing.T) {
	const (
		ratio  = 0.2
		slack  = 54.0
		window = 10 * time.Second
		step   = 100 * time.Millisecond
		steps  = 400
	)
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "VMs")
		budgets := make([]*RetryBudget, vms)
		for i := range budgets {
			budgets[i] = NewRetryBudget(ratio, slack, window)
			budgets[i].SetVMCount(vms)
		}
		restartAt := rapid.IntRange(1, steps-1).Draw(t, "restart step")
		knownAt := restartAt + rapid.IntRange(0, 150).Draw(t, "steps without knowing the other VMs")
		load := rapid.SliceOfN(rapid.IntRange(0, 20), 8, 8).Draw(t, "requests per VM and step")
		requests, retries := make([]int, steps), make([]int, steps)
		for n := range steps {
			now := startTime.Add(time.Duration(n) * step)
			if n == restartAt {
				for i := range budgets {
					budgets[i] = NewRetryBudget(ratio, slack, window)
				}
			}
			if n == knownAt {
				for _, b := range budgets {
					b.SetVMCount(vms)
				}
			}
			for i, b := range budgets {
				for range load[(n/50+i)%len(load)] {
					b.RecordRequest(now, "p")
					requests[n]++
				}
				for b.Take(now, "p", 1) {
					retries[n]++
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
			maxRequests := max(sum(requests, from), sum(requests, from-span), sum(requests, from-span/2))
			allowed := ratio*float64(maxRequests) + slack
			if got := float64(sum(retries, from)); got > allowed {
				t.Fatalf("window from step %d: %v retries, at most %v allowed", from, got, allowed)
			}
		}
	})
}

func TestRetryBudgetsOfPoolsAreIndependent(t *testing.T) {
	b := NewRetryBudget(0.2, 10, 10*time.Second)
	b.SetVMCount(1)
	taken := 0
	for b.Take(startTime, "one", 1) {
		taken++
	}
	assert.InDelta(t, initialShare*10, taken, 1)
	assert.True(t, b.Take(startTime, "two", 1))
	assert.True(t, b.Take(startTime.Add(20*time.Second), "one", 1), "the slack is refilled over time")
}

// TestVMsThatDoNotKnowTheFleetSpendItsSlackEach guards against a start of all VMs at which each takes the slack for its own.
func TestVMsThatDoNotKnowTheFleetSpendItsSlackEach(t *testing.T) {
	const (
		vms             = 85
		slack           = 210.0
		window          = 10 * time.Second
		requestInterval = time.Second
	)
	scenarios := []struct {
		name    string
		knownAt time.Duration
	}{
		{"the list of VMs is read late", 9 * time.Second},
		{"the list of VMs is read at once", 0},
		{"the list of VMs is never read", time.Hour},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			retries, requests := 0, 0
			for range vms {
				b := NewRetryBudget(0.2, slack, window)
				for at := time.Duration(0); at < window; at += 10 * time.Millisecond {
					if at == scenario.knownAt {
						b.SetVMCount(vms)
					}
					if at%requestInterval == 0 {
						b.RecordRequest(startTime.Add(at), "p")
						requests++
					}
					for b.Take(startTime.Add(at), "p", 1) {
						retries++
					}
				}
			}
			assert.LessOrEqual(t, float64(retries), 0.2*float64(requests)+slack)
			assert.Positive(t, retries, "the ratio holds without the slack")
		})
	}
}

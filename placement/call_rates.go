package placement

import (
	"time"
)

const (
	// minRateInterval is the shortest interval from which a rate of calls is computed.
	minRateInterval = 150 * time.Millisecond
	// maxRateAge is the age from which on the rate of a VM no longer counts.
	maxRateAge = 1500 * time.Millisecond
)

// CallClass is a set of calls among which admission does not distinguish: those for one pool with one priority, or all calls for
// a pool that were completed.
type CallClass struct {
	Pool      string
	Priority  int
	Completed bool
}

// callRates estimates how many calls per second all VMs together receive, by class. It adds up the rates of the VMs, which
// report how many calls they have received since they started.
type callRates struct {
	byVM map[string]*vmCallRates
}

// vmCallRates holds the calls that one VM has received until a point in time, and its rates before that.
type vmCallRates struct {
	counts map[CallClass]int
	at     time.Time
	rates  map[CallClass]float64
}

func newCallRates() *callRates { return &callRates{byVM: map[string]*vmCallRates{}} }

// record records how many calls a VM has received since it started. Counts that have fallen are those of a new process.
func (c *callRates) record(now time.Time, vm string, counts map[CallClass]int) {
	v := c.byVM[vm]
	if v == nil {
		c.byVM[vm] = &vmCallRates{counts: counts, at: now}
		return
	}
	elapsed := now.Sub(v.at)
	if elapsed < minRateInterval {
		return
	}
	v.rates = make(map[CallClass]float64, len(counts))
	for class, count := range counts {
		if added := count - v.counts[class]; added > 0 {
			v.rates[class] = float64(added) / elapsed.Seconds()
		}
	}
	v.counts, v.at = counts, now
}

// forget drops a VM.
func (c *callRates) forget(vm string) { delete(c.byVM, vm) }

// rate returns the calls per second of a class at all VMs.
func (c *callRates) rate(now time.Time, class CallClass) float64 {
	total := 0.0
	for _, v := range c.byVM {
		if now.Sub(v.at) <= maxRateAge {
			total += v.rates[class]
		}
	}
	return total
}

package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/quota"
)

// allocatedBytes returns the bytes that a function allocates.
func allocatedBytes(f func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc - before.TotalAlloc)
}

func newEmptyScheduler() *Scheduler {
	return NewScheduler("zone-a", quota.NewReplicaLimits("vm"), quota.NewColdLimits("vm", quota.ColdTolerance{}), func() float64 { return 0 })
}

func listReplicas(s *Scheduler, count int) {
	for n := range count {
		s.SetReplica(Replica{ID: fmt.Sprintf("i-%d", n), Pool: "p", Address: fmt.Sprintf("10.0.%d.%d:80", n/250, n%250), Slots: 1})
	}
}

// TestListingManyReplicasTakesQuadraticWork guards against a VM before thousands of replicas that is busy for seconds when it
// starts, and does nothing else meanwhile.
func TestListingManyReplicasTakesQuadraticWork(t *testing.T) {
	work := func(count int) float64 {
		return allocatedBytes(func() {
			s := newEmptyScheduler()
			listReplicas(s, count)
			s.candidates(time.Time{}, criteria{pool: "p"})
		})
	}
	small, large := work(500), work(2000)
	t.Logf("%.0f bytes for 500 replicas, %.0f for 2,000", small, large)
	assert.Less(t, large, 6*small, "four times as many take about four times the work")
}

// TestBeaconOfAHealthyFleetTakesWorkForEachReplica guards against work for each beacon that grows with the replicas, although
// there is nothing to tell of them.
func TestBeaconOfAHealthyFleetTakesWorkForEachReplica(t *testing.T) {
	s := newEmptyScheduler()
	listReplicas(s, 3000)
	allocations := testing.AllocsPerRun(10, func() {
		assert.Empty(t, s.UnreachableIDs(time.Time{}))
		assert.Empty(t, s.ReplacedIDs())
	})
	assert.Less(t, allocations, 10.0)
}

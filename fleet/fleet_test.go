package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quota"
)

// TestLayout guards against groups that grow with the fleet, or that mix availability zones.
func TestLayout(t *testing.T) {
	for _, size := range []int{1, 7, 79, 300, 1700} {
		zoneOf := map[string]string{}
		for n := range size {
			zoneOf[fmt.Sprintf("vm-%d", n)] = fmt.Sprintf("zone-%d", n%6)
		}
		l := NewLayout(zoneOf)
		for group, vms := range l.Groups() {
			assert.LessOrEqual(t, len(vms), 2*maxGroupSize, "%d VMs, group %s", size, group)
			for _, vm := range vms {
				assert.Equal(t, zoneOf[vm], zoneOf[vms[0]])
				assert.Equal(t, group, l.GroupOf(vm))
			}
		}
	}
	assert.Empty(t, NewLayout(nil).GroupOf("unknown"))
}

func TestSummarize(t *testing.T) {
	s := Summarize([]peer.Beacon{
		{Version: 3, ReplicaLoads: map[string]placement.Load{"e": {Requests: 1, Tokens: 10}}, QueuedTokens: map[string]int{"p": 5}, UnreachableReplicas: []string{"x"}, ListAge: -1,
			CheckAge: time.Second, ReplacedReplicas: []string{"r"}, ListEra: 1, ListOffset: 9, ReplicaLimits: map[string]quota.LimitReport{"l": {Limit: 2, Age: time.Second}}},
		{Version: 2, ReplicaLoads: map[string]placement.Load{"e": {Requests: 2, Tokens: 20}}, UnreachableReplicas: []string{"x"}, ListAge: 2 * time.Second, CheckAge: -1,
			ReplacedReplicas: []string{"r"}, ListEra: 2, ListOffset: 1, ReplicaLimits: map[string]quota.LimitReport{"l": {Limit: 3, Age: time.Minute}}},
		{UnreachableReports: map[string]int{"x": 2, "y": 1}, ListAge: time.Second, CheckAge: -1, ColdReplicas: map[string]time.Duration{"c": time.Second}},
	})
	assert.Equal(t, uint64(3), s.Version)
	assert.Equal(t, placement.Load{Requests: 3, Tokens: 30}, s.ReplicaLoads["e"])
	assert.Equal(t, 5, s.QueuedTokens["p"])
	assert.Equal(t, map[string]int{"x": 2, "y": 1}, s.UnreachableReports)
	assert.Equal(t, []string{"r"}, s.ReplacedReplicas)
	assert.Equal(t, [2]uint64{2, 1}, [2]uint64{s.ListEra, s.ListOffset})
	assert.Equal(t, [2]time.Duration{time.Second, time.Second}, [2]time.Duration{s.ListAge, s.CheckAge})
	assert.Equal(t, quota.LimitReport{Limit: 2, Age: time.Second}, s.ReplicaLimits["l"])
	assert.Equal(t, time.Second, s.ColdReplicas["c"])
	assert.Negative(t, Summarize(nil).ListAge, "nobody has read the list")
}

// TestSpendMeterAgainstOracle guards against totals that lose or double what processes spent when they come, go and refund.
func TestSpendMeterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := NewSpendMeter()
		total, spent := 0.0, map[string]float64{}
		for range rapid.IntRange(1, 40).Draw(t, "reports") {
			run := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "run")
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				m.Forget(run)
				spent[run] = 0
			}
			delta := float64(rapid.IntRange(-3, 9).Draw(t, "tokens"))
			spent[run] += delta
			total += delta
			report := map[string]float64{}
			if spent[run] != 0 {
				report["x"] = spent[run]
			}
			m.Record(run, report)
		}
		assert.InDelta(t, total, m.Total()["x"], 1e-9)
	})
}

func TestTreeReachesEachVMOnce(t *testing.T) {
	for _, size := range []int{1, 2, 5, 6, 13, 24, 300, 1700} {
		var vms []string
		for n := range size {
			vms = append(vms, fmt.Sprint("vm-", n))
		}
		root := vms[size/2]
		for _, tree := range [][]string{vms, WithRoot(vms, root)} {
			told := map[string]int{tree[0]: 1}
			for _, vm := range tree {
				children := Children(tree, vm)
				assert.LessOrEqual(t, len(children), TreeFanOut)
				for _, child := range children {
					told[child]++
					assert.Equal(t, vm, Parent(tree, child))
				}
			}
			for _, vm := range vms {
				assert.Equal(t, 1, told[vm], "%s of %d", vm, size)
			}
		}
	}
}

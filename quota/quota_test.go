package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const account = "a"

var start = time.Unix(1_000_000, 0)

func keeper(terms Terms) *Keeper {
	k := NewKeeper()
	k.Configure(start, account, terms)
	return k
}

func TestTake(t *testing.T) {
	k := keeper(Terms{Rate: 10, Burst: 100})
	_, ok := k.Take(start, account, 100)
	assert.True(t, ok, "the burst")
	wait, ok := k.Take(start, account, 20)
	assert.False(t, ok)
	assert.Equal(t, 2*time.Second, wait)
	_, ok = k.Take(start.Add(wait), account, 20)
	assert.True(t, ok, "after the wait")
	t.Run("without a bound", func(t *testing.T) {
		_, ok := keeper(Terms{}).Take(start, account, 1e12)
		assert.True(t, ok)
	})
	t.Run("what did not run is given back", func(t *testing.T) {
		k := keeper(Terms{Rate: 1, Burst: 10})
		k.Take(start, account, 10)
		k.Return(start, account, 10)
		assert.Equal(t, 10.0, k.Level(start, account))
		assert.Empty(t, k.Spent())
	})
}

func TestNewTerms(t *testing.T) {
	t.Run("lower", func(t *testing.T) {
		k := keeper(Terms{Rate: 10, Burst: 100})
		assert.True(t, k.Configure(start, account, Terms{Rate: 1, Burst: 5}))
		assert.Equal(t, 5.0, k.Level(start, account))
	})
	t.Run("higher", func(t *testing.T) {
		k := keeper(Terms{Rate: 10, Burst: 100})
		k.Take(start, account, 100)
		k.Configure(start, account, Terms{Rate: 10, Burst: 150})
		assert.Equal(t, 50.0, k.Level(start, account))
	})
	t.Run("the same", func(t *testing.T) {
		k := keeper(Terms{Rate: 10, Burst: 100})
		k.Take(start, account, 60)
		assert.False(t, k.Configure(start, account, Terms{Rate: 10, Burst: 100}))
		assert.Equal(t, 40.0, k.Level(start, account))
	})
	t.Run("of an account that is gone", func(t *testing.T) {
		k := keeper(Terms{Rate: 10, Burst: 100})
		k.Retain(map[string]bool{})
		assert.Zero(t, k.Level(start, account))
	})
}

func TestPeers(t *testing.T) {
	t.Run("what they spend is taken off once", func(t *testing.T) {
		k := keeper(Terms{Rate: 0.001, Burst: 100})
		k.Heard(start, "vm-2/x", map[string]float64{account: 30}, false)
		k.Heard(start, "vm-2/x", map[string]float64{account: 30}, false)
		k.Heard(start, "vm-2/x", map[string]float64{account: 40}, false)
		assert.Equal(t, 60.0, k.Level(start, account))
	})
	t.Run("what they spent before this VM came is not", func(t *testing.T) {
		k := keeper(Terms{Rate: 0.001, Burst: 100})
		k.Joined("vm-2/x", map[string]float64{account: 1e6})
		k.Heard(start, "vm-2/x", map[string]float64{account: 1e6 + 10}, false)
		assert.Equal(t, 90.0, k.Level(start, account))
	})
	t.Run("silent ones keep their shares", func(t *testing.T) {
		k := keeper(Terms{Rate: 100, Burst: 100})
		k.SetPeers(start, 3, 2)
		k.Take(start, account, 100)
		assert.Equal(t, 50.0, k.Level(start.Add(time.Second), account), "two of four VMs fill the bucket")
	})
	t.Run("late news does not stop an account for long", func(t *testing.T) {
		k := keeper(Terms{Rate: 100, Burst: 100})
		k.Heard(start, "vm-2/x", map[string]float64{account: 1e6}, true)
		wait, _ := k.Take(start, account, 10)
		assert.Less(t, wait, time.Second)
	})
}

// vm is one VM of a simulated system.
type vm struct {
	keeper *Keeper
	name   string
}

// TestAllVMsTogetherStayWithinRateAndBurst floods an account on VMs that are cut into two parts at random times. In
// no window may they admit more than rate and burst and what is admitted while one beacon travels.
func TestAllVMsTogetherStayWithinRateAndBurst(t *testing.T) {
	const (
		vms       = 7
		step      = 20 * time.Millisecond
		steps     = 1500
		size      = 100.0
		window    = 8 * time.Second
		silent    = 75 // steps: 1.5 s
		perBeacon = vms * size
	)
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Rate: rapid.Float64Range(1000, 20_000).Draw(t, "rate"), Burst: rapid.Float64Range(1000, 20_000).Draw(t, "burst")}
		cutAt := rapid.IntRange(0, steps).Draw(t, "cut at")
		cutFor := rapid.IntRange(0, 600).Draw(t, "cut for")
		inPart := rapid.IntRange(1, vms-1).Draw(t, "cut off")
		system := make([]vm, vms)
		heard := make([][]int, vms)
		for i := range system {
			system[i] = vm{keeper: keeper(terms), name: fmt.Sprint("vm-", i)}
			heard[i] = make([]int, vms)
		}
		apart := func(now, i, j int) bool { return now >= cutAt && now < cutAt+cutFor && (i < inPart) != (j < inPart) }
		admitted := make([]float64, steps)
		for now := range steps {
			at := start.Add(time.Duration(now) * step)
			for i := range system {
				quiet := 0
				for j := range system {
					if i == j || apart(now, i, j) {
						continue
					}
					system[i].keeper.Heard(at, system[j].name, system[j].keeper.Spent(), now-heard[i][j] > silent)
					heard[i][j] = now
				}
				for j := range system {
					if i != j && now-heard[i][j] > silent {
						quiet++
					}
				}
				system[i].keeper.SetPeers(at, vms-1, quiet)
			}
			for i := range system {
				if _, ok := system[i].keeper.Take(at, account, size); ok {
					admitted[now] += size
				}
			}
		}
		span := int(window / step)
		sum := 0.0
		// Until a cut is noticed both parts use the whole bucket, and its news comes late.
		unnoticed := 0.0
		if cutFor > 0 {
			unnoticed = terms.Burst + terms.Rate*(silent+1)*step.Seconds()
		}
		limit := terms.Burst + terms.Rate*window.Seconds() + perBeacon*2 + unnoticed
		for now := range steps {
			sum += admitted[now]
			if now >= span {
				sum -= admitted[now-span]
			}
			if sum > limit {
				t.Fatalf("step %d: %v tokens in 8 s, at most %v are allowed", now, sum, limit)
			}
		}
	})
}

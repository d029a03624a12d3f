package quota

import (
	"fmt"
	"math/rand/v2"
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
	t.Run("what they give back is added", func(t *testing.T) {
		k := keeper(Terms{Rate: 0.001, Burst: 100})
		k.Heard(start, "vm-2/x", map[string]float64{account: 30}, false)
		k.Heard(start, "vm-2/x", map[string]float64{}, false)
		assert.Equal(t, 100.0, k.Level(start, account))
		k.Heard(start, "vm-2/x", map[string]float64{account: 10}, false)
		assert.Equal(t, 90.0, k.Level(start, account))
	})
	t.Run("what they spent before this VM came is not", func(t *testing.T) {
		k := keeper(Terms{Rate: 0.001, Burst: 100})
		k.Joined("vm-2/x", map[string]float64{account: 1e6})
		k.Heard(start, "vm-2/x", map[string]float64{account: 1e6 + 10}, false)
		assert.Equal(t, 90.0, k.Level(start, account))
	})
	t.Run("what they spent before this VM had declarations is not", func(t *testing.T) {
		k := NewKeeper()
		k.Joined("vm-2/x", map[string]float64{account: 1e6})
		k.Heard(start, "vm-2/x", map[string]float64{account: 1e6 + 5}, false)
		k.Configure(start, account, Terms{Rate: 0.001, Burst: 100})
		k.Heard(start, "vm-2/x", map[string]float64{account: 1e6 + 10}, false)
		assert.Equal(t, 95.0, k.Level(start, account))
	})
	t.Run("a VM that starts beside them takes their levels", func(t *testing.T) {
		k := keeper(Terms{Rate: 100, Burst: 100})
		k.Adopt(map[string]float64{account: -20, "later": 30})
		assert.Equal(t, -20.0, k.Level(start, account))
		k.Configure(start, "later", Terms{Rate: 100, Burst: 100})
		assert.Equal(t, 30.0, k.Level(start, "later"))
		k.Adopt(map[string]float64{account: -50})
		assert.Equal(t, 30.0, k.Level(start.Add(time.Second/2), account), "only once")
		assert.Equal(t, map[string]float64{account: 30, "later": 80}, k.Levels(start.Add(time.Second/2)))
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

const (
	simVMs    = 7
	simStep   = 20 * time.Millisecond
	simSteps  = 1500
	simSize   = 100.0
	simWindow = 8 * time.Second
	// simSilent is the number of steps after which a VM that is not heard counts as silent: 1.5 s.
	simSilent = 75
	// simDelay is what all VMs can admit while beacons travel, in tokens.
	simDelay = 2 * simVMs * simSize
)

// vm is one VM of a simulated system. A process that was killed starts again under another name.
type vm struct {
	keeper    *Keeper
	run       string
	startedAt int
	// heardRun and heardAt are the runs of other VMs, and the steps at which they were heard last.
	heardRun map[int]string
	heardAt  map[int]int
}

// simulation floods one account on all VMs.
type simulation struct {
	terms func(step int) Terms
	// startsAt lists the VMs whose processes are killed, or which are added, and start at a step.
	startsAt map[int][]int
	// apart reports whether two VMs do not hear each other, lost whether one beacon is lost, and asked whether callers
	// ask a VM.
	apart func(step, a, b int) bool
	lost  func() bool
	asked func(step, vm int) bool

	vms []*vm
}

func newSimulation(terms Terms) *simulation {
	return &simulation{terms: func(int) Terms { return terms }, startsAt: map[int][]int{}, apart: func(int, int, int) bool { return false },
		lost: func() bool { return false }, asked: func(int, int) bool { return true }}
}

func (s *simulation) start(step, i int) {
	for len(s.vms) <= i {
		s.vms = append(s.vms, nil)
	}
	s.vms[i] = &vm{keeper: NewKeeper(), run: fmt.Sprintf("vm-%d/%d", i, step), startedAt: step, heardRun: map[int]string{}, heardAt: map[int]int{}}
	s.vms[i].keeper.Configure(start.Add(time.Duration(step)*simStep), account, s.terms(step))
}

// hear passes the beacon of one VM to another, as the gateway does.
func (s *simulation) hear(step, i, j int) {
	to, from := s.vms[i], s.vms[j]
	at := start.Add(time.Duration(step) * simStep)
	late := step-to.heardAt[j] > simSilent
	if to.heardRun[j] != from.run {
		to.keeper.Left(to.heardRun[j])
		to.heardRun[j], late = from.run, false
		if from.startedAt < to.startedAt {
			to.keeper.Joined(from.run, from.keeper.Spent())
			to.keeper.Adopt(from.keeper.Levels(at))
		}
	}
	to.keeper.Heard(at, from.run, from.keeper.Spent(), late)
	to.heardAt[j] = step
}

// play returns what was admitted in each step.
func (s *simulation) play() []float64 {
	for i := range simVMs {
		s.start(0, i)
	}
	admitted := make([]float64, simSteps)
	for step := range simSteps {
		at := start.Add(time.Duration(step) * simStep)
		for _, i := range s.startsAt[step] {
			s.start(step, i)
		}
		for i, v := range s.vms {
			v.keeper.Configure(at, account, s.terms(step))
			silent := 0
			for j := range s.vms {
				if i != j && !s.apart(step, i, j) && !s.lost() {
					s.hear(step, i, j)
				}
				if i != j && step-v.heardAt[j] > simSilent {
					silent++
				}
			}
			v.keeper.SetPeers(at, len(s.vms)-1, silent)
		}
		for i, v := range s.vms {
			if !s.asked(step, i) {
				continue
			}
			if _, ok := v.keeper.Take(at, account, simSize); ok {
				admitted[step] += simSize
			}
		}
	}
	return admitted
}

// assertWithin checks every window that begins at or after a step.
func assertWithin(t *rapid.T, admitted []float64, from int, limit float64) {
	t.Helper()
	span := int(simWindow / simStep)
	sum := 0.0
	for step := from; step < len(admitted); step++ {
		sum += admitted[step]
		if step-span >= from {
			sum -= admitted[step-span]
		}
		if sum > limit {
			t.Fatalf("step %d: %v tokens in 8 s, at most %v are allowed", step, sum, limit)
		}
	}
}

// bound is what the terms allow in one window.
func bound(terms Terms) float64 { return terms.Burst + terms.Rate*simWindow.Seconds() }

// TestAllVMsTogetherStayWithinRateAndBurst floods an account. In no window may all VMs together admit more than rate and
// burst, what is admitted while beacons travel, and what docs/PLATFORM.md adds for the trouble of each scenario.
func TestAllVMsTogetherStayWithinRateAndBurst(t *testing.T) {
	drawTerms := func(t *rapid.T) Terms {
		return Terms{Rate: rapid.Float64Range(1000, 20_000).Draw(t, "rate"), Burst: rapid.Float64Range(1000, 20_000).Draw(t, "burst")}
	}
	drawStep := func(t *rapid.T) int { return rapid.IntRange(1, simSteps-1).Draw(t, "at") }
	scenarios := []struct {
		name string
		// trouble changes the simulation, and returns the first step that is checked, the terms from then on, and what is
		// added to their bound.
		trouble func(t *rapid.T, s *simulation, terms Terms) (from int, bounded Terms, more float64)
	}{
		{"a flood", func(_ *rapid.T, _ *simulation, terms Terms) (int, Terms, float64) { return 0, terms, 0 }},
		{"a flood on a few VMs", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			few := rapid.IntRange(1, simVMs).Draw(t, "asked")
			s.asked = func(_, vm int) bool { return vm < few }
			return 0, terms, 0
		}},
		{"a third of the beacons lost", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses"), 1))
			s.lost = func() bool { return random.IntN(3) == 0 }
			// Nine lost beacons in a row are one in 20,000.
			return 0, terms, 9 * simDelay
		}},
		{"a cut in two parts", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			from := drawStep(t)
			until := from + rapid.IntRange(1, 600).Draw(t, "for")
			part := rapid.IntRange(1, simVMs-1).Draw(t, "cut off")
			s.apart = func(step, a, b int) bool { return step >= from && step < until && (a < part) != (b < part) }
			// Until the cut is noticed both parts use the whole bucket.
			return 0, terms, terms.Burst + terms.Rate*(simSilent+1)*simStep.Seconds()
		}},
		{"a VM that starts again", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			s.startsAt[drawStep(t)] = []int{rapid.IntRange(0, simVMs-1).Draw(t, "vm")}
			return 0, terms, 2 * simSize
		}},
		{"VMs that are added", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			s.startsAt[drawStep(t)] = []int{simVMs, simVMs + 1, simVMs + 2, simVMs + 3}
			return 0, terms, 4 * 2 * simSize
		}},
		{"all VMs start again at once", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			s.startsAt[drawStep(t)] = []int{0, 1, 2, 3, 4, 5, 6}
			return 0, terms, terms.Burst
		}},
		{"a lowered limit", func(t *rapid.T, s *simulation, terms Terms) (int, Terms, float64) {
			at := drawStep(t)
			lower := Terms{Rate: terms.Rate / 4, Burst: terms.Burst / 4}
			s.terms = func(step int) Terms {
				if step >= at {
					return lower
				}
				return terms
			}
			return at, lower, 0
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				terms := drawTerms(t)
				s := newSimulation(terms)
				from, bounded, more := scenario.trouble(t, s, terms)
				assertWithin(t, s.play(), from, bound(bounded)+simDelay+more)
			})
		})
	}
}

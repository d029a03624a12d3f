package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Parameters of a simulated fleet whose engines end under a part of a prompt.
const (
	simulationStep     = 10 * time.Millisecond
	simulationDuration = 60 * time.Second
	harmfulFrom        = 5 * time.Second
	answerPeriod       = 4 * time.Second
	reportLoss         = 0.1
	maxEndDelay        = 400 * time.Millisecond
	minRestartDelay    = time.Second
	maxRestartDelay    = 4 * time.Second
	// settlePeriod is the time without a further end after which fewer than five ends are final.
	settlePeriod = 6 * time.Second
)

// fleetSize holds the numbers of VMs and engines, the requests per second and the time between two reports of a VM.
type fleetSize struct {
	vms, engines           int
	soundRate, harmfulRate float64
	reportInterval         time.Duration
	seeds                  uint64
}

var (
	smallFleet = fleetSize{vms: 7, engines: 7, soundRate: 10, harmfulRate: 3, reportInterval: 50 * time.Millisecond, seeds: 20}
	largeFleet = fleetSize{vms: 85, engines: 30, soundRate: 44, harmfulRate: 10, reportInterval: 400 * time.Millisecond, seeds: 2}
)

// fleetScenario describes the requests and the ends of engines that have other causes.
type fleetScenario struct {
	name string
	size fleetSize
	// firstParts is the number of first parts that sound requests have. Harmful ones have the first of them.
	firstParts int
	// harmful is whether there are requests with the harmful part.
	harmful bool
	// waveInterval is the time after which waveEngines of the engines end for another cause, again and again.
	waveInterval time.Duration
	waveEngines  int
}

// fleetResult counts what came of the requests.
type fleetResult struct {
	ends int
	// laterArrivals counts the harmful requests that reached an engine later than 3 s after the fifth end.
	laterArrivals int
	// sound counts the sound requests with the first part of harmful ones that came later than 6 s after the fifth end,
	// admitted those that could run.
	sound, admitted int
	// refused counts all sound requests that were refused.
	refused, submitted int
}

type simulatedRun struct {
	vm      int
	parts   []string
	engine  int
	startAt time.Duration
	endsAt  time.Duration
	harmful bool
	lasted  bool
	claimed []string
}

type fleetSimulation struct {
	scenario fleetScenario
	random   *rand.Rand
	trackers []*Tracker
	// upAt is when each engine is up again, lifetimes the number of its starts.
	upAt      []time.Duration
	lifetimes []int
	running   []*simulatedRun
	endTimes  []time.Duration
	result    fleetResult
}

func newFleetSimulation(scenario fleetScenario, seed uint64) *fleetSimulation {
	f := &fleetSimulation{scenario: scenario, random: rand.New(rand.NewPCG(seed, 7)), upAt: make([]time.Duration, scenario.size.engines), lifetimes: make([]int, scenario.size.engines)}
	for range scenario.size.vms {
		f.trackers = append(f.trackers, NewTracker())
	}
	return f
}

func (f *fleetSimulation) run() fleetResult {
	for now := time.Duration(0); now < simulationDuration; now += simulationStep {
		f.report(now)
		if f.random.Float64() < f.scenario.size.soundRate*simulationStep.Seconds() {
			f.submit(now, false)
		}
		if f.scenario.harmful && now > harmfulFrom && f.random.Float64() < f.scenario.size.harmfulRate*simulationStep.Seconds() {
			f.submit(now, true)
		}
		if w := f.scenario.waveInterval; w > 0 && now > harmfulFrom && now%w == 0 {
			for _, engine := range f.random.Perm(f.scenario.size.engines)[:f.scenario.waveEngines] {
				f.end(now, engine)
			}
		}
		f.advance(now)
	}
	f.result.ends = len(f.endTimes)
	return f.result
}

// report delivers the evidence of the VMs whose turn it is.
func (f *fleetSimulation) report(now time.Duration) {
	steps := int(f.scenario.size.reportInterval / simulationStep)
	for n := int(now/simulationStep) % steps; n < f.scenario.size.vms; n += steps {
		report, trials := f.trackers[n].Report(at(now)), f.trackers[n].OwnTrials()
		for m, peer := range f.trackers {
			if m != n && f.random.Float64() >= reportLoss {
				peer.Merge(at(now), report)
				peer.SetPeerTrials(fmt.Sprint("vm-", n), trials)
			}
		}
		f.trackers[n].Expire(at(now))
	}
}

// sinceFifthEnd returns the time since the fifth end, or the last if there are fewer. It is negative before that.
func (f *fleetSimulation) sinceFifthEnd(now time.Duration) time.Duration {
	if len(f.endTimes) == 0 || len(f.endTimes) < 5 && now-f.endTimes[len(f.endTimes)-1] < settlePeriod {
		return -1
	}
	return now - f.endTimes[min(len(f.endTimes), 5)-1]
}

func (f *fleetSimulation) submit(now time.Duration, harmful bool) {
	first := "first-0"
	if !harmful {
		first = fmt.Sprint("first-", f.random.IntN(f.scenario.firstParts))
		f.result.submitted++
	}
	r := &simulatedRun{vm: f.random.IntN(f.scenario.size.vms), parts: []string{first}, harmful: harmful, startAt: now, endsAt: now + answerPeriod}
	if harmful {
		r.parts = append(r.parts, "bad")
		r.endsAt = now + time.Duration(f.random.Float64()*float64(maxEndDelay))
	}
	decision := f.trackers[r.vm].Decide(at(now), r.parts)
	admitted := decision.Verdict == Admit || decision.Verdict == Trial
	r.claimed = decision.Claimed
	f.count(now, r, admitted)
	if r.engine = f.pickEngine(now); !admitted || r.engine < 0 {
		f.trackers[r.vm].EndTrial(r.claimed)
		return
	}
	f.running = append(f.running, r)
}

func (f *fleetSimulation) count(now time.Duration, r *simulatedRun, admitted bool) {
	since := f.sinceFifthEnd(now)
	switch {
	case r.harmful && admitted && since > 3*time.Second:
		f.result.laterArrivals++
	case !r.harmful && !admitted:
		f.result.refused++
	}
	if !r.harmful && r.parts[0] == "first-0" && since > 6*time.Second {
		f.result.sound++
		if admitted {
			f.result.admitted++
		}
	}
}

func (f *fleetSimulation) pickEngine(now time.Duration) int {
	var up []int
	for engine, upAt := range f.upAt {
		if upAt <= now {
			up = append(up, engine)
		}
	}
	if len(up) == 0 {
		return -1
	}
	return up[f.random.IntN(len(up))]
}

// end ends an engine and all that runs on it.
func (f *fleetSimulation) end(now time.Duration, engine int) {
	if f.upAt[engine] > now {
		return
	}
	f.endTimes = append(f.endTimes, now)
	id := fmt.Sprintf("e-%d-%d", engine, f.lifetimes[engine])
	f.lifetimes[engine]++
	f.upAt[engine] = now + minRestartDelay + time.Duration(f.random.Float64()*float64(maxRestartDelay-minRestartDelay))
	for _, r := range f.running {
		if r.engine == engine && !r.lasted {
			f.trackers[r.vm].RecordEnd(at(now), r.parts, id)
		}
	}
	f.running = slices.DeleteFunc(f.running, func(r *simulatedRun) bool {
		if r.engine == engine {
			f.trackers[r.vm].EndTrial(r.claimed)
		}
		return r.engine == engine
	})
}

func (f *fleetSimulation) advance(now time.Duration) {
	for _, r := range slices.Clone(f.running) {
		switch {
		case r.harmful && now >= r.endsAt:
			f.end(now, r.engine)
		case !r.harmful && !r.lasted && now-r.startAt >= SurvivalPeriod:
			r.lasted = true
			f.trackers[r.vm].RecordSurvival(at(now), r.parts)
		}
	}
	f.running = slices.DeleteFunc(f.running, func(r *simulatedRun) bool {
		done := now >= r.endsAt
		if done {
			f.trackers[r.vm].EndTrial(r.claimed)
		}
		return done
	})
}

// TestHarmfulPartsAcrossVMs plays the requests of a fleet whose engines end under a part, and plain ends of engines.
func TestHarmfulPartsAcrossVMs(t *testing.T) {
	scenarios := []fleetScenario{
		{size: smallFleet, name: "one first part for all", firstParts: 1, harmful: true},
		{size: smallFleet, name: "a first part with a tenth of the sound requests", firstParts: 10, harmful: true},
		{size: smallFleet, name: "a first part that few sound requests have", firstParts: 100, harmful: true},
		{size: smallFleet, name: "engines that end for other causes too", firstParts: 10, harmful: true, waveInterval: 3 * time.Second, waveEngines: 2},
		{size: largeFleet, name: "a large fleet with a first part that a tenth has", firstParts: 10, harmful: true},
		{size: smallFleet, name: "engines that end one by one, without a harmful part", firstParts: 1, waveInterval: time.Second, waveEngines: 1},
		{size: smallFleet, name: "half of the engines end again and again, without a harmful part", firstParts: 4, waveInterval: 2500 * time.Millisecond, waveEngines: 4},
		{size: smallFleet, name: "all engines end twice a minute, without a harmful part", firstParts: 1, waveInterval: 30 * time.Second, waveEngines: 7},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			for seed := range scenario.size.seeds {
				result := newFleetSimulation(scenario, seed).run()
				t.Logf("seed %d: %+v", seed, result)
				if scenario.harmful {
					assert.LessOrEqual(t, result.laterArrivals, 3, "seed %d", seed)
					assert.GreaterOrEqual(t, 2*result.admitted, result.sound, "seed %d: sound requests with the same first part", seed)
				}
				assert.LessOrEqual(t, 20*result.refused, result.submitted, "seed %d: at most 1 in 20 sound requests is refused", seed)
			}
		})
	}
}

package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The load of a busy day: long prompts, answers whose lengths callers guess badly, and bursts of twice the usual.
const (
	loadStep       = 10 * time.Millisecond
	loadSeconds    = 30
	loadPerSecond  = 10.0
	burstFactor    = 2.0
	meanPrompt     = 5000.0
	meanOutput     = 5400.0
	maxOutput      = 10_010
	outputRate     = 1250.0 // tokens a second
	prefillRate    = 55_000.0
	loadEngines    = 5
	loadMemory     = 109_670
	lengthSpread   = 0.5
	firstEventAim  = 900 * time.Millisecond
	eventGapTokens = 77
)

// running is one answer under way on a simulated engine.
type running struct {
	id       uint64
	prompt   int
	output   float64
	produced float64
	landsAt  time.Time
	dueAt    time.Time
	first    bool
	inTime   bool
	late     bool
}

// outcome is what callers got of a load.
type outcome struct {
	asked, inTime, late, refused, preempted int
	// refusedAfter is how long refused callers were kept waiting, all together.
	refusedAfter time.Duration
}

// simulatedEngine holds answers until its memory runs out. Then the newest is preempted and begins again.
type simulatedEngine struct {
	answers []*running
}

// memory returns what the answers hold that are not waiting for their prompts to be read.
func (e *simulatedEngine) memory(now time.Time) int {
	total := 0
	for _, a := range e.answers {
		if !now.Before(a.landsAt) {
			total += a.prompt + int(a.produced)
		}
	}
	return total
}

// newest returns the answer that came last of those that hold memory.
func (e *simulatedEngine) newest(now time.Time) *running {
	var newest *running
	for _, a := range e.answers {
		if !now.Before(a.landsAt) {
			newest = a
		}
	}
	return newest
}

func (e *simulatedEngine) step(now time.Time, o *outcome, ended func(*running)) {
	for _, a := range e.answers {
		if now.Before(a.landsAt) {
			continue
		}
		a.produced += outputRate * loadStep.Seconds()
		if !a.first && a.produced >= eventGapTokens {
			a.first, a.inTime = true, !now.After(a.dueAt)
		}
	}
	e.answers = slices.DeleteFunc(e.answers, func(a *running) bool {
		if a.produced < a.output {
			return false
		}
		if a.inTime && !a.late {
			o.inTime++
		} else {
			o.late++
		}
		ended(a)
		return true
	})
	for e.memory(now) > loadMemory {
		newest := e.newest(now)
		o.preempted++
		// Its prompt and what it had made are read again, which takes longer than a pause between events may last.
		newest.landsAt = now.Add(time.Duration((float64(newest.prompt)+newest.produced)/prefillRate*2*float64(time.Second)) + 400*time.Millisecond)
		newest.late = newest.late || newest.first
	}
}

// playLoad plays some times the load on a board that counts a share of the expected answer as memory.
func playLoad(seed uint64, share, times float64) outcome {
	random := rand.New(rand.NewPCG(seed, 1))
	b := newBoard(3, 0)
	spec := b.engines[enginePool]
	spec.MemoryTokens, spec.MaxRunning = loadMemory, 64
	b.engines[enginePool] = spec
	engines := map[string]*simulatedEngine{}
	var ids []string
	for i := range loadEngines {
		r := engineReplica(string(rune('a'+i)), StageDecode, i)
		b.SetReplica(r)
		engines[r.ID] = &simulatedEngine{}
		ids = append(ids, r.ID)
	}
	var o outcome
	var next uint64
	waiting := map[uint64]*running{}
	for now := start; now.Before(at(loadSeconds * time.Second)); now = now.Add(loadStep) {
		rate := times * loadPerSecond
		if second := int(now.Sub(start).Seconds()); second%10 >= 6 {
			rate *= burstFactor
		}
		if random.Float64() < rate*loadStep.Seconds() {
			next++
			o.asked++
			length := math.Min(maxOutput, meanOutput*math.Exp(lengthSpread*random.NormFloat64()-lengthSpread*lengthSpread/2))
			guess := math.Min(maxOutput, length*math.Exp(lengthSpread*random.NormFloat64()))
			prompt := int(meanPrompt * math.Exp(lengthSpread*random.NormFloat64()-lengthSpread*lengthSpread/2))
			counted := int(guess * share / outputShare)
			waiting[next] = &running{id: next, prompt: prompt, output: length, dueAt: now.Add(firstEventAim)}
			b.Submit(Request{ID: next, Pool: enginePool, PromptTokens: prompt, OutputTokens: counted, ArrivedAt: now, TargetAt: now.Add(firstEventAim), GiveUpAt: now.Add(14 * time.Second)})
		}
		for _, d := range b.Poll(now) {
			a := waiting[d.ID]
			delete(waiting, d.ID)
			if d.Kind != Start {
				o.refused++
				o.refusedAfter += now.Sub(a.dueAt.Add(-firstEventAim))
				continue
			}
			took := time.Duration(float64(a.prompt) / prefillRate * float64(time.Second))
			a.landsAt = now.Add(took)
			b.Prefilled(now.Add(took), d.ID, true)
			engines[d.Decode.ID].answers = append(engines[d.Decode.ID].answers, a)
		}
		for _, id := range ids {
			engines[id].step(now, &o, func(a *running) { b.Withdraw(now, a.id) })
		}
	}
	return o
}

// playLoads plays the load with several seeds and adds the outcomes up.
func playLoads(share, times float64) outcome {
	var total outcome
	for seed := range uint64(8) {
		o := playLoad(seed, share, times)
		total.asked += o.asked
		total.inTime += o.inTime
		total.late += o.late
		total.refused += o.refused
		total.preempted += o.preempted
		total.refusedAfter += o.refusedAfter
	}
	return total
}

// TestAnswersThatGrowLeaveRoomForOthers plays bursts on decode engines of scarce memory. Giving each request the whole
// of its expected answer leaves memory idle; giving it too little has answers preempted midway.
func TestAnswersThatGrowLeaveRoomForOthers(t *testing.T) {
	chosen, whole, little := playLoads(outputShare, 1), playLoads(1, 1), playLoads(0.4, 1)
	t.Logf("chosen %+v, whole %+v, little %+v", chosen, whole, little)
	assert.Greater(t, chosen.inTime, whole.inTime, "more callers are in time than with the whole answer reserved")
	assert.Less(t, chosen.refused, whole.refused)
	assert.Less(t, chosen.preempted*50, chosen.asked, "fewer than one in 50 is preempted")
	assert.Less(t, chosen.preempted, little.preempted)
}

// TestRefusedCallersAreNotKeptWaiting plays two and a half times the load, at which most callers cannot be served. Without
// foresight they would all wait until their patience has run out.
func TestRefusedCallersAreNotKeptWaiting(t *testing.T) {
	total := playLoads(outputShare, 2.5)
	mean := total.refusedAfter / time.Duration(total.refused)
	t.Logf("%+v, refused after %v", total, mean)
	assert.Greater(t, total.refused, total.asked/3)
	assert.Less(t, mean, (firstEventAim+latePatience)/2)
}

// TestOverloadDoesNotTakeFromThoseInTime plays the load and two and a half times the load. Engines must not be given to
// requests that were in time when chosen and late when they started.
func TestOverloadDoesNotTakeFromThoseInTime(t *testing.T) {
	usual, overload := playLoads(outputShare, 1), playLoads(outputShare, 2.5)
	t.Logf("usual %+v, overload %+v", usual, overload)
	assert.GreaterOrEqual(t, overload.inTime, usual.inTime)
	assert.Less(t, overload.late*10, overload.inTime)
}

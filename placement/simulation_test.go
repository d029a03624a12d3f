package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Parameters of the simulated peak load: long prompts, answers whose lengths callers estimate badly, and bursts
// of twice the normal rate.
const (
	simulationStep         = 10 * time.Millisecond
	simulatedSeconds       = 30
	requestsPerSecond      = 10.0
	burstFactor            = 2.0
	meanPromptTokens       = 5000.0
	meanOutputTokens       = 5400.0
	maxOutputTokens        = 10_010
	outputTokensPerSecond  = 1250.0
	prefillTokensPerSecond = 55_000.0
	decodeEngines          = 5
	simulatedMemoryTokens  = 109_670
	lengthSigma            = 0.5
	firstEventTarget       = 900 * time.Millisecond
	tokensPerEvent         = 77
)

// simulatedAnswer is a request with its progress on a simulated engine.
type simulatedAnswer struct {
	id               uint64
	promptTokens     int
	outputTokens     float64
	producedTokens   float64
	decodeStartsAt   time.Time
	firstEventDueAt  time.Time
	firstEventSent   bool
	firstEventInTime bool
	stalled          bool
}

// simulationResult counts the outcomes of the submitted requests.
type simulationResult struct {
	submitted, inTime, late, refused, preempted int
	// totalRefusalDelay is the sum of the times that refused requests waited for their refusal.
	totalRefusalDelay time.Duration
}

// simulatedEngine is a decode engine. When it runs out of memory, it preempts the newest answer, whose prompt
// must then be prefilled again.
type simulatedEngine struct {
	answers []*simulatedAnswer
}

// memoryInUse returns the memory, in tokens, of the answers that have been prefilled.
func (e *simulatedEngine) memoryInUse(now time.Time) int {
	total := 0
	for _, a := range e.answers {
		if !now.Before(a.decodeStartsAt) {
			total += a.promptTokens + int(a.producedTokens)
		}
	}
	return total
}

// newest returns the most recent answer that holds memory.
func (e *simulatedEngine) newest(now time.Time) *simulatedAnswer {
	var newest *simulatedAnswer
	for _, a := range e.answers {
		if !now.Before(a.decodeStartsAt) {
			newest = a
		}
	}
	return newest
}

func (e *simulatedEngine) step(now time.Time, result *simulationResult, onEnd func(*simulatedAnswer)) {
	for _, a := range e.answers {
		if now.Before(a.decodeStartsAt) {
			continue
		}
		a.producedTokens += outputTokensPerSecond * simulationStep.Seconds()
		if !a.firstEventSent && a.producedTokens >= tokensPerEvent {
			a.firstEventSent, a.firstEventInTime = true, !now.After(a.firstEventDueAt)
		}
	}
	e.answers = slices.DeleteFunc(e.answers, func(a *simulatedAnswer) bool {
		if a.producedTokens < a.outputTokens {
			return false
		}
		if a.firstEventInTime && !a.stalled {
			result.inTime++
		} else {
			result.late++
		}
		onEnd(a)
		return true
	})
	for e.memoryInUse(now) > simulatedMemoryTokens {
		newest := e.newest(now)
		result.preempted++
		// The prompt and the output so far are prefilled again, which takes longer than the allowed gap between
		// events.
		newest.decodeStartsAt = now.Add(time.Duration((float64(newest.promptTokens)+newest.producedTokens)/prefillTokensPerSecond*2*float64(time.Second)) + 400*time.Millisecond)
		newest.stalled = newest.stalled || newest.firstEventSent
	}
}

// simulate runs loadFactor times the normal load on a scheduler that reserves outputFraction of the expected output.
func simulate(seed uint64, outputFraction, loadFactor float64) simulationResult {
	random := rand.New(rand.NewPCG(seed, 1))
	s := newTestScheduler(3, 0)
	spec := s.engineSpecs[enginePool]
	spec.MemoryTokens, spec.MaxRunning = simulatedMemoryTokens, 64
	s.engineSpecs[enginePool] = spec
	engines := map[string]*simulatedEngine{}
	var ids []string
	for i := range decodeEngines {
		r := engineReplica(string(rune('a'+i)), StageDecode, i)
		s.SetReplica(r)
		engines[r.ID] = &simulatedEngine{}
		ids = append(ids, r.ID)
	}
	var result simulationResult
	var next uint64
	waiting := map[uint64]*simulatedAnswer{}
	for now := startTime; now.Before(at(simulatedSeconds * time.Second)); now = now.Add(simulationStep) {
		rate := loadFactor * requestsPerSecond
		if second := int(now.Sub(startTime).Seconds()); second%10 >= 6 {
			rate *= burstFactor
		}
		if random.Float64() < rate*simulationStep.Seconds() {
			next++
			result.submitted++
			length := math.Min(maxOutputTokens, meanOutputTokens*math.Exp(lengthSigma*random.NormFloat64()-lengthSigma*lengthSigma/2))
			estimate := math.Min(maxOutputTokens, length*math.Exp(lengthSigma*random.NormFloat64()))
			prompt := int(meanPromptTokens * math.Exp(lengthSigma*random.NormFloat64()-lengthSigma*lengthSigma/2))
			declaredTokens := int(estimate * outputFraction / reservedOutputFraction)
			waiting[next] = &simulatedAnswer{id: next, promptTokens: prompt, outputTokens: length, firstEventDueAt: now.Add(firstEventTarget)}
			s.Submit(Request{ID: next, Pool: enginePool, PromptTokens: prompt, OutputTokens: declaredTokens,
				ArrivedAt: now, FirstEventDueAt: now.Add(firstEventTarget), ExpiresAt: now.Add(14 * time.Second)})
		}
		for _, d := range s.Poll(now) {
			a := waiting[d.ID]
			delete(waiting, d.ID)
			if d.Kind != Start {
				result.refused++
				result.totalRefusalDelay += now.Sub(a.firstEventDueAt.Add(-firstEventTarget))
				continue
			}
			prefillDuration := time.Duration(float64(a.promptTokens) / prefillTokensPerSecond * float64(time.Second))
			a.decodeStartsAt = now.Add(prefillDuration)
			s.FinishPrefill(now.Add(prefillDuration), d.ID, true)
			engines[d.Decode.ID].answers = append(engines[d.Decode.ID].answers, a)
		}
		for _, id := range ids {
			engines[id].step(now, &result, func(a *simulatedAnswer) { s.Remove(now, a.id) })
		}
	}
	return result
}

// simulateSeeds runs the simulation with several seeds and returns the sum of the results.
func simulateSeeds(outputFraction, loadFactor float64) simulationResult {
	var total simulationResult
	for seed := range uint64(8) {
		result := simulate(seed, outputFraction, loadFactor)
		total.submitted += result.submitted
		total.inTime += result.inTime
		total.late += result.late
		total.refused += result.refused
		total.preempted += result.preempted
		total.totalRefusalDelay += result.totalRefusalDelay
	}
	return total
}

// TestReservedOutputFraction simulates bursts on decode engines with little memory. Reserving the
// whole expected output leaves memory idle; reserving too little causes preemptions.
func TestReservedOutputFraction(t *testing.T) {
	chosen, full, low := simulateSeeds(reservedOutputFraction, 1), simulateSeeds(1, 1), simulateSeeds(0.4, 1)
	t.Logf("chosen %+v, full %+v, low %+v", chosen, full, low)
	assert.Greater(t, chosen.inTime, full.inTime, "more requests in time than with the whole output reserved")
	assert.Less(t, chosen.refused, full.refused)
	assert.Less(t, chosen.preempted*50, chosen.submitted, "preempted requests must stay below 1 in 50")
	assert.Less(t, chosen.preempted, low.preempted)
}

// TestOverloadIsRefusedEarly simulates 2.5 times the normal load, of which much cannot be served.
// Without an estimate of the wait, all of them would be queued until the maximum wait has passed.
func TestOverloadIsRefusedEarly(t *testing.T) {
	total := simulateSeeds(reservedOutputFraction, 2.5)
	mean := total.totalRefusalDelay / time.Duration(total.refused)
	t.Logf("%+v, mean refusal delay %v", total, mean)
	assert.Greater(t, total.refused, total.submitted/3)
	assert.Less(t, mean, (firstEventTarget+maxLateWait)/2)
}

// TestOverloadKeepsGoodput compares the normal load with 2.5 times that load. Engines must not be
// assigned to requests that are still in time at the assignment but will be late at their first event.
func TestOverloadKeepsGoodput(t *testing.T) {
	normal, overload := simulateSeeds(reservedOutputFraction, 1), simulateSeeds(reservedOutputFraction, 2.5)
	t.Logf("normal %+v, overload %+v", normal, overload)
	assert.GreaterOrEqual(t, overload.inTime, normal.inTime)
	assert.Less(t, overload.late*10, overload.inTime)
}

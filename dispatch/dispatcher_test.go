package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiabridge/cassiabridge/standin/seeded"
)

func TestMain(m *testing.M) { seeded.Main(m, "100") }

var epoch = time.Unix(1_800_000_000, 0)

func newTestDispatcher(prefills, decodes, slots int) *Dispatcher {
	lane := Lane{Retention: 700 * time.Millisecond, TokenGap: 100 * time.Millisecond, MaxQueued: 1000}
	d := New(lane)
	var pre, dec []Engine
	for n := range prefills {
		pre = append(pre, Engine{Name: fmt.Sprint("p", n), Addr: fmt.Sprint("p", n)})
	}
	for n := range decodes {
		dec = append(dec, Engine{Name: fmt.Sprint("d", n), Addr: fmt.Sprint("d", n), Slots: slots})
	}
	d.Configure(lane, pre, dec)
	return d
}

func testRequest(id, account string, now time.Time) Request {
	return Request{ID: id, VM: "vm", Incarnation: "1", Account: account, PromptTokens: 200, OutputTokens: 50,
		ArrivedAt: now, FirstTokenDeadline: now.Add(time.Second), ExpiresAt: now.Add(time.Hour)}
}

// decidedIDs returns the request IDs of the decisions of one kind.
func decidedIDs(decisions []Decision, kind DecisionKind) []string {
	var ids []string
	for _, d := range decisions {
		if d.Kind == kind {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// advanceToDecode completes the prefill of a request and returns the decode engine it is assigned.
func advanceToDecode(t *testing.T, d *Dispatcher, now time.Time, id string) string {
	t.Helper()
	require.Equal(t, []string{id}, decidedIDs(d.Poll(now), DecidePrefill))
	require.NoError(t, d.PrefillCompleted(now.Add(10*time.Millisecond), id))
	decisions := d.Poll(now.Add(10 * time.Millisecond))
	require.Equal(t, []string{id}, decidedIDs(decisions, DecideDecode))
	return decisions[0].Engine
}

func TestDispatcher(t *testing.T) {
	t.Run("no prefill is granted without an expected decode slot", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		require.NoError(t, d.Submit(epoch, testRequest("b", "x", epoch)))
		advanceToDecode(t, d, epoch, "a")
		assert.Empty(t, d.Poll(epoch.Add(50*time.Millisecond)))
		d.Finish(epoch.Add(time.Second), "a", Result{})
		assert.Equal(t, []string{"b"}, decidedIDs(d.Poll(epoch.Add(time.Second)), DecidePrefill))
	})
	t.Run("a request that can meet its deadline precedes a late one", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		now := epoch.Add(5 * time.Second)
		require.NoError(t, d.Submit(now, testRequest("late", "x", epoch)))
		require.NoError(t, d.Submit(now, testRequest("timely", "x", now)))
		assert.Equal(t, []string{"timely"}, decidedIDs(d.Poll(now), DecidePrefill))
	})
	t.Run("an urgent request precedes the others", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		urgent := testRequest("u", "y", epoch.Add(time.Millisecond))
		urgent.Urgent = true
		require.NoError(t, d.Submit(epoch, urgent))
		assert.Equal(t, []string{"u"}, decidedIDs(d.Poll(epoch), DecidePrefill))
	})
	t.Run("an expired request is refused", func(t *testing.T) {
		d := newTestDispatcher(1, 0, 0)
		r := testRequest("a", "x", epoch)
		r.ExpiresAt = epoch.Add(time.Second)
		require.NoError(t, d.Submit(epoch, r))
		assert.Equal(t, []string{"a"}, decidedIDs(d.Poll(epoch.Add(2*time.Second)), DecideRefuse))
	})
	t.Run("a full queue rejects requests", func(t *testing.T) {
		d := newTestDispatcher(1, 0, 0)
		d.lane.MaxQueued = 1
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		assert.Error(t, d.Submit(epoch, testRequest("b", "x", epoch)))
	})
	t.Run("an engine that became slow is avoided", func(t *testing.T) {
		d := newTestDispatcher(1, 2, 10)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		slow := advanceToDecode(t, d, epoch, "a")
		for range 20 {
			d.ObserveTokenGap("a", 0.5)
		}
		for n := range 5 {
			id := fmt.Sprint("b", n)
			now := epoch.Add(time.Duration(n+1) * 100 * time.Millisecond)
			require.NoError(t, d.Submit(now, testRequest(id, "x", now)))
			assert.NotEqual(t, slow, advanceToDecode(t, d, now, id))
		}
	})
	t.Run("a request rejected by its decode engine is assigned another without a prefill", func(t *testing.T) {
		d := newTestDispatcher(1, 2, 10)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		first := advanceToDecode(t, d, epoch, "a")
		d.DecodeRejected(epoch.Add(20*time.Millisecond), "a", first)
		decisions := d.Poll(epoch.Add(20 * time.Millisecond))
		require.Equal(t, []string{"a"}, decidedIDs(decisions, DecideDecode))
		assert.NotEqual(t, first, decisions[0].Engine)
	})
	t.Run("an unreachable engine is not used until its next report", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 10)
		d.EngineUnreachable("d0")
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		assert.Empty(t, d.Poll(epoch))
		d.ApplyLoadReport(epoch, LoadReport{Engine: "d0"})
		assert.Len(t, d.Poll(epoch), 1)
	})
	t.Run("attempts of other dispatchers occupy slots", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 2)
		d.ApplyLoadReport(epoch, LoadReport{Engine: "d0", Attempts: []string{"other/1#1d", "other/2#1d"}})
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		assert.Empty(t, d.Poll(epoch))
	})
	t.Run("an engine with a cached prefix is preferred until cache events are missed", func(t *testing.T) {
		d := newTestDispatcher(2, 1, 10)
		r := testRequest("a", "x", epoch)
		r.PromptTokens, r.Prefix = 3*PrefixBlockTokens, []uint64{1, 2, 3}
		d.ApplyLoadReport(epoch, LoadReport{Engine: "p1", CacheFrom: 1, CacheEvents: []CacheEvent{{Hash: 1}, {Hash: 2}}})
		p, _ := d.bestPrefillEngine(epoch, &job{Request: r})
		assert.Equal(t, "p1", p.Name)
		d.ApplyLoadReport(epoch, LoadReport{Engine: "p1", CacheFrom: 9, CacheEvents: []CacheEvent{{Hash: 7}}})
		p, _ = d.bestPrefillEngine(epoch, &job{Request: r})
		assert.Equal(t, "p0", p.Name)
	})
	t.Run("reconciling a stale stage resends the last decision", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 2)
		r := testRequest("a", "x", epoch)
		require.NoError(t, d.Submit(epoch, r))
		require.Len(t, d.Poll(epoch), 1)
		decision, err := d.Reconcile(epoch, r, StageQueued, "", "", true)
		require.NoError(t, err)
		require.NotNil(t, decision)
		assert.Equal(t, DecidePrefill, decision.Kind)
	})
	t.Run("requests of a dead VM are dropped", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		advanceToDecode(t, d, epoch, "a")
		d.DropIncarnations(epoch, func(vm, _ string) bool { return vm == "vm" })
		queued, active := d.Counts()
		assert.Zero(t, queued+active)
		assert.Equal(t, 1, d.decodeEngines["d0"].freeSlots())
	})
}

func TestFairQueueing(t *testing.T) {
	d := newTestDispatcher(1, 1, 1)
	now := epoch
	for n := range 200 {
		require.NoError(t, d.Submit(now, testRequest(fmt.Sprint("flood", n), "flood", now)))
	}
	for n := range 40 {
		require.NoError(t, d.Submit(now, testRequest(fmt.Sprint("calm", n), "calm", now)))
	}
	served := map[byte]int{}
	for range 40 {
		ids := decidedIDs(d.Poll(now), DecidePrefill)
		require.Len(t, ids, 1)
		served[ids[0][0]]++
		now = now.Add(5 * time.Millisecond)
		require.NoError(t, d.PrefillCompleted(now, ids[0]))
		require.Len(t, d.Poll(now), 1)
		d.Finish(now, ids[0], Result{})
	}
	assert.Equal(t, served['f'], served['c'])
}

// harness drives a dispatcher at random and tracks the expected stage of every request.
type harness struct {
	d             *Dispatcher
	now           time.Time
	stages        map[string]Stage
	decodeEngines map[string]string
	lastID        int
}

func (h *harness) step(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		h.lastID++
		id := fmt.Sprintf("r%03d", h.lastID)
		r := testRequest(id, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"), h.now)
		r.PromptTokens = rapid.IntRange(1, 5000).Draw(t, "prompt")
		r.Urgent = rapid.Bool().Draw(t, "urgent")
		require.NoError(t, h.d.Submit(h.now, r))
		h.stages[id] = StageQueued
	case 2:
		h.withRequestIn(t, StagePrefill, func(id string) {
			require.NoError(t, h.d.PrefillCompleted(h.now, id))
			h.stages[id] = StagePrefilled
		})
	case 3:
		h.withRequestIn(t, StageDecode, func(id string) {
			h.d.Finish(h.now, id, Result{GapSeconds: 0.04})
			delete(h.stages, id)
		})
	case 4:
		h.withRequestIn(t, StageDecode, func(id string) {
			h.d.DecodeRejected(h.now, id, h.decodeEngines[id])
			h.stages[id] = StagePrefilled
		})
	case 5:
		h.withRequestIn(t, Stage(rapid.IntRange(0, 3).Draw(t, "stage")), func(id string) {
			h.d.Finish(h.now, id, Result{Failed: "d0"})
			delete(h.stages, id)
		})
	case 6:
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond)
	case 7:
		engine := fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "engine"))
		if rapid.Bool().Draw(t, "reachable") {
			h.d.ApplyLoadReport(h.now, LoadReport{Engine: engine})
		} else {
			h.d.EngineUnreachable(engine)
		}
	}
	h.poll(t)
}

// withRequestIn calls f with at most one randomly chosen request in a stage. It may choose none.
func (h *harness) withRequestIn(t *rapid.T, stage Stage, f func(id string)) {
	for n := 1; n <= h.lastID; n++ {
		id := fmt.Sprintf("r%03d", n)
		if s, ok := h.stages[id]; ok && s == stage && rapid.Bool().Draw(t, "this") {
			f(id)
			return
		}
	}
}

// poll checks that each decision fits the stage of its request and that no decode engine exceeds its slots.
func (h *harness) poll(t *rapid.T) {
	for _, decision := range h.d.Poll(h.now) {
		stage, known := h.stages[decision.ID]
		require.True(t, known, decision.ID)
		switch decision.Kind {
		case DecidePrefill:
			require.Equal(t, StageQueued, stage)
			h.stages[decision.ID] = StagePrefill
		case DecideDecode:
			require.Equal(t, StagePrefilled, stage)
			h.stages[decision.ID], h.decodeEngines[decision.ID] = StageDecode, decision.Engine
		case DecideRefuse:
			require.Fail(t, "a request was refused before its expiry")
		}
	}
	taken := map[string]int{}
	for id, stage := range h.stages {
		if stage == StageDecode {
			taken[h.decodeEngines[id]]++
		}
	}
	for engine, n := range taken {
		require.LessOrEqual(t, n, 2, engine)
	}
}

func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{d: newTestDispatcher(2, 2, 2), now: epoch, stages: map[string]Stage{}, decodeEngines: map[string]string{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.step(t)
		}
		h.drain(t)
		queued, active := h.d.Counts()
		require.Zero(t, queued+active)
	})
}

// drain completes all requests. It finishes those that have no decode engine left to try.
func (h *harness) drain(t *rapid.T) {
	for round := 0; len(h.stages) > 0; round++ {
		require.Less(t, round, 400, "requests are not completed: %v", h.stages)
		h.now = h.now.Add(100 * time.Millisecond)
		h.d.ApplyLoadReport(h.now, LoadReport{Engine: "d0"})
		h.d.ApplyLoadReport(h.now, LoadReport{Engine: "d1"})
		for id, stage := range h.stages {
			j := h.d.jobs[id]
			switch {
			case stage == StagePrefill:
				require.NoError(t, h.d.PrefillCompleted(h.now, id))
				h.stages[id] = StagePrefilled
			case stage == StageDecode, stage == StagePrefilled && len(j.Avoid) > 1:
				h.d.Finish(h.now, id, Result{})
				delete(h.stages, id)
			}
		}
		h.poll(t)
	}
}

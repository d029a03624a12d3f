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

func newTestDispatcher(prefills, decodes, places int) *Dispatcher {
	lane := Lane{Retain: 700 * time.Millisecond, TokenGap: 100 * time.Millisecond, MaxQueued: 1000}
	d := New(lane)
	var pre, dec []Engine
	for n := range prefills {
		pre = append(pre, Engine{Name: fmt.Sprint("p", n), Addr: fmt.Sprint("p", n)})
	}
	for n := range decodes {
		dec = append(dec, Engine{Name: fmt.Sprint("d", n), Addr: fmt.Sprint("d", n), Places: places})
	}
	d.Configure(lane, pre, dec)
	return d
}

func testRequest(id, account string, now time.Time) Request {
	return Request{ID: id, VM: "vm", Incarnation: "1", Account: account, PromptTokens: 200, OutputTokens: 50,
		ArrivedAt: now, FirstTokenBy: now.Add(time.Second), GiveUpAt: now.Add(time.Hour)}
}

// granted returns the IDs for which decisions of a kind were made.
func granted(decisions []Decision, kind DecisionKind) []string {
	var ids []string
	for _, d := range decisions {
		if d.Kind == kind {
			ids = append(ids, d.ID)
		}
	}
	return ids
}

// pass takes a request through its prefill to a place, and returns the engine.
func pass(t *testing.T, d *Dispatcher, now time.Time, id string) string {
	t.Helper()
	require.Equal(t, []string{id}, granted(d.Poll(now), DecidePrefill))
	require.NoError(t, d.Prefilled(now.Add(10*time.Millisecond), id))
	decisions := d.Poll(now.Add(10 * time.Millisecond))
	require.Equal(t, []string{id}, granted(decisions, DecideDecode))
	return decisions[0].Engine
}

func TestDispatcher(t *testing.T) {
	t.Run("no prefill without a place in sight", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		require.NoError(t, d.Submit(epoch, testRequest("b", "x", epoch)))
		pass(t, d, epoch, "a")
		assert.Empty(t, d.Poll(epoch.Add(50*time.Millisecond)))
		d.Finish(epoch.Add(time.Second), "a", Result{})
		assert.Equal(t, []string{"b"}, granted(d.Poll(epoch.Add(time.Second)), DecidePrefill))
	})
	t.Run("a request in time goes before a late one", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		now := epoch.Add(5 * time.Second)
		require.NoError(t, d.Submit(now, testRequest("late", "x", epoch)))
		require.NoError(t, d.Submit(now, testRequest("timely", "x", now)))
		assert.Equal(t, []string{"timely"}, granted(d.Poll(now), DecidePrefill))
	})
	t.Run("an urgent request goes first", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		urgent := testRequest("u", "y", epoch.Add(time.Millisecond))
		urgent.Urgent = true
		require.NoError(t, d.Submit(epoch, urgent))
		assert.Equal(t, []string{"u"}, granted(d.Poll(epoch), DecidePrefill))
	})
	t.Run("a request that waited too long is refused", func(t *testing.T) {
		d := newTestDispatcher(1, 0, 0)
		r := testRequest("a", "x", epoch)
		r.GiveUpAt = epoch.Add(time.Second)
		require.NoError(t, d.Submit(epoch, r))
		assert.Equal(t, []string{"a"}, granted(d.Poll(epoch.Add(2*time.Second)), DecideRefuse))
	})
	t.Run("a full queue refuses", func(t *testing.T) {
		d := newTestDispatcher(1, 0, 0)
		d.lane.MaxQueued = 1
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		assert.Error(t, d.Submit(epoch, testRequest("b", "x", epoch)))
	})
	t.Run("an engine that became slow is avoided", func(t *testing.T) {
		d := newTestDispatcher(1, 2, 10)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		slow := pass(t, d, epoch, "a")
		for range 20 {
			d.Progress("a", 0.5)
		}
		for n := range 5 {
			id := fmt.Sprint("b", n)
			now := epoch.Add(time.Duration(n+1) * 100 * time.Millisecond)
			require.NoError(t, d.Submit(now, testRequest(id, "x", now)))
			assert.NotEqual(t, slow, pass(t, d, now, id))
		}
	})
	t.Run("a misplaced request gets another place without a prefill", func(t *testing.T) {
		d := newTestDispatcher(1, 2, 10)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		first := pass(t, d, epoch, "a")
		d.Misplaced(epoch.Add(20*time.Millisecond), "a", first)
		decisions := d.Poll(epoch.Add(20 * time.Millisecond))
		require.Equal(t, []string{"a"}, granted(decisions, DecideDecode))
		assert.NotEqual(t, first, decisions[0].Engine)
	})
	t.Run("an engine without reports gets nothing until the next report", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 10)
		d.Unreachable("d0")
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		assert.Empty(t, d.Poll(epoch))
		d.Observe(epoch, Load{Engine: "d0"})
		assert.Len(t, d.Poll(epoch), 1)
	})
	t.Run("attempts placed by others take places", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 2)
		d.Observe(epoch, Load{Engine: "d0", Attempts: []string{"other/1#1d", "other/2#1d"}})
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		assert.Empty(t, d.Poll(epoch))
	})
	t.Run("cached prefixes are preferred until events are missed", func(t *testing.T) {
		d := newTestDispatcher(2, 1, 10)
		r := testRequest("a", "x", epoch)
		r.PromptTokens, r.Prefix = 3*PieceTokens, []uint64{1, 2, 3}
		d.Observe(epoch, Load{Engine: "p1", CacheFrom: 1, CacheEvents: []CacheEvent{{Hash: 1}, {Hash: 2}}})
		p, _ := d.bestPrefill(epoch, &job{Request: r})
		assert.Equal(t, "p1", p.Name)
		d.Observe(epoch, Load{Engine: "p1", CacheFrom: 9, CacheEvents: []CacheEvent{{Hash: 7}}})
		p, _ = d.bestPrefill(epoch, &job{Request: r})
		assert.Equal(t, "p0", p.Name)
	})
	t.Run("a repeated list of requests repeats a lost decision", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 2)
		r := testRequest("a", "x", epoch)
		require.NoError(t, d.Submit(epoch, r))
		require.Len(t, d.Poll(epoch), 1)
		decision, err := d.Reconcile(epoch, r, StageQueued, "", "", true)
		require.NoError(t, err)
		require.NotNil(t, decision)
		assert.Equal(t, DecidePrefill, decision.Kind)
	})
	t.Run("requests of a VM that is gone are dropped", func(t *testing.T) {
		d := newTestDispatcher(1, 1, 1)
		require.NoError(t, d.Submit(epoch, testRequest("a", "x", epoch)))
		pass(t, d, epoch, "a")
		d.DropVM(epoch, func(vm, _ string) bool { return vm == "vm" })
		queued, active := d.Counts()
		assert.Zero(t, queued+active)
		assert.Equal(t, 1, d.decodes["d0"].free())
	})
}

func TestAccountsShareService(t *testing.T) {
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
		ids := granted(d.Poll(now), DecidePrefill)
		require.Len(t, ids, 1)
		served[ids[0][0]]++
		now = now.Add(5 * time.Millisecond)
		require.NoError(t, d.Prefilled(now, ids[0]))
		require.Len(t, d.Poll(now), 1)
		d.Finish(now, ids[0], Result{})
	}
	assert.Equal(t, served['f'], served['c'])
}

// harness drives a dispatcher and knows what every request was told.
type harness struct {
	d     *Dispatcher
	now   time.Time
	stage map[string]Stage
	place map[string]string
	next  int
}

func (h *harness) step(t *rapid.T) {
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1:
		h.next++
		id := fmt.Sprintf("r%03d", h.next)
		r := testRequest(id, rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "account"), h.now)
		r.PromptTokens = rapid.IntRange(1, 5000).Draw(t, "prompt")
		r.Urgent = rapid.Bool().Draw(t, "urgent")
		require.NoError(t, h.d.Submit(h.now, r))
		h.stage[id] = StageQueued
	case 2:
		h.each(t, StagePrefill, func(id string) {
			require.NoError(t, h.d.Prefilled(h.now, id))
			h.stage[id] = StagePrefilled
		})
	case 3:
		h.each(t, StageDecode, func(id string) {
			h.d.Finish(h.now, id, Result{GapSeconds: 0.04})
			delete(h.stage, id)
		})
	case 4:
		h.each(t, StageDecode, func(id string) {
			h.d.Misplaced(h.now, id, h.place[id])
			h.stage[id] = StagePrefilled
		})
	case 5:
		h.each(t, Stage(rapid.IntRange(0, 3).Draw(t, "stage")), func(id string) {
			h.d.Finish(h.now, id, Result{Failed: "d0"})
			delete(h.stage, id)
		})
	case 6:
		h.now = h.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "millis")) * time.Millisecond)
	case 7:
		engine := fmt.Sprint("d", rapid.IntRange(0, 1).Draw(t, "engine"))
		if rapid.Bool().Draw(t, "reachable") {
			h.d.Observe(h.now, Load{Engine: engine})
		} else {
			h.d.Unreachable(engine)
		}
	}
	h.poll(t)
}

// each runs a function on one request in a stage.
func (h *harness) each(t *rapid.T, stage Stage, f func(id string)) {
	for n := 1; n <= h.next; n++ {
		id := fmt.Sprintf("r%03d", n)
		if s, ok := h.stage[id]; ok && s == stage && rapid.Bool().Draw(t, "this") {
			f(id)
			return
		}
	}
}

// poll checks that each decision follows from the stage of its request, and that no place is given twice.
func (h *harness) poll(t *rapid.T) {
	for _, decision := range h.d.Poll(h.now) {
		stage, known := h.stage[decision.ID]
		require.True(t, known, decision.ID)
		switch decision.Kind {
		case DecidePrefill:
			require.Equal(t, StageQueued, stage)
			h.stage[decision.ID] = StagePrefill
		case DecideDecode:
			require.Equal(t, StagePrefilled, stage)
			h.stage[decision.ID], h.place[decision.ID] = StageDecode, decision.Engine
		case DecideRefuse:
			require.Fail(t, "nothing waits for an hour")
		}
	}
	taken := map[string]int{}
	for id, stage := range h.stage {
		if stage == StageDecode {
			taken[h.place[id]]++
		}
	}
	for engine, n := range taken {
		require.LessOrEqual(t, n, 2, engine)
	}
}

func TestEveryRequestIsServedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{d: newTestDispatcher(2, 2, 2), now: epoch, stage: map[string]Stage{}, place: map[string]string{}}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			h.step(t)
		}
		h.drain(t)
		queued, active := h.d.Counts()
		require.Zero(t, queued+active)
	})
}

// drain lets all engines work until nothing is left. Requests misplaced everywhere are given up.
func (h *harness) drain(t *rapid.T) {
	for round := 0; len(h.stage) > 0; round++ {
		require.Less(t, round, 400, "requests are stuck: %v", h.stage)
		h.now = h.now.Add(100 * time.Millisecond)
		h.d.Observe(h.now, Load{Engine: "d0"})
		h.d.Observe(h.now, Load{Engine: "d1"})
		for id, stage := range h.stage {
			j := h.d.jobs[id]
			switch {
			case stage == StagePrefill:
				require.NoError(t, h.d.Prefilled(h.now, id))
				h.stage[id] = StagePrefilled
			case stage == StageDecode, stage == StagePrefilled && len(j.Avoid) > 1:
				h.d.Finish(h.now, id, Result{})
				delete(h.stage, id)
			}
		}
		h.poll(t)
	}
}

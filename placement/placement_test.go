package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	enginePool         = "engines"
	servicePool        = "desk"
	otherPool          = "other"
	engineMemoryTokens = 76_160
)

var startTime = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return startTime.Add(d) }

// newTestScheduler returns a scheduler with the given numbers of prefill and decode engines, alternating between two
// availability zones, and a service pool of three replicas.
func newTestScheduler(prefills, decodes int) *Scheduler {
	s := NewScheduler("zone-a", quota.NewReplicaLimits("vm"), quota.NewColdLimits("vm", quota.ColdTolerance{}), func() float64 { return 0 })
	s.SetPools([]routing.Pool{{Name: enginePool, Engine: &routing.EngineSpec{MaxRunning: 48, MemoryTokens: engineMemoryTokens, Retain: 500 * time.Millisecond}}, {Name: servicePool}, {Name: otherPool}})
	for i := range prefills {
		s.SetReplica(engineReplica(fmt.Sprintf("p%d", i), StagePrefill, i))
	}
	for i := range decodes {
		s.SetReplica(engineReplica(fmt.Sprintf("d%d", i), StageDecode, i))
	}
	for i := range 3 {
		s.SetReplica(Replica{ID: fmt.Sprintf("s%d", i), Pool: servicePool, Address: fmt.Sprintf("10.0.3.%d:1", i), Zone: "zone-a", Slots: 6})
	}
	return s
}

func engineReplica(id string, stage Stage, i int) Replica {
	return Replica{ID: id, Pool: enginePool, Address: fmt.Sprintf("10.0.%d.%d:1", stage, i), Zone: []string{"zone-a", "zone-b"}[i%2], Stage: stage, Slots: 48}
}

func request(id uint64, arrived time.Duration, prompt, output int) Request {
	return Request{ID: id, Pool: enginePool, PromptTokens: prompt, OutputTokens: output, ArrivedAt: at(arrived),
		FirstEventDueAt: at(arrived + 900*time.Millisecond), ExpiresAt: at(arrived + 14*time.Second)}
}

// submit submits a request, polls, and returns the decision, which must be the only one.
func submit(t *testing.T, s *Scheduler, now time.Duration, r Request) Decision {
	t.Helper()
	s.Submit(r)
	decisions := s.Poll(at(now))
	require.Len(t, decisions, 1)
	return decisions[0]
}

func TestEngineChoice(t *testing.T) {
	t.Run("same availability zone", func(t *testing.T) {
		d := submit(t, newTestScheduler(2, 2), 0, request(1, 0, 5000, 3000))
		assert.Equal(t, Start, d.Kind)
		assert.Equal(t, d.Prefill.Zone, d.Decode.Zone)
	})
	t.Run("avoids a prefill backlog", func(t *testing.T) {
		s := newTestScheduler(2, 2)
		first := submit(t, s, 0, request(1, 0, 9000, 3000))
		second := submit(t, s, 0, request(2, 0, 5000, 3000))
		assert.NotEqual(t, first.Prefill.ID, second.Prefill.ID)
	})
	t.Run("counts the load of peers", func(t *testing.T) {
		s := newTestScheduler(1, 2)
		s.SetPeerLoads("vm-2", map[string]Load{"d0": {Requests: 10, Tokens: engineMemoryTokens}})
		assert.Equal(t, "d1", submit(t, s, 0, request(1, 0, 5000, 3000)).Decode.ID)
	})
}

func TestUnavailableReplicas(t *testing.T) {
	scenarios := []struct {
		name    string
		disable func(s *Scheduler)
	}{
		{name: "leaving", disable: func(s *Scheduler) {
			r := engineReplica("d0", StageDecode, 0)
			r.Leaving = true
			s.SetReplica(r)
		}},
		{name: "unreachable", disable: func(s *Scheduler) { s.RecordFailure(at(0), "d0", true) }},
		{name: "failing repeatedly", disable: func(s *Scheduler) {
			for range failureThreshold {
				s.RecordFailure(at(0), "d0", false)
			}
		}},
		{name: "doubtful", disable: func(s *Scheduler) {
			r := engineReplica("d0", StageDecode, 0)
			r.Doubtful = true
			s.SetReplica(r)
		}},
		{name: "replaced by another at its address", disable: func(s *Scheduler) { s.MarkReplaced("d0") }},
		{name: "listed under a new ID", disable: func(s *Scheduler) {
			successor := engineReplica("p9", StagePrefill, 0)
			successor.Address = engineReplica("d0", StageDecode, 0).Address
			successor.Pool = otherPool
			s.SetReplica(successor)
		}},
		{name: "removed", disable: func(s *Scheduler) { s.RemoveReplica(at(0), "d0") }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newTestScheduler(1, 2)
			scenario.disable(s)
			for i := range uint64(6) {
				assert.Equal(t, "d1", submit(t, s, 0, request(i+1, 0, 2000, 1000)).Decode.ID)
			}
		})
	}
	t.Run("a replaced replica is not used as the last resort", func(t *testing.T) {
		s := newTestScheduler(1, 1)
		s.MarkReplaced("d0")
		s.SetReplica(engineReplica("d0", StageDecode, 0))
		assert.Equal(t, RefuseNoEngine, submit(t, s, 0, request(1, 0, 2000, 1000)).Kind)
	})
	t.Run("a leaving replica is not used as the last resort", func(t *testing.T) {
		s := newTestScheduler(1, 1)
		r := engineReplica("d0", StageDecode, 0)
		r.Leaving = true
		s.SetReplica(r)
		assert.Equal(t, RefuseNoEngine, submit(t, s, 0, request(1, 0, 2000, 1000)).Kind)
	})
	t.Run("a doubtful replica is used as the last resort", func(t *testing.T) {
		s := newTestScheduler(1, 1)
		r := engineReplica("d0", StageDecode, 0)
		r.Doubtful = true
		s.SetReplica(r)
		assert.Equal(t, Start, submit(t, s, 0, request(1, 0, 2000, 1000)).Kind)
	})
}

func TestRequestsWaitForFreeMemory(t *testing.T) {
	s := newTestScheduler(1, 1)
	reserved := 0
	for i := range uint64(8) {
		r := request(i+1, 0, 5000, 5000)
		require.Equal(t, Start, submit(t, s, 0, r).Kind)
		reserved += r.reservedTokens()
	}
	assert.LessOrEqual(t, reserved, engineMemoryTokens)
	s.Submit(request(9, 0, 5000, 5000))
	assert.Empty(t, s.Poll(at(0)), "all memory is reserved")
	t.Run("the next request starts when one ends", func(t *testing.T) {
		s.Remove(at(0), 3)
		decisions := s.Poll(at(100 * time.Millisecond))
		require.Len(t, decisions, 1)
		assert.Equal(t, uint64(9), decisions[0].ID)
	})
}

func TestSmallRequestsDoNotStarveLargeOnes(t *testing.T) {
	s := newTestScheduler(1, 1)
	require.Equal(t, Start, submit(t, s, 0, request(1, 0, 60_000, 5000)).Kind)
	s.Submit(request(2, 0, 20_000, 5000))
	s.Submit(request(3, time.Millisecond, 1000, 500))
	assert.Empty(t, s.Poll(at(2*time.Millisecond)))
	s.Remove(at(0), 1)
	decisions := s.Poll(at(3 * time.Millisecond))
	require.Len(t, decisions, 2)
	assert.Equal(t, uint64(2), decisions[0].ID)
}

func TestQueueOrder(t *testing.T) {
	full := func() *Scheduler {
		s := newTestScheduler(1, 1)
		require.Equal(t, Start, submit(t, s, 0, request(1, 0, 70_000, 3000)).Kind)
		return s
	}
	firstStarted := func(s *Scheduler, now time.Duration) uint64 {
		s.Remove(at(0), 1)
		decisions := s.Poll(at(now))
		require.NotEmpty(t, decisions)
		return decisions[0].ID
	}
	t.Run("urgent requests first", func(t *testing.T) {
		b := full()
		normal, urgent := request(2, 0, 5000, 3000), request(3, time.Millisecond, 5000, 3000)
		normal.Priority = 1
		b.Submit(normal)
		b.Submit(urgent)
		assert.Equal(t, uint64(3), firstStarted(b, 10*time.Millisecond))
	})
	t.Run("requests in time before late ones", func(t *testing.T) {
		b := full()
		b.Submit(request(2, 0, 5000, 3000))
		b.Submit(request(3, 800*time.Millisecond, 5000, 3000))
		assert.Equal(t, uint64(3), firstStarted(b, 1100*time.Millisecond))
	})
}

func TestRefusals(t *testing.T) {
	s := newTestScheduler(1, 1)
	require.Equal(t, Start, submit(t, s, 0, request(1, 0, 70_000, 3000)).Kind)
	s.Submit(request(2, 0, 5000, 3000))
	assert.Empty(t, s.Poll(at(900*time.Millisecond)))
	decisions := s.Poll(at(900*time.Millisecond + maxLateWait + time.Millisecond))
	require.Len(t, decisions, 1)
	assert.Equal(t, RefuseOverload, decisions[0].Kind)
	assert.GreaterOrEqual(t, decisions[0].RetryAfter, minRetryAfter)
	assert.Zero(t, s.QueueLength())
	t.Run("when the estimated wait is too long", func(t *testing.T) {
		s := newTestScheduler(1, 1)
		require.Equal(t, Start, submit(t, s, 0, request(1, 0, 70_000, 3000)).Kind)
		for id := range uint64(30) {
			s.Submit(request(id+2, 0, 5000, 3000))
		}
		decisions := s.Poll(at(0))
		require.NotEmpty(t, decisions)
		assert.NotZero(t, s.QueueLength())
		for _, d := range decisions {
			assert.Equal(t, RefuseOverload, d.Kind)
			assert.GreaterOrEqual(t, d.RetryAfter, d.EstimatedWait, "the retry delay must cover the estimated wait")
		}
		s.SetPeerQueuedTokens("vm-2", map[string]int{enginePool: 50 * 8000})
		assert.Len(t, s.Poll(at(0)), 30-len(decisions), "requests queued at other VMs must count")
	})
	t.Run("immediately without engines", func(t *testing.T) {
		assert.Equal(t, RefuseNoEngine, submit(t, newTestScheduler(0, 1), 0, request(1, 0, 5000, 3000)).Kind)
	})
}

func TestLargestRequests(t *testing.T) {
	t.Run("a request that needs a whole engine gets an empty one", func(t *testing.T) {
		assert.Equal(t, Start, submit(t, newTestScheduler(1, 1), 0, request(1, 0, engineMemoryTokens-1000, 20_000)).Kind)
	})
	t.Run("a request larger than any engine is refused immediately", func(t *testing.T) {
		assert.Equal(t, RefuseTooLarge, submit(t, newTestScheduler(1, 1), 0, request(1, 0, engineMemoryTokens+1, 10)).Kind)
	})
}

func TestReassignDecodeSkipsFailedEngines(t *testing.T) {
	s := newTestScheduler(1, 3)
	first := submit(t, s, 0, request(1, 0, 5000, 3000)).Decode.ID
	second, found := s.ReassignDecode(at(0), 1, []string{first})
	require.True(t, found)
	third, found := s.ReassignDecode(at(0), 1, []string{first, second.ID})
	require.True(t, found)
	_, found = s.ReassignDecode(at(0), 1, []string{first, second.ID, third.ID})
	assert.False(t, found)
}

func TestReassignDecode(t *testing.T) {
	s := newTestScheduler(1, 3)
	d := submit(t, s, 0, request(1, 0, 5000, 3000))
	s.FinishPrefill(at(100*time.Millisecond), 1, true)
	last := d.Decode.ID
	seen := map[string]bool{last: true}
	for range 2 {
		s.MarkFull(at(100*time.Millisecond), last)
		next, found := s.ReassignDecode(at(100*time.Millisecond), 1, nil)
		require.True(t, found)
		assert.False(t, seen[next.ID])
		last = next.ID
		seen[last] = true
	}
	s.MarkFull(at(100*time.Millisecond), last)
	_, found := s.ReassignDecode(at(100*time.Millisecond), 1, nil)
	assert.False(t, found, "all decode engines are full")
	assert.Empty(t, s.Poll(at(100*time.Millisecond)))
	s.Submit(request(2, 100*time.Millisecond, 5000, 3000))
	assert.Empty(t, s.Poll(at(110*time.Millisecond)), "full engines must receive nothing during the backoff")
	assert.Len(t, s.Poll(at(100*time.Millisecond+fullBackoff)), 1)
	s.Remove(at(0), 2)
	s.Remove(at(0), 1)
	assert.Empty(t, s.OwnLoads(), "a removed request must not hold reservations")
}

func TestPrefillRateEstimate(t *testing.T) {
	s := newTestScheduler(2, 2)
	for i := range uint64(8) {
		d := submit(t, s, 0, request(i+1, 0, 5000, 100))
		took := 300 * time.Millisecond
		if d.Prefill.ID == "p1" {
			took = 60 * time.Millisecond
		}
		s.FinishPrefill(at(took), d.ID, true)
		s.Remove(at(took), d.ID)
	}
	assert.Equal(t, "p1", submit(t, s, time.Second, request(99, time.Second, 5000, 100)).Prefill.ID)
}

func TestServices(t *testing.T) {
	t.Run("calls are spread evenly", func(t *testing.T) {
		s := newTestScheduler(0, 0)
		seen := map[string]int{}
		for range 9 {
			decision := s.PickService(at(0), ServiceCall{Pool: servicePool})
			require.True(t, decision.Found)
			seen[decision.Replica.ID]++
		}
		assert.Equal(t, map[string]int{"s0": 3, "s1": 3, "s2": 3}, seen)
	})
	t.Run("a slow replica gets fewer calls", func(t *testing.T) {
		s := newTestScheduler(0, 0)
		for range 8 {
			s.SetReplica(Replica{ID: "s0", Pool: servicePool, Address: "10.0.3.0:1", Zone: "zone-a", Slots: 6})
			s.replicas["s0"].ownLoad.add(1, 0)
			s.ReleaseService("s0", 500*time.Millisecond)
		}
		for range 4 {
			decision := s.PickService(at(0), ServiceCall{Pool: servicePool})
			assert.NotEqual(t, "s0", decision.Replica.ID)
		}
	})
	t.Run("avoided replicas are not picked", func(t *testing.T) {
		decision := newTestScheduler(0, 0).PickService(at(0), ServiceCall{Pool: servicePool, Avoid: []string{"s0", "s1", "s2"}})
		assert.False(t, decision.Found)
	})
}

func TestReplicasWithARequestLimit(t *testing.T) {
	limit := func(s *Scheduler, rate float64, ids ...string) {
		for _, id := range ids {
			s.limits.Observe(at(0), id, rate, at(0))
		}
	}
	t.Run("a service takes what is beyond another one's limit", func(t *testing.T) {
		s := newTestScheduler(0, 0)
		limit(s, 1, "s0", "s1")
		chosen := map[string]int{}
		for range 12 {
			decision := s.PickService(at(0), ServiceCall{Pool: servicePool})
			require.True(t, decision.Found)
			chosen[decision.Replica.ID]++
		}
		assert.Equal(t, map[string]int{"s0": 1, "s1": 1, "s2": 10}, chosen)
		limit(s, 1, "s2")
		decision := s.PickService(at(0), ServiceCall{Pool: servicePool, Avoid: []string{"s2"}})
		assert.False(t, decision.Found, "the others have used up their limits")
	})
	t.Run("a generation takes what is beyond an engine's limit to others", func(t *testing.T) {
		s := newTestScheduler(2, 2)
		limit(s, 1, "p0", "d0")
		started := map[string]int{}
		for id := range uint64(6) {
			d := submit(t, s, 0, request(id, 0, 1000, 100))
			require.Equal(t, Start, d.Kind)
			started[d.Prefill.ID]++
			started[d.Decode.ID]++
		}
		assert.Equal(t, map[string]int{"p0": 1, "p1": 5, "d0": 1, "d1": 5}, started)
	})
	t.Run("a request that must wait too long for limited engines is refused at once", func(t *testing.T) {
		s := newTestScheduler(1, 1)
		limit(s, 1, "p0", "d0")
		require.Equal(t, Start, submit(t, s, 0, request(1, 0, 1000, 100)).Kind)
		refused := 0
		for id := range uint64(8) {
			s.Submit(request(id+2, 0, 1000, 100))
		}
		for _, d := range s.Poll(at(0)) {
			assert.Equal(t, RefuseOverload, d.Kind)
			refused++
		}
		assert.GreaterOrEqual(t, refused, 5, "one request a second")
		assert.NotZero(t, s.QueueLength(), "the first can wait")
	})
}

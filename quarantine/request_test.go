package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

func TestRequestID(t *testing.T) {
	id := RequestID("a", "GET", "h", "/x", []byte("body"))
	assert.Equal(t, id, RequestID("a", "GET", "h", "/x", []byte("body")))
	assert.NotContains(t, id, "body")
	for n, other := range []string{RequestID("b", "GET", "h", "/x", []byte("body")), RequestID("a", "POST", "h", "/x", []byte("body")), RequestID("a", "GET", "g", "/x", []byte("body")),
		RequestID("a", "GET", "h", "/y", []byte("body")), RequestID("a", "GET", "h", "/x", nil), RequestID("a", "GET", "h", "/xb", []byte("ody"))} {
		assert.NotEqual(t, id, other, n)
	}
}

func TestRequestsAreQuarantined(t *testing.T) {
	id := RequestID("a", "GET", "h", "/x", nil)
	t.Run("two runs of one attempt and a third end", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{id}, 0)
		assertVerdict(t, Admit, tracker, 10*time.Millisecond, id)
		endAt(tracker, []string{id}, 80*time.Millisecond)
		first := assertVerdict(t, Trial, tracker, time.Second, id)
		assert.Equal(t, requestRetryAfter, assertVerdict(t, Busy, tracker, time.Second, id).RetryAfter)
		tracker.EndTrial(first.Claimed)
		assert.Equal(t, []string{id}, tracker.RecordEnd(at(time.Second), []string{id}, "third"))
		assertVerdict(t, Refuse, tracker, 2*time.Second, id)
	})
	t.Run("two trials and no more, until nobody asks", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{id}, 0, time.Second, 2*time.Second)
		trials, now := 0, 3*time.Second
		for ; now < 24*time.Hour; now += time.Minute {
			if decision := tracker.Decide(at(now), []string{id}); decision.Verdict == Trial {
				trials++
				tracker.RecordEnd(at(now), []string{id}, fmt.Sprint("trial-", trials))
				tracker.EndTrial(decision.Claimed)
			}
			tracker.Expire(at(now))
		}
		assert.Equal(t, maxRequestTrials, trials)
		now += quarantineExpiry
		tracker.Expire(at(now))
		assertVerdict(t, Admit, tracker, now, id)
	})
	t.Run("one that is answered all the time is innocent", func(t *testing.T) {
		tracker := NewTracker()
		for n := range 20 {
			tracker.RecordSurvival(at(time.Duration(n)*time.Second), []string{id})
			for m := range 4 {
				tracker.RecordEnd(at(time.Duration(n)*time.Second+time.Duration(m)*50*time.Millisecond), []string{id}, fmt.Sprint(n, m))
			}
			assertVerdict(t, Admit, tracker, time.Duration(n)*time.Second+300*time.Millisecond, id)
		}
	})
	t.Run("another one that ran beside it each time does not excuse it", func(t *testing.T) {
		tracker := NewTracker()
		endAt(tracker, []string{requestPrefix + "other"}, 0, time.Second, 2*time.Second)
		endAt(tracker, []string{id}, 0, time.Second, 2*time.Second)
		assertVerdict(t, Refuse, tracker, 3*time.Second, id)
	})
	t.Run("many others can't push it out", func(t *testing.T) {
		tracker, other := NewTracker(), NewTracker()
		endAt(tracker, []string{id}, 0, 50*time.Millisecond)
		for n := range 3 * maxSuspects {
			tracker.RecordEnd(at(time.Second), []string{fmt.Sprint(requestPrefix, n)}, "r")
		}
		other.Merge(at(time.Second), tracker.Report(at(time.Second)))
		assertVerdict(t, Trial, other, 2*time.Second, id)
	})
}

// Parameters of a simulated fleet before a service of which one request ends the replicas.
const (
	requestStep     = 5 * time.Millisecond
	requestDuration = 40 * time.Second
	requestStable   = 3 * time.Second
	requestRestart  = 3 * time.Second
	requestReplicas = 6
	// toleratedRetries is how many may arrive later than requestStable after the third end.
	toleratedRetries = 3
)

// requestRun is one run of a request at a replica.
type requestRun struct {
	vm, replica int
	lifetime    int
	id          string
	endsAt      time.Duration
	claimed     []string
}

// requestFleet plays one harmful request, one that is repeated all the time, and others that come once, on several VMs.
type requestFleet struct {
	random   *rand.Rand
	trackers []*Tracker
	upAt     [requestReplicas]time.Duration
	lifetime [requestReplicas]int
	runs     []requestRun
	// reports holds what is on its way to other VMs.
	reports []requestReport
	delay   time.Duration

	harmfulEnds     []time.Duration
	harmfulArrivals []time.Duration
	repeated        []bool
	repeatedAt      []time.Duration
}

type requestReport struct {
	to     int
	at     time.Duration
	parts  map[string]Evidence
	from   string
	trials []string
}

const (
	harmfulRequest  = requestPrefix + "harmful"
	repeatedRequest = requestPrefix + "repeated"
)

// send lets a VM decide on a request and run it at a replica, and reports whether it could.
func (f *requestFleet) send(now time.Duration, vm int, id string, work time.Duration) bool {
	decision := f.trackers[vm].Decide(at(now), []string{id})
	if decision.Verdict == Busy || decision.Verdict == Refuse {
		return false
	}
	var up []int
	for n, since := range f.upAt {
		if now >= since {
			up = append(up, n)
		}
	}
	if len(up) == 0 {
		f.trackers[vm].EndTrial(decision.Claimed)
		return true
	}
	replica := up[f.random.IntN(len(up))]
	if id == harmfulRequest {
		f.harmfulArrivals = append(f.harmfulArrivals, now)
	}
	f.runs = append(f.runs, requestRun{vm, replica, f.lifetime[replica], id, now + work, decision.Claimed})
	return true
}

// endReplica ends a replica, and what runs there.
func (f *requestFleet) endReplica(now time.Duration, replica int) {
	for _, run := range f.runs {
		if run.replica == replica && run.lifetime == f.lifetime[replica] {
			f.trackers[run.vm].RecordEnd(at(now), []string{run.id}, fmt.Sprint(replica, "/", run.lifetime))
			f.trackers[run.vm].EndTrial(run.claimed)
		}
	}
	f.runs = slices.DeleteFunc(f.runs, func(r requestRun) bool { return r.replica == replica })
	f.upAt[replica] = now + requestRestart
	f.lifetime[replica]++
}

func (f *requestFleet) step(now time.Duration) {
	for n := 0; n < len(f.runs); n++ {
		run := f.runs[n]
		if now < run.endsAt {
			continue
		}
		if run.id == harmfulRequest {
			f.harmfulEnds = append(f.harmfulEnds, now)
			f.endReplica(now, run.replica)
			n = -1
			continue
		}
		f.trackers[run.vm].RecordSurvival(at(now), []string{run.id})
		f.trackers[run.vm].EndTrial(run.claimed)
		f.runs = slices.Delete(f.runs, n, n+1)
		n--
	}
	f.reports = slices.DeleteFunc(f.reports, func(r requestReport) bool {
		if now < r.at {
			return false
		}
		f.trackers[r.to].Merge(at(now), r.parts)
		f.trackers[r.to].SetPeerTrials(r.from, r.trials)
		return true
	})
	for vm, tracker := range f.trackers {
		tracker.Expire(at(now))
		if int(now/requestStep)%len(f.trackers) != vm {
			continue
		}
		for to := range f.trackers {
			if to != vm && f.random.Float64() > 0.05 {
				f.reports = append(f.reports, requestReport{to, now + f.delay, tracker.Report(at(now)), fmt.Sprint("vm-", vm), tracker.OwnTrials()})
			}
		}
	}
}

// TestRequestThatEndsReplicasAgainstOracle guards against a harmful request that reaches replicas more often than the rule allows,
// counted from the replicas' ends, and against innocent ones that run beside it and are refused.
func TestRequestThatEndsReplicasAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &requestFleet{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), delay: time.Duration(rapid.IntRange(5, 900).Draw(t, "reportDelayMillis")) * time.Millisecond}
		for range rapid.IntRange(1, 8).Draw(t, "vms") {
			f.trackers = append(f.trackers, NewTracker())
		}
		interval := time.Duration(rapid.IntRange(100, 3000).Draw(t, "harmfulIntervalMillis")) * time.Millisecond
		powerLossAt := time.Duration(rapid.IntRange(0, 40).Draw(t, "powerLossSecond")) * time.Second
		nextHarmful, once := 2*time.Second, 0
		for now := time.Duration(0); now < requestDuration; now += requestStep {
			f.step(now)
			vm := f.random.IntN(len(f.trackers))
			if now >= nextHarmful {
				nextHarmful = now + interval
				f.send(now, vm, harmfulRequest, 60*time.Millisecond)
			}
			if int(now/requestStep)%10 == 0 {
				f.repeated = append(f.repeated, f.send(now, vm, repeatedRequest, 60*time.Millisecond))
				f.repeatedAt = append(f.repeatedAt, now)
				once++
				f.send(now, vm, fmt.Sprint(requestPrefix, once), 60*time.Millisecond)
			}
			if now == powerLossAt {
				for n := range requestReplicas / 2 {
					f.endReplica(now, n)
				}
			}
		}
		f.check(t)
	})
}

// check counts as the rule does.
func (f *requestFleet) check(t *rapid.T) {
	if len(f.harmfulEnds) < 3 {
		return
	}
	known := f.harmfulEnds[2] + requestStable
	late := 0
	for _, arrival := range f.harmfulArrivals {
		if arrival > known {
			late++
		}
	}
	assert.LessOrEqual(t, late, toleratedRetries, "arrivals %v, ends %v", f.harmfulArrivals, f.harmfulEnds)
	admitted, total := 0, 0
	for n, ok := range f.repeated {
		if f.repeatedAt[n] > known {
			total++
			if ok {
				admitted++
			}
		}
	}
	assert.GreaterOrEqual(t, float64(admitted), 0.95*float64(total))
}

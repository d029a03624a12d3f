package placement

import (
	"maps"
	"time"

	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// maxLoadAge is the age from which on what a service said of its load no longer counts.
	maxLoadAge = 500 * time.Millisecond
	// otherRegionServiceCost is the cost of a call to another region and back.
	otherRegionServiceCost = 40 * time.Millisecond
	// workTimeSampleWeight is the weight of the newest sample in the moving average of the work time.
	workTimeSampleWeight = 0.1
	// similarServiceCost is the difference of expected times to completion up to which two replicas are about as good.
	similarServiceCost = 50 * time.Millisecond
	// reportHorizon is how long it takes until a change of a replica's load is known to all VMs.
	reportHorizon = 300 * time.Millisecond
	// minWorkSeconds bounds the work times from which capacities are computed.
	minWorkSeconds = 0.001
)

// ServiceLoad is what a plain service says of its load, for all VMs together.
type ServiceLoad struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes on its machine at the moment, as a multiple of the usual time.
	Slowness float64
	// WorkTime is the time for one call without queueing on an unhindered machine, as the VM that was told has measured it, or
	// 0 if it has not.
	WorkTime time.Duration
	// At is when it said so.
	At time.Time
}

// ServiceCall is a request for a plain service.
type ServiceCall struct {
	Pool string
	// Avoid holds the IDs of replicas that have already failed the request.
	Avoid []string
	// Regions restricts where the request may be served.
	Regions routing.RegionLimit
	// Versions restricts the software versions of the replicas that may answer.
	Versions VersionLimit
	// Priority orders calls; 0 is the most urgent.
	Priority int
	// Target is the time that is left until the latency target.
	Target time.Duration
	// Again is whether the call has been offered to a replica before.
	Again bool
}

// ServiceDecision is the outcome for a call: a replica, or a refusal.
type ServiceDecision struct {
	Replica Replica
	// Found is whether there is a replica.
	Found bool
	// Refused is whether the call is turned away since the replicas are too busy. Replica then is the one that would have
	// served it first.
	Refused bool
	// QueueWait is the expected wait in the replica's queue, and LoadAge the age of the load from which it follows, or
	// negative if none is known.
	QueueWait, LoadAge time.Duration
	// Rate is the number of calls per second of this priority, Admissible the number for all priorities that may be let in, and
	// Fraction that of the calls of this priority. They are set if something waits.
	Rate, Admissible, Fraction float64
}

// PickService selects the replica that is expected to complete a call first and counts the call as in flight. The caller
// must call ReleaseService when the call ends, unless it is refused.
func (s *Scheduler) PickService(now time.Time, call ServiceCall) ServiceDecision {
	if !call.Again {
		s.countCall(now, CallClass{Pool: call.Pool, Priority: call.Priority})
	}
	candidates := s.candidates(now, criteria{pool: call.Pool, avoid: call.Avoid, regions: call.Regions, versions: call.Versions})
	best := s.cheapestService(now, candidates)
	if best == nil {
		return ServiceDecision{}
	}
	d := ServiceDecision{Replica: best.Replica, Found: true, LoadAge: -1}
	if load, known := s.knownLoad(now, best); known {
		d.LoadAge, d.QueueWait = now.Sub(load.At), best.queueWait(load)
	}
	if d.QueueWait > 0 {
		s.admit(now, call, candidates, &d)
	}
	if d.Refused {
		return d
	}
	s.addLoad(best, 1, 0)
	best.sentSinceLoad++
	s.spend(now, best.ID)
	return d
}

// admit decides whether a call is let in although it must wait in a replica's queue.
func (s *Scheduler) admit(now time.Time, call ServiceCall, candidates []*replica, d *ServiceDecision) {
	load, known := s.poolLoadOf(now, candidates, call.Target)
	if !known {
		return
	}
	load.completed = s.callRates.rate(now, CallClass{Pool: call.Pool, Completed: true})
	rates := map[int]float64{call.Priority: 0}
	for class := range s.ownCalls {
		if class.Pool == call.Pool && !class.Completed {
			rates[class.Priority] = s.callRates.rate(now, class)
		}
	}
	d.Admissible = load.admissibleRate()
	d.Rate, d.Fraction = rates[call.Priority], admittedFractions(d.Admissible, rates)[call.Priority]
	d.Refused = s.random() >= d.Fraction
}

// countCall counts a call that this VM has received.
func (s *Scheduler) countCall(now time.Time, class CallClass) {
	s.ownCalls[class]++
	if now.Sub(s.ownCallsRecordedAt) >= minRateInterval {
		s.ownCallsRecordedAt = now
		s.callRates.record(now, "", maps.Clone(s.ownCalls))
	}
}

// OwnCalls returns how many calls for plain services this VM has received since it started, by class.
func (s *Scheduler) OwnCalls() map[CallClass]int {
	if !s.AdmitsByLoad() {
		return nil
	}
	return s.ownCalls
}

// SetPeerCalls records how many calls for plain services another VM has received since it started, by class.
func (s *Scheduler) SetPeerCalls(now time.Time, vm string, counts map[CallClass]int) {
	if len(counts) == 0 {
		s.callRates.forget(vm)
		return
	}
	for class := range counts {
		if _, seen := s.ownCalls[class]; !seen {
			s.ownCalls[class] = 0
		}
	}
	s.callRates.record(now, vm, counts)
}

// cheapestService returns the candidate with the lowest expected time to completion, or nil if there is none. Among those whose
// load is known and that are about as good it chooses by chance, the more often the more calls one can take: all VMs have the
// same reports, and would all choose the best one until the next.
func (s *Scheduler) cheapestService(now time.Time, candidates []*replica) (best *replica) {
	var bestCost time.Duration
	for _, r := range candidates {
		if cost := s.serviceCost(now, r); best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	if best == nil {
		return nil
	}
	if _, known := s.knownLoad(now, best); !known {
		return best
	}
	var similar []*replica
	total := 0.0
	for _, r := range candidates {
		if _, known := s.knownLoad(now, r); known && s.serviceCost(now, r) <= bestCost+similarServiceCost {
			similar = append(similar, r)
			total += s.absorption(now, r)
		}
	}
	rest := s.random() * total
	for _, r := range similar {
		if rest -= s.absorption(now, r); rest < 0 {
			return r
		}
	}
	return best
}

// absorption returns the number of calls that a replica can take until the next report of its load, so that as many wait as
// its slots complete in the meantime.
func (s *Scheduler) absorption(now time.Time, r *replica) float64 {
	load, _ := s.knownLoad(now, r)
	completed := float64(load.Slots) / max(minWorkSeconds, r.workTimeAt(load).Seconds()) * reportHorizon.Seconds()
	free := float64(load.Slots - load.Running)
	return max(1, completed+free-float64(load.Waiting+r.sentSinceLoad))
}

// serviceCost returns the expected time to the completion of a call.
func (s *Scheduler) serviceCost(now time.Time, r *replica) time.Duration {
	if load, known := s.knownLoad(now, r); known {
		return r.queueWait(load) + r.workTimeAt(load) + s.serviceDistance(r)
	}
	wait := r.latency * float64(r.totalLoad().Requests+1) * (1 + serviceJitter*s.random())
	return time.Duration(wait*float64(time.Second)) + s.serviceDistance(r)
}

// serviceDistance returns the cost of the way to a replica and back.
func (s *Scheduler) serviceDistance(r *replica) time.Duration {
	switch {
	case r.Zone == s.zone:
		return 0
	case s.regions[r.Zone] != s.regions[s.zone]:
		return otherRegionServiceCost
	}
	return crossZonePenalty
}

// knownLoad returns what a replica lately said of its load. One that has told its load before, and gets no calls, is taken to
// be busy but for one call of this VM: its average latency may be that of a burst, and keep it without calls for good; but it may
// also hang. Only fleets whose VMs prefer what is near them use loads: in small ones, each VM sends enough calls to learn from
// their latency.
func (s *Scheduler) knownLoad(now time.Time, r *replica) (ServiceLoad, bool) {
	if !s.AdmitsByLoad() || r.load.Slots <= 0 {
		return ServiceLoad{}, false
	}
	if now.Sub(r.load.At) > maxLoadAge {
		return ServiceLoad{Running: r.load.Slots - 1, Waiting: r.ownLoad.Requests * r.load.Slots, Slots: r.load.Slots, Slowness: 1, At: r.load.At}, true
	}
	return r.load, true
}

// queueWait returns the expected wait in the queue of a replica, after the calls that this VM has sent since it said how long
// the queue is.
func (r *replica) queueWait(load ServiceLoad) time.Duration {
	load.Waiting += r.sentSinceLoad
	return r.workTimeAt(load) * time.Duration(load.ahead()) / time.Duration(load.Slots)
}

// ahead returns the number of calls that must end before a new one gets a slot.
func (l ServiceLoad) ahead() int { return max(0, l.Running+l.Waiting+1-l.Slots) }

// workTimeAt returns the expected time for one call without queueing.
func (r *replica) workTimeAt(load ServiceLoad) time.Duration {
	work := r.workTime
	if work == 0 {
		work = r.latency
	}
	return time.Duration(work * load.Slowness * float64(time.Second))
}

// ReleaseService ends a call to a service. latency is the time until a successful answer, or 0 if there was none.
func (s *Scheduler) ReleaseService(id string, latency time.Duration) {
	r := s.replicas[id]
	if r == nil || r.ownLoad.Requests == 0 {
		return
	}
	r.ownLoad.add(-1, 0)
	if latency > 0 {
		r.recordSuccess()
		r.updateLatency(latency)
		s.ownCalls[CallClass{Pool: r.Pool, Completed: true}]++
	}
}

// ObserveServiceLoad records the load that an answer of a service names. latency is the time until that answer if it was
// successful, or 0: failures may come sooner than work takes, and a replica that seems fast would get all calls.
func (s *Scheduler) ObserveServiceLoad(id string, load ServiceLoad, latency time.Duration) {
	r := s.replicas[id]
	if r == nil || r.Stage != StageNone {
		return
	}
	if latency > 0 {
		// The queue that the call has found was about as long as the one behind it.
		queued := float64(load.ahead()) / float64(load.Slots)
		r.addWorkTimeSample(latency.Seconds() / load.Slowness / (1 + queued))
	}
	load.WorkTime = time.Duration(r.workTime * float64(time.Second))
	r.setLoad(load)
	r.loadIsOwn = true
	s.told[id] = true
}

// addWorkTimeSample updates the work time.
func (r *replica) addWorkTimeSample(seconds float64) {
	if r.workTime == 0 {
		r.workTime = seconds
	}
	r.workTime += workTimeSampleWeight * (seconds - r.workTime)
}

// setLoad replaces what is known of the load, unless it is older.
func (r *replica) setLoad(load ServiceLoad) {
	if load.At.After(r.load.At) {
		r.load, r.sentSinceLoad, r.loadIsOwn = load, 0, false
	}
}

// SetPeerServiceLoads adds what services told other VMs. Each VM of a large fleet sends few calls, so the work times that others
// have measured count like its own.
func (s *Scheduler) SetPeerServiceLoads(loads map[string]ServiceLoad) {
	for id, load := range loads {
		r := s.replicas[id]
		if r == nil {
			continue
		}
		if load.WorkTime > 0 && load.At.After(r.load.At) {
			r.addWorkTimeSample(load.WorkTime.Seconds())
		}
		r.setLoad(load)
	}
}

// OwnServiceLoads returns what services lately told this VM, unless another VM has been told later.
func (s *Scheduler) OwnServiceLoads(now time.Time) map[string]ServiceLoad {
	loads := map[string]ServiceLoad{}
	if !s.AdmitsByLoad() {
		return loads
	}
	for _, id := range s.idsAmong(s.told, func(r *replica) bool { return r.loadIsOwn && now.Sub(r.load.At) <= maxLoadAge }) {
		loads[id] = s.replicas[id].load
	}
	return loads
}

package trial

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// event is a function that runs at a simulated time. Events at the same time run in the order of creation.
type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// simulation holds the state of one run.
type simulation struct {
	plan       Plan
	rng        *rand.Rand
	now        time.Duration
	events     eventHeap
	sequence   int
	prefills   []*prefillModel
	decodes    []*decodeModel
	requests   []*simRequest
	policy     policyCallbacks
	failedZone int
	messages   int

	prefillTokens       float64
	wastedTokens        float64
	capacityBeforeFault float64
}

func newSimulation(plan Plan) *simulation {
	s := &simulation{plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 7)), failedZone: -1}
	for i, speed := range engineSpeeds(plan.Deployment.Prefills, s.rng) {
		s.prefills = append(s.prefills, &prefillModel{name: fmt.Sprintf("prefill-%d", i), zone: i % 4, tokensPerSecond: prefillTokensPerSecond * (0.75 + speed/4) * s.prefillScale()})
	}
	for i, speed := range engineSpeeds(plan.Deployment.Decodes, s.rng) {
		s.decodes = append(s.decodes, &decodeModel{name: fmt.Sprintf("decode-%d", i), zone: i % 4, tokenGap: seconds(baseTokenGapSeconds / speed)})
	}
	s.capacityBeforeFault = s.capacityPerSecond()
	s.policy = plan.Policy.build(s)
	return s
}

// prefillScale returns the factor that sets the prefill capacity of both deployments to about 1.3 times what their
// decode engines can take.
func (s *simulation) prefillScale() float64 {
	const zarqaPrefills, zarqaDecodes = 5, 9
	return float64(s.plan.Deployment.Decodes) / zarqaDecodes * zarqaPrefills / float64(s.plan.Deployment.Prefills) * 1.25
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// after schedules run after a delay.
func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{at: s.now + d, seq: s.sequence, run: run})
}

// sendMessage counts a message to another VM and schedules its delivery after the network delay.
func (s *simulation) sendMessage(run func()) {
	s.messages++
	s.after(s.plan.Deployment.NetworkDelay, run)
}

// capacityPerSecond returns how many requests per second the decode engines within the token gap target can serve.
func (s *simulation) capacityPerSecond() float64 {
	total := 0.0
	for _, d := range s.decodes {
		if !d.dead && d.tokenGap <= tokenGapTarget {
			total += d.requestsPerSecond()
		}
	}
	return total
}

func (s *simulation) run() {
	rate := s.plan.Load * s.capacityBeforeFault
	for account, share := range accountShares {
		s.scheduleArrival(account, rate*share)
	}
	s.scheduleFault()
	s.policy.start()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > horizon {
			return
		}
		s.now = e.at
		e.run()
	}
}

func (s *simulation) scheduleArrival(account int, rate float64) {
	if s.plan.Fault == FaultFlood && account == floodingAccount && s.now >= faultAt {
		rate *= floodFactor
	}
	s.after(seconds(s.rng.ExpFloat64()/rate), func() {
		if s.now >= arrivalsEnd {
			return
		}
		base := rate
		if s.plan.Fault == FaultFlood && account == floodingAccount {
			base = s.plan.Load * s.capacityBeforeFault * accountShares[account]
		}
		s.arrive(account)
		s.scheduleArrival(account, base)
	})
}

func (s *simulation) arrive(account int) {
	// The load balancer is uneven: VMs with higher numbers get more requests.
	vm := int(math.Sqrt(s.rng.Float64()) * vmCount)
	if s.failedZone >= 0 && vm%4 == s.failedZone {
		vm = (vm + 1) % vmCount
	}
	c := &simRequest{id: len(s.requests), vm: vm, account: account, arrivedAt: s.now,
		promptTokens: int(medianPromptTokens * math.Exp(promptSigma*s.rng.NormFloat64())),
		outputTokens: max(1, min(maxOutputTokens, int(meanOutputTokens*s.rng.ExpFloat64()))),
	}
	s.requests = append(s.requests, c)
	s.policy.submit(c)
}

// startPrefill queues a request at a prefill engine.
func (s *simulation) startPrefill(c *simRequest, p *prefillModel) {
	if p.dead {
		s.after(s.plan.Deployment.NetworkDelay, func() { s.policy.failed(c, p.name) })
		return
	}
	tokens := float64(c.promptTokens + c.sentTokens)
	c.stage, c.prefill = stagePrefill, p
	c.attempt++
	attempt := c.attempt
	p.queued++
	p.busyUntil = max(p.busyUntil, s.now) + seconds(tokens/p.tokensPerSecond)
	s.after(p.busyUntil-s.now, func() {
		p.queued--
		if c.attempt != attempt || c.stage != stagePrefill || p.dead {
			return
		}
		s.prefillTokens += tokens
		c.stage, c.prefilledAt = stagePrefilled, s.now
		s.policy.prefilled(c)
	})
}

// startDecode queues a request at a decode engine, which transfers its KV cache and generates when a slot is free.
func (s *simulation) startDecode(c *simRequest, d *decodeModel) {
	if d.dead {
		s.after(s.plan.Deployment.NetworkDelay, func() { s.policy.decodeRejected(c, d.name) })
		return
	}
	c.decode = d
	d.waiting = append(d.waiting, c)
	attempt := c.attempt
	// The prefill result is evicted if no slot becomes free within the retention time.
	s.after(retention-(s.now-c.prefilledAt), func() {
		if c.attempt == attempt && c.stage == stagePrefilled && c.decode == d {
			d.waiting = removeRequest(d.waiting, c)
			s.evicted(c)
		}
	})
	s.fillSlots(d)
}

func (s *simulation) evicted(c *simRequest) {
	s.wastedTokens += float64(c.promptTokens + c.sentTokens)
	c.stage = stageQueued
	s.policy.evicted(c)
}

func removeRequest(requests []*simRequest, c *simRequest) []*simRequest {
	for i, other := range requests {
		if other == c {
			return append(requests[:i:i], requests[i+1:]...)
		}
	}
	return requests
}

func (s *simulation) fillSlots(d *decodeModel) {
	for !d.dead && d.running < decodeSlots && len(d.waiting) > 0 {
		c := d.waiting[0]
		d.waiting = d.waiting[1:]
		d.running++
		c.stage = stageDecode
		s.generate(c, d)
	}
}

// generate transfers the KV cache over the link of the prefill engine and then generates the remaining tokens.
func (s *simulation) generate(c *simRequest, d *decodeModel) {
	p := c.prefill
	p.linkBusyUntil = max(p.linkBusyUntil, s.now) + seconds(float64(c.promptTokens+c.sentTokens)*kvBytesPerToken/linkBytesPerSecond)
	c.decodeStartedAt = p.linkBusyUntil
	attempt, gap := c.attempt, d.tokenGap
	left := c.outputTokens - c.sentTokens
	if c.firstTokenAt == 0 {
		c.firstTokenAt = c.decodeStartedAt + gap
	}
	s.watchProgress(c, attempt)
	if gap > tokenGapTarget {
		c.exceededTokenGap = true
	}
	s.after(c.decodeStartedAt-s.now+time.Duration(left)*gap, func() {
		if c.attempt != attempt || c.stage != stageDecode {
			return
		}
		d.running--
		c.stage, c.endedAt = stageEnded, s.now
		s.policy.finished(c, gap)
		s.fillSlots(d)
	})
}

// watchProgress periodically reports the time between tokens of a running request.
func (s *simulation) watchProgress(c *simRequest, attempt int) {
	s.after(progressPeriod, func() {
		if c.attempt == attempt && c.stage == stageDecode {
			s.policy.progress(c, c.decode.tokenGap)
			s.watchProgress(c, attempt)
		}
	})
}

// scheduleFault schedules the fault of the plan.
func (s *simulation) scheduleFault() {
	s.after(faultAt, func() {
		switch s.plan.Fault {
		case FaultSlow:
			d := s.decodes[0]
			d.tokenGap = time.Duration(float64(d.tokenGap) / slowFactor)
		case FaultKilled:
			s.failDecode(s.decodes[len(s.decodes)/2])
		case FaultZone:
			s.failZone(1)
		}
	})
}

// failDecode fails a decode engine and all its requests. The tokens that callers have received are kept.
func (s *simulation) failDecode(d *decodeModel) {
	d.dead = true
	for _, c := range s.requests {
		if c.decode != d || (c.stage != stageDecode && c.stage != stagePrefilled) {
			continue
		}
		if c.stage == stageDecode && s.now > c.decodeStartedAt {
			c.sentTokens = min(c.outputTokens-1, c.sentTokens+int((s.now-c.decodeStartedAt)/d.tokenGap))
		}
		if c.sentTokens == 0 {
			c.firstTokenAt = 0
		}
		c.stage, c.decode = stageQueued, nil
		c.attempt++
		s.after(s.plan.Deployment.NetworkDelay, func() { s.policy.failed(c, d.name) })
	}
	d.waiting, d.running = nil, 0
	s.after(reportPeriod, func() { s.policy.unreachable(d.name) })
}

// failZone fails the VMs and engines of a zone. Unfinished requests of its VMs are excluded from the results, because
// their callers are cut off too.
func (s *simulation) failZone(zone int) {
	s.failedZone = zone
	for _, c := range s.requests {
		if c.vm%4 == zone && c.stage != stageEnded {
			c.excluded = true
		}
	}
	for _, p := range s.prefills {
		if p.zone != zone {
			continue
		}
		p.dead = true
		s.after(reportPeriod, func() { s.policy.unreachable(p.name) })
		for _, c := range s.requests {
			if c.prefill == p && c.stage == stagePrefill {
				c.stage = stageQueued
				s.after(s.plan.Deployment.NetworkDelay, func() { s.policy.failed(c, p.name) })
			}
		}
	}
	for _, d := range s.decodes {
		if d.zone == zone {
			s.failDecode(d)
		}
	}
	s.policy.zoneFailed(zone)
}

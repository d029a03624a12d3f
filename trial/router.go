package trial

import (
	"fmt"
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// router is a policy that uses dispatch.Dispatcher, running on one VM.
type router struct {
	sim            *simulation
	opts           []dispatch.Option
	dispatcher     *dispatch.Dispatcher
	dispatcherDown bool
	dispatcherVM   int
	inFlight       map[string]*simRequest
	// pendingMessages are delivered once a new dispatcher has started.
	pendingMessages []func()
	avoidEngines    map[*simRequest][]string
}

func newRouter(s *simulation, opts ...dispatch.Option) *router {
	r := &router{sim: s, opts: opts, dispatcherVM: 5, inFlight: map[string]*simRequest{}, avoidEngines: map[*simRequest][]string{}}
	r.dispatcher = dispatch.New(laneConfig(), opts...)
	r.configure()
	return r
}

func laneConfig() dispatch.Lane {
	return dispatch.Lane{Retention: retention, BytesPerToken: kvBytesPerToken, LinkBytesPerSecond: linkBytesPerSecond, TokenGap: tokenGapTarget, MaxQueued: 100_000}
}

func (c *simRequest) requestID() string { return fmt.Sprintf("c%06d-%d", c.id, c.attempt) }

// runningRequestID returns the request ID of the running attempt, as it was before startPrefill incremented attempt.
func (c *simRequest) runningRequestID() string { return fmt.Sprintf("c%06d-%d", c.id, c.attempt-1) }

var simEpoch = time.Unix(1_800_000_000, 0)

const (
	pollInterval = 10 * time.Millisecond
	// failoverDelay is the time without a dispatcher after a failure: until the peers detect it, plus the warm-up of
	// the new dispatcher.
	failoverDelay = 850 * time.Millisecond
)

func (r *router) configure() {
	var prefills, decodes []dispatch.Engine
	for _, p := range r.sim.prefills {
		prefills = append(prefills, dispatch.Engine{Name: p.name})
	}
	for _, d := range r.sim.decodes {
		decodes = append(decodes, dispatch.Engine{Name: d.name, Slots: decodeSlots})
	}
	r.dispatcher.Configure(laneConfig(), prefills, decodes)
}

func (r *router) callbacks() policyCallbacks {
	return policyCallbacks{
		start: r.pollPeriodically, submit: r.submit, prefilled: r.prefilled, evicted: r.evicted, failed: r.failed, finished: r.finished,
		progress: r.progress, zoneFailed: r.zoneFailed, decodeRejected: r.decodeRejected, unreachable: r.unreachable,
	}
}

func (r *router) wallTime() time.Time { return simEpoch.Add(r.sim.now) }

func (r *router) pollPeriodically() {
	r.poll()
	r.sim.after(pollInterval, r.pollPeriodically)
}

// sendToDispatcher sends a message to the dispatcher, or keeps it until the next dispatcher has started.
func (r *router) sendToDispatcher(message func()) {
	if r.dispatcherDown {
		r.pendingMessages = append(r.pendingMessages, message)
		return
	}
	r.sim.sendMessage(func() {
		if r.dispatcherDown {
			r.pendingMessages = append(r.pendingMessages, message)
			return
		}
		message()
		r.poll()
	})
}

func (r *router) request(c *simRequest) dispatch.Request {
	request := dispatch.Request{
		ID: c.requestID(), VM: fmt.Sprint(c.vm), Account: fmt.Sprint(c.account), Weight: accountShares[c.account],
		PromptTokens: c.promptTokens + c.sentTokens, OutputTokens: maxOutputTokens - c.sentTokens,
		ArrivedAt: simEpoch.Add(c.arrivedAt), FirstTokenDeadline: simEpoch.Add(c.arrivedAt + firstTokenTarget), ExpiresAt: simEpoch.Add(c.arrivedAt + queueTimeout),
		Avoid: r.avoidEngines[c],
	}
	if c.sentTokens > 0 {
		request.Urgent, request.FirstTokenDeadline = true, r.wallTime().Add(200*time.Millisecond)
	}
	return request
}

func (r *router) submit(c *simRequest) {
	request := r.request(c)
	r.inFlight[request.ID] = c
	r.sendToDispatcher(func() {
		if r.dispatcher.Submit(r.wallTime(), request) != nil {
			c.refused, c.stage = true, stageEnded
		}
	})
}

func (r *router) prefilled(c *simRequest) {
	id := c.runningRequestID()
	r.sendToDispatcher(func() { _ = r.dispatcher.PrefillCompleted(r.wallTime(), id) })
}

func (r *router) finished(c *simRequest, gap time.Duration) {
	id := c.runningRequestID()
	delete(r.inFlight, id)
	r.sendToDispatcher(func() { r.dispatcher.Finish(r.wallTime(), id, dispatch.Result{GapSeconds: gap.Seconds()}) })
}

// progress reports the time between tokens of a request. A VM reports on all its requests in one message, so this is
// not counted as a message for each request.
func (r *router) progress(c *simRequest, gap time.Duration) {
	id := c.runningRequestID()
	r.sim.after(r.sim.plan.Deployment.NetworkDelay, func() { r.dispatcher.ObserveTokenGap(id, gap.Seconds()) })
}

// decodeRejected asks the dispatcher for another decode engine. If none is assigned in time, the prefill result is
// evicted.
func (r *router) decodeRejected(c *simRequest, engine string) {
	id, attempt := c.runningRequestID(), c.attempt
	r.sendToDispatcher(func() { r.dispatcher.DecodeRejected(r.wallTime(), id, engine) })
	r.sim.after(retention-(r.sim.now-c.prefilledAt), func() {
		if c.attempt == attempt && c.stage == stagePrefilled && c.decode == nil {
			r.sim.evicted(c)
		}
	})
}

func (r *router) unreachable(engine string) { r.dispatcher.EngineUnreachable(engine) }

func (r *router) evicted(c *simRequest) { r.retry(c, "") }

func (r *router) failed(c *simRequest, engine string) { r.retry(c, engine) }

// retry finishes all earlier attempts of a request at the dispatcher and submits a new one.
func (r *router) retry(c *simRequest, engine string) {
	if engine != "" {
		r.avoidEngines[c] = append(r.avoidEngines[c], engine)
	}
	for id, other := range r.inFlight {
		if other != c {
			continue
		}
		delete(r.inFlight, id)
		r.sendToDispatcher(func() { r.dispatcher.Finish(r.wallTime(), id, dispatch.Result{Failed: engine}) })
	}
	c.attempt++
	r.submit(c)
}

func (r *router) poll() {
	if r.dispatcherDown {
		return
	}
	for _, decision := range r.dispatcher.Poll(r.wallTime()) {
		r.sim.sendMessage(func() { r.applyDecision(decision) })
	}
}

func (r *router) applyDecision(decision dispatch.Decision) {
	c := r.inFlight[decision.ID]
	if c == nil {
		return
	}
	switch decision.Kind {
	case dispatch.DecideRefuse:
		c.refused, c.stage = true, stageEnded
	case dispatch.DecidePrefill:
		for _, p := range r.sim.prefills {
			if p.name == decision.Engine {
				r.sim.startPrefill(c, p)
			}
		}
	case dispatch.DecideDecode:
		for _, d := range r.sim.decodes {
			if d.name == decision.Engine {
				r.sim.startDecode(c, d)
			}
		}
	}
}

// zoneFailed stops the dispatcher if it runs in the zone. After failoverDelay a new dispatcher adopts the requests of
// the remaining VMs.
func (r *router) zoneFailed(zone int) {
	if r.dispatcherVM%4 != zone {
		return
	}
	r.dispatcherDown = true
	r.sim.after(failoverDelay, func() {
		r.dispatcherDown = false
		r.dispatcher = dispatch.New(laneConfig(), r.opts...)
		r.configure()
		for id, c := range r.inFlight {
			if !c.excluded {
				r.adopt(id, c)
			}
		}
		waiting := r.pendingMessages
		r.pendingMessages = nil
		for _, message := range waiting {
			message()
		}
		r.poll()
	})
}

func (r *router) adopt(id string, c *simRequest) {
	request := r.request(c)
	request.ID = id
	switch c.stage {
	case stagePrefill:
		r.dispatcher.Adopt(r.wallTime(), request, dispatch.StagePrefill, c.prefill.name, "")
	case stagePrefilled:
		r.dispatcher.Adopt(r.wallTime(), request, dispatch.StagePrefilled, c.prefill.name, "")
	case stageDecode:
		r.dispatcher.Adopt(r.wallTime(), request, dispatch.StageDecode, c.prefill.name, c.decode.name)
	case stageQueued:
		r.dispatcher.Adopt(r.wallTime(), request, dispatch.StageQueued, "", "")
	}
}

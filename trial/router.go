package trial

import (
	"fmt"
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// router drives the real dispatcher, which runs on one VM.
type router struct {
	sim  *simulation
	opts []dispatch.Option
	core *dispatch.Dispatcher
	down bool
	home int
	jobs map[string]*call
	// waiting are the messages that wait for a new dispatcher.
	waiting []func()
	avoid   map[*call][]string
}

func newRouter(s *simulation, opts ...dispatch.Option) *router {
	r := &router{sim: s, opts: opts, home: 5, jobs: map[string]*call{}, avoid: map[*call][]string{}}
	r.core = dispatch.New(laneConfig(), opts...)
	r.configure()
	return r
}

func laneConfig() dispatch.Lane {
	return dispatch.Lane{Retain: retain, BytesPerToken: bytesPerToken, LinkRate: linkRate, TokenGap: tokenGap, MaxQueued: 100_000}
}

func (c *call) key() string { return fmt.Sprintf("c%06d-%d", c.id, c.try) }

// grantedKey is the request ID under which the running try was granted.
func (c *call) grantedKey() string { return fmt.Sprintf("c%06d-%d", c.id, c.try-1) }

var simEpoch = time.Unix(1_800_000_000, 0)

const (
	tick = 10 * time.Millisecond
	// failover is how long a lost dispatcher is missed: peers' silence and the warm-up.
	failover = 850 * time.Millisecond
)

func (r *router) configure() {
	var prefills, decodes []dispatch.Engine
	for _, p := range r.sim.prefills {
		prefills = append(prefills, dispatch.Engine{Name: p.name})
	}
	for _, d := range r.sim.decodes {
		decodes = append(decodes, dispatch.Engine{Name: d.name, Places: places})
	}
	r.core.Configure(laneConfig(), prefills, decodes)
}

func (r *router) policy() policy {
	return policy{
		start: r.tick, submit: r.submit, prefilled: r.prefilled, evicted: r.again, failed: r.failed, finished: r.finished,
		progress: r.progress, zoneCut: r.zoneCut, misplaced: r.misplaced, unreachable: r.unreachable,
	}
}

func (r *router) time() time.Time { return simEpoch.Add(r.sim.now) }

func (r *router) tick() {
	r.poll()
	r.sim.after(tick, r.tick)
}

// tell sends a message to the dispatcher, or keeps it until there is one.
func (r *router) tell(message func()) {
	if r.down {
		r.waiting = append(r.waiting, message)
		return
	}
	r.sim.message(func() {
		if r.down {
			r.waiting = append(r.waiting, message)
			return
		}
		message()
		r.poll()
	})
}

func (r *router) request(c *call) dispatch.Request {
	request := dispatch.Request{
		ID: c.key(), VM: fmt.Sprint(c.vm), Account: fmt.Sprint(c.account), Weight: accountShares[c.account],
		PromptTokens: c.prompt + c.sent, OutputTokens: outputLimit - c.sent,
		ArrivedAt: simEpoch.Add(c.arrived), FirstTokenBy: simEpoch.Add(c.arrived + firstToken), GiveUpAt: simEpoch.Add(c.arrived + giveUp),
		Avoid: r.avoid[c],
	}
	if c.sent > 0 {
		request.Urgent, request.FirstTokenBy = true, r.time().Add(200*time.Millisecond)
	}
	return request
}

func (r *router) submit(c *call) {
	request := r.request(c)
	r.jobs[request.ID] = c
	r.tell(func() {
		if r.core.Submit(r.time(), request) != nil {
			c.refused, c.stage = true, stageEnded
		}
	})
}

func (r *router) prefilled(c *call) {
	id := c.grantedKey()
	r.tell(func() { _ = r.core.Prefilled(r.time(), id) })
}

func (r *router) finished(c *call, gap time.Duration) {
	id := c.grantedKey()
	delete(r.jobs, id)
	r.tell(func() { r.core.Finish(r.time(), id, dispatch.Result{GapSeconds: gap.Seconds()}) })
}

// progress is sent once for all requests of a VM, so it is not counted as a message for each.
func (r *router) progress(c *call, gap time.Duration) {
	id := c.grantedKey()
	r.sim.after(r.sim.plan.User.Hop, func() { r.core.Progress(id, gap.Seconds()) })
}

// misplaced asks for another place. If none comes in time the result is evicted.
func (r *router) misplaced(c *call, engine string) {
	id, try := c.grantedKey(), c.try
	r.tell(func() { r.core.Misplaced(r.time(), id, engine) })
	r.sim.after(retain-(r.sim.now-c.heldFrom), func() {
		if c.try == try && c.stage == stageHeld && c.decode == nil {
			r.sim.evicted(c)
		}
	})
}

func (r *router) unreachable(engine string) { r.core.Unreachable(engine) }

func (r *router) again(c *call) { r.retry(c, "") }

func (r *router) failed(c *call, engine string) { r.retry(c, engine) }

// retry ends every earlier try of a call at the dispatcher and submits a new one.
func (r *router) retry(c *call, engine string) {
	if engine != "" {
		r.avoid[c] = append(r.avoid[c], engine)
	}
	for id, other := range r.jobs {
		if other != c {
			continue
		}
		delete(r.jobs, id)
		r.tell(func() { r.core.Finish(r.time(), id, dispatch.Result{Failed: engine}) })
	}
	c.try++
	r.submit(c)
}

func (r *router) poll() {
	if r.down {
		return
	}
	for _, decision := range r.core.Poll(r.time()) {
		r.sim.message(func() { r.act(decision) })
	}
}

func (r *router) act(decision dispatch.Decision) {
	c := r.jobs[decision.ID]
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

// zoneCut loses the dispatcher if it runs in the zone. The next one learns of the requests from the
// VMs that are left.
func (r *router) zoneCut(zone int) {
	if r.home%4 != zone {
		return
	}
	r.down = true
	r.sim.after(failover, func() {
		r.down = false
		r.core = dispatch.New(laneConfig(), r.opts...)
		r.configure()
		for id, c := range r.jobs {
			if !c.uncount {
				r.adopt(id, c)
			}
		}
		waiting := r.waiting
		r.waiting = nil
		for _, message := range waiting {
			message()
		}
		r.poll()
	})
}

func (r *router) adopt(id string, c *call) {
	request := r.request(c)
	request.ID = id
	switch c.stage {
	case stagePrefill:
		r.core.Adopt(r.time(), request, dispatch.StagePrefill, c.prefill.name, "")
	case stageHeld:
		r.core.Adopt(r.time(), request, dispatch.StagePrefilled, c.prefill.name, "")
	case stageDecode:
		r.core.Adopt(r.time(), request, dispatch.StageDecode, c.prefill.name, c.decode.name)
	case stageQueue:
		r.core.Adopt(r.time(), request, dispatch.StageQueued, "", "")
	}
}

package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	// syncPeriod is how often a VM tells the dispatcher of a lane about all its requests there.
	syncPeriod = 500 * time.Millisecond
	// emptySyncPeriod is how often a VM without requests in a lane says so.
	emptySyncPeriod = 5 * time.Second
	// warmUp is how long a new dispatcher waits to hear of the requests that its predecessor granted.
	warmUp = 250 * time.Millisecond
)

// lane is a pair of pools with the requests of this VM, and the dispatcher if this VM runs it.
type lane struct {
	name     string
	cfg      dispatch.Lane
	prefills []dispatch.Engine
	decodes  []dispatch.Engine
	// owner is the VM that runs the dispatcher, by this VM's roster.
	owner string
	jobs  map[string]*Job

	dispatcher *dispatch.Dispatcher
	warmAt     time.Time
	// emptySince is when the dispatcher was last told that this VM has no requests.
	emptySince time.Time
	reports    map[string]func()
}

// LaneName returns the name of the lane of a model route.
func LaneName(route resource.Route) string { return route.PrefillPool + "+" + route.DecodePool }

func (l *lane) stopReports() {
	for name, stop := range l.reports {
		stop()
		delete(l.reports, name)
	}
}

// hasWork reports whether requests of this VM, or of any in its dispatcher, are under way.
func (l *lane) hasWork() bool {
	if len(l.jobs) > 0 {
		return true
	}
	if l.dispatcher == nil {
		return false
	}
	queued, active := l.dispatcher.Counts()
	return queued+active > 0
}

// configureLanes brings the lanes in line with the routes, pools and upstreams.
func (c *Controller) configureLanes() {
	wanted := map[string]bool{}
	for _, route := range c.view.ModelRoutes() {
		name := LaneName(route)
		wanted[name] = true
		l := c.lanes[name]
		if l == nil {
			l = &lane{name: name, jobs: map[string]*Job{}, reports: map[string]func(){}}
			c.lanes[name] = l
		}
		c.configureLane(l, route)
	}
	for name, l := range c.lanes {
		if !wanted[name] && len(l.jobs) == 0 {
			l.stopReports()
			delete(c.lanes, name)
		}
	}
}

func (c *Controller) configureLane(l *lane, route resource.Route) {
	pool := c.view.Pools[route.PrefillPool]
	l.cfg = dispatch.Lane{
		Retain: time.Duration(pool.RetainMillis) * time.Millisecond, BytesPerToken: pool.KVBytesPerToken, LinkRate: pool.LinkBytesPerSecond,
		TokenGap: time.Duration(route.TokenGapMillis) * time.Millisecond, MaxQueued: c.cfg.Limits.QueuedRequests,
	}
	l.prefills, l.decodes = c.enginesOf(route.PrefillPool), c.enginesOf(route.DecodePool)
	if l.dispatcher != nil {
		l.dispatcher.Configure(l.cfg, l.prefills, l.decodes)
		c.startReports(l)
	}
}

func (c *Controller) enginesOf(pool string) []dispatch.Engine {
	var engines []dispatch.Engine
	for _, u := range c.view.UpstreamsOf(pool) {
		engines = append(engines, dispatch.Engine{Name: u.Name, Addr: u.Address, Places: u.Places})
	}
	return engines
}

// tickLanes follows changes of the dispatching VM and makes the decisions that are due.
func (c *Controller) tickLanes(now time.Time) {
	c.roster.Watch(c.dispatchers())
	for _, l := range c.lanes {
		owner := c.roster.First("lane/"+l.name, now)
		if owner != l.owner {
			c.log.Info("dispatcher-changed", zap.String("Lane", l.name), zap.String("From", l.owner), zap.String("To", owner))
			l.owner = owner
			if owner == c.self.VM {
				c.ensureDispatcher(l, now)
			}
			c.syncLane(now, l)
		}
		if l.dispatcher == nil {
			continue
		}
		if c.retireDispatcher(l, now) {
			continue
		}
		if queued, active := l.dispatcher.Counts(); queued+active > 0 {
			l.dispatcher.DropVM(now, func(vm, incarnation string) bool { return c.roster.IsDead(vm, incarnation, now) })
			c.pollLane(now, l)
		}
	}
}

// ensureDispatcher starts the dispatcher of a lane on this VM.
func (c *Controller) ensureDispatcher(l *lane, now time.Time) {
	if l.dispatcher != nil {
		return
	}
	l.dispatcher = dispatch.New(l.cfg)
	l.dispatcher.Configure(l.cfg, l.prefills, l.decodes)
	l.warmAt = now
	if len(c.roster.Alive(now)) > 1 {
		l.warmAt = now.Add(warmUp)
	}
	c.startReports(l)
}

// retireDispatcher drops a dispatcher that another VM has taken over once no request is left in it.
func (c *Controller) retireDispatcher(l *lane, now time.Time) bool {
	queued, active := l.dispatcher.Counts()
	c.metrics.Queued.WithLabelValues(l.name).Set(float64(queued))
	c.metrics.Active.WithLabelValues(l.name).Set(float64(active))
	if l.owner == c.self.VM || queued+active > 0 || now.Sub(l.warmAt) < warmUp {
		return false
	}
	l.dispatcher = nil
	l.stopReports()
	return true
}

// pollLane makes the decisions that are due and tells the VMs concerned.
func (c *Controller) pollLane(now time.Time, l *lane) {
	if now.Before(l.warmAt) {
		return
	}
	byVM := map[string][]dispatch.Decision{}
	for _, decision := range l.dispatcher.Poll(now) {
		byVM[decision.VM] = append(byVM[decision.VM], decision)
	}
	for vm, decisions := range byVM {
		if vm == c.self.VM {
			c.takeDecisions(l, decisions)
		} else if link := c.links[vm]; link != nil {
			link.Decide(l.name, decisions)
		}
	}
}

// takeJobs takes what a VM says of its requests in a lane.
func (c *Controller) takeJobs(from peer.Identity, u peer.JobUpdate) {
	l := c.lanes[u.Lane]
	if l == nil {
		return
	}
	now := c.now()
	if l.dispatcher == nil && len(u.Jobs) > 0 {
		c.ensureDispatcher(l, now)
	}
	if l.dispatcher == nil {
		return
	}
	c.applyJobs(now, l, from, u)
	c.pollLane(now, l)
}

func (c *Controller) applyJobs(now time.Time, l *lane, from peer.Identity, u peer.JobUpdate) {
	for _, j := range u.Finished {
		l.dispatcher.Finish(now, j.ID, j.Result)
	}
	for _, j := range u.Misplaced {
		l.dispatcher.Misplaced(now, j.ID, j.Engine)
	}
	for _, id := range u.Prefilled {
		if err := l.dispatcher.Prefilled(now, id); err != nil {
			c.log.Debug("prefilled-unknown", zap.Error(err))
		}
	}
	var decisions []dispatch.Decision
	known := map[string]bool{}
	for _, j := range u.Jobs {
		known[j.Request.ID] = true
		l.dispatcher.Progress(j.Request.ID, j.Gap.Seconds())
		decision, refused := l.dispatcher.Reconcile(now, j.Request, j.Stage, j.Prefill, j.Decode, u.Whole)
		if decision != nil {
			decisions = append(decisions, *decision)
		}
		if refused != nil {
			decisions = append(decisions, dispatch.Decision{ID: j.Request.ID, VM: from.VM, Kind: dispatch.DecideRefuse})
		}
	}
	if u.Whole {
		l.dispatcher.Forget(now, from.VM, from.Incarnation, known)
	}
	if len(decisions) == 0 {
		return
	}
	if from.VM == c.self.VM {
		c.takeDecisions(l, decisions)
	} else if link := c.links[from.VM]; link != nil {
		link.Decide(l.name, decisions)
	}
}

func (c *Controller) decideInbox(from peer.Identity, lane string, decisions []dispatch.Decision) {
	c.post(func() {
		if l := c.lanes[lane]; l != nil && l.owner == from.VM {
			c.takeDecisions(l, decisions)
		}
	})
}

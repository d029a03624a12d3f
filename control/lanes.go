package control

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	// syncPeriod is how often a VM sends all its requests in a lane to the dispatcher.
	syncPeriod = 500 * time.Millisecond
	// emptySyncPeriod is how often a VM without requests in a lane reports that to the dispatcher.
	emptySyncPeriod = 5 * time.Second
	// dispatcherWarmUp is how long a new dispatcher waits before its first decisions, so that it
	// learns of the requests that its predecessor admitted.
	dispatcherWarmUp = 250 * time.Millisecond
)

// lane is a pair of a prefill and a decode pool with the requests of this VM. It includes the
// dispatcher if this VM runs it.
type lane struct {
	name     string
	cfg      dispatch.Lane
	prefills []dispatch.Engine
	decodes  []dispatch.Engine
	// owner is the VM that should run the dispatcher according to the roster of this VM.
	owner string
	jobs  map[string]*Job

	dispatcher *dispatch.Dispatcher
	warmUpEnd  time.Time
	// emptySyncAt is when the dispatcher was last told that this VM has no requests. It is zero while
	// there are requests.
	emptySyncAt time.Time
	stopPolling map[string]func()
}

// LaneName returns the name of the lane that serves a model route.
func LaneName(route resource.Route) string { return route.PrefillPool + "+" + route.DecodePool }

func (l *lane) stopReportPolling() {
	for name, stop := range l.stopPolling {
		stop()
		delete(l.stopPolling, name)
	}
}

// hasWork reports whether this VM has requests in the lane or its dispatcher has any queued or
// active.
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

// configureLanes updates the lanes after a change of routes, pools or upstreams.
func (c *Controller) configureLanes() {
	wanted := map[string]bool{}
	for _, route := range c.view.ModelRoutes() {
		name := LaneName(route)
		wanted[name] = true
		l := c.lanes[name]
		if l == nil {
			l = &lane{name: name, jobs: map[string]*Job{}, stopPolling: map[string]func(){}}
			c.lanes[name] = l
		}
		c.configureLane(l, route)
	}
	for name, l := range c.lanes {
		if !wanted[name] && len(l.jobs) == 0 {
			l.stopReportPolling()
			delete(c.lanes, name)
		}
	}
}

func (c *Controller) configureLane(l *lane, route resource.Route) {
	pool := c.view.Pools[route.PrefillPool]
	l.cfg = dispatch.Lane{
		Retention: time.Duration(pool.RetainMillis) * time.Millisecond, BytesPerToken: pool.KVBytesPerToken, LinkBytesPerSecond: pool.LinkBytesPerSecond,
		TokenGap: time.Duration(route.TokenGapMillis) * time.Millisecond, MaxQueued: c.cfg.Limits.QueuedRequests,
	}
	l.prefills, l.decodes = c.enginesOf(route.PrefillPool), c.enginesOf(route.DecodePool)
	if l.dispatcher != nil {
		l.dispatcher.Configure(l.cfg, l.prefills, l.decodes)
		c.startReportPolling(l)
	}
}

func (c *Controller) enginesOf(pool string) []dispatch.Engine {
	var engines []dispatch.Engine
	for _, u := range c.view.ActiveUpstreams(pool) {
		engines = append(engines, dispatch.Engine{Name: u.Name, Addr: u.Address, Slots: u.Places})
	}
	return engines
}

// tickLanes updates the owners of the lanes and makes the decisions that are due.
func (c *Controller) tickLanes(now time.Time) {
	c.roster.SetFrequentPeers(c.dispatchers())
	for _, l := range c.lanes {
		owner := c.roster.PreferredVM("lane/"+l.name, now)
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
			l.dispatcher.DropIncarnations(now, func(vm, incarnation string) bool { return c.roster.IsDead(vm, incarnation, now) })
			c.pollLane(now, l)
		}
	}
}

// ensureDispatcher starts the dispatcher of a lane unless this VM runs it already.
func (c *Controller) ensureDispatcher(l *lane, now time.Time) {
	if l.dispatcher != nil {
		return
	}
	l.dispatcher = dispatch.New(l.cfg)
	l.dispatcher.Configure(l.cfg, l.prefills, l.decodes)
	l.warmUpEnd = now
	if len(c.roster.Alive(now)) > 1 {
		l.warmUpEnd = now.Add(dispatcherWarmUp)
	}
	c.startReportPolling(l)
}

// retireDispatcher updates the queue metrics and removes the dispatcher once another VM has taken
// over and no requests are left in it. It reports whether the dispatcher was removed.
func (c *Controller) retireDispatcher(l *lane, now time.Time) bool {
	queued, active := l.dispatcher.Counts()
	c.metrics.Queued.WithLabelValues(l.name).Set(float64(queued))
	c.metrics.Active.WithLabelValues(l.name).Set(float64(active))
	if l.owner == c.self.VM || queued+active > 0 || now.Sub(l.warmUpEnd) < dispatcherWarmUp {
		return false
	}
	l.dispatcher = nil
	l.stopReportPolling()
	return true
}

// pollLane makes the decisions that are due and sends them to the VMs that own the requests.
func (c *Controller) pollLane(now time.Time, l *lane) {
	if now.Before(l.warmUpEnd) {
		return
	}
	byVM := map[string][]dispatch.Decision{}
	for _, decision := range l.dispatcher.Poll(now) {
		byVM[decision.VM] = append(byVM[decision.VM], decision)
	}
	for vm, decisions := range byVM {
		if vm == c.self.VM {
			c.deliverDecisions(l, decisions)
		} else if link := c.links[vm]; link != nil {
			link.Decide(l.name, decisions)
		}
	}
}

// handleJobUpdate applies an update from a VM on its requests in a lane, and starts the dispatcher
// if the update contains requests.
func (c *Controller) handleJobUpdate(from peer.Identity, u peer.JobUpdate) {
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
	c.applyJobUpdate(now, l, from, u)
	c.pollLane(now, l)
}

func (c *Controller) applyJobUpdate(now time.Time, l *lane, from peer.Identity, u peer.JobUpdate) {
	for _, j := range u.Finished {
		l.dispatcher.Finish(now, j.ID, j.Result)
	}
	for _, j := range u.DecodeRejections {
		l.dispatcher.DecodeRejected(now, j.ID, j.Engine)
	}
	for _, id := range u.Prefilled {
		if err := l.dispatcher.PrefillCompleted(now, id); err != nil {
			c.log.Debug("prefilled-unknown", zap.Error(err))
		}
	}
	var decisions []dispatch.Decision
	known := map[string]bool{}
	for _, j := range u.Jobs {
		known[j.Request.ID] = true
		l.dispatcher.ObserveTokenGap(j.Request.ID, j.TokenGap.Seconds())
		decision, refused := l.dispatcher.Reconcile(now, j.Request, j.Stage, j.PrefillEngine, j.DecodeEngine, u.Full)
		if decision != nil {
			decisions = append(decisions, *decision)
		}
		if refused != nil {
			decisions = append(decisions, dispatch.Decision{ID: j.Request.ID, VM: from.VM, Kind: dispatch.DecideRefuse})
		}
	}
	if u.Full {
		l.dispatcher.DropMissing(now, from.VM, from.Incarnation, known)
	}
	if len(decisions) == 0 {
		return
	}
	if from.VM == c.self.VM {
		c.deliverDecisions(l, decisions)
	} else if link := c.links[from.VM]; link != nil {
		link.Decide(l.name, decisions)
	}
}

func (c *Controller) handleDecisions(from peer.Identity, lane string, decisions []dispatch.Decision) {
	c.post(func() {
		if l := c.lanes[lane]; l != nil && l.owner == from.VM {
			c.deliverDecisions(l, decisions)
		}
	})
}

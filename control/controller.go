// Package control maintains the control state of one VM.
//
// One goroutine, started by New, owns all control state: the state replicated through the log, the
// roster, the token buckets and the dispatchers of the lanes that this VM serves. Other goroutines do
// the I/O and post their results to it as functions. Request handlers read an immutable Snapshot.
package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/engine"
	"github.com/cassiabridge/cassiabridge/ledger"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/roster"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	eventQueueSize = 8192
	// tickPeriod is the maximum delay of a timed decision.
	tickPeriod = 10 * time.Millisecond
	// idleTickPeriod is the tick period while no requests are queued or active and no loans are held.
	idleTickPeriod = 50 * time.Millisecond
	// publishPeriod is the maximum delay until a Snapshot shows a change that no event triggers, such
	// as a timeout.
	publishPeriod = 100 * time.Millisecond
	// clockDriftMargin allows for clocks that run at different speeds during one loan term.
	clockDriftMargin = 100 * time.Millisecond
)

// Snapshot is an immutable view of the control state for request handlers.
type Snapshot struct {
	View  *catalog.View
	State catalog.State
	// FreshUntil is the time until which View is fresh enough for requests that need a key.
	FreshUntil time.Time
	Ready      bool
	Draining   bool
}

// Fresh reports whether the VM is ready and View is not stale at the given time.
func (s *Snapshot) Fresh(now time.Time) bool { return s.Ready && now.Before(s.FreshUntil) }

// Controller maintains the control state of one VM.
type Controller struct {
	cfg     settings.Settings
	self    peer.Identity
	log     *zap.Logger
	metrics *metrics.Metrics
	ledger  *ledger.Log
	list    *ledger.List
	engines *engine.Client
	cancels *engine.Canceller
	now     func() time.Time

	events   chan func()
	appends  chan pendingAppend
	snapshot atomic.Pointer[Snapshot]
	tracker  *requestTracker

	// The fields below are accessed by the control goroutine only.
	replay         *catalog.Replay
	view           *catalog.View
	roster         *roster.Roster
	startedAt      time.Time
	caughtUp       bool
	draining       bool
	withdrawn      map[string]withdrawal
	buckets        map[string]*accountBucket
	activeBuckets  map[string]*accountBucket
	slots          slotState
	links          map[string]*peerLink
	lanes          map[string]*lane
	waiters        map[string]func(catalog.Verdict)
	auditTrail     []catalog.Change
	snapshots      snapshotState
	ordersInFlight map[string]time.Time
	lastRun        lastRuns
}

// lastRuns holds the time of the last run of each periodic task.
type lastRuns struct {
	publish, slots, snapshots, orders, sync time.Time
}

// Option configures a Controller.
type Option func(*Controller)

// WithLogger sets the logger. The default discards all events.
func WithLogger(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// WithMetrics sets the metrics that the Controller updates.
func WithMetrics(m *metrics.Metrics) Option { return func(c *Controller) { c.metrics = m } }

// WithClock sets the function that returns the current time. The default is time.Now.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// New starts a Controller and returns it with a function that stops it. It fails if the address for
// peers cannot be listened on.
func New(cfg settings.Settings, self peer.Identity, engines *engine.Client, cancels *engine.Canceller, opts ...Option) (*Controller, func(), error) {
	c := &Controller{
		cfg: cfg, self: self, log: zap.NewNop(), metrics: metrics.New(), engines: engines, cancels: cancels, now: time.Now,
		events: make(chan func(), eventQueueSize), appends: make(chan pendingAppend, eventQueueSize), tracker: newRequestTracker(),
		replay: catalog.NewReplay(nil), withdrawn: map[string]withdrawal{}, buckets: map[string]*accountBucket{}, activeBuckets: map[string]*accountBucket{},
		links: map[string]*peerLink{}, lanes: map[string]*lane{}, waiters: map[string]func(catalog.Verdict){}, ordersInFlight: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(c)
	}
	c.roster = roster.New(self.VM, self.Incarnation, roster.WithFreshness(cfg.Timing.Freshness()), roster.WithDeadAfter(cfg.Timing.PeerDead()),
		roster.WithSuspectAfter(cfg.Timing.PeerSuspect()))
	c.startedAt = c.now()
	state, _ := c.replay.State()
	c.view = catalog.NewView(state, nil, nil)
	c.publish()
	_, closePeers, err := peer.Listen(cfg.Listen.Peers, self, cfg.Access.PeerSecret, c.peerHandlers())
	if err != nil {
		return nil, nil, err
	}
	var closeLog, closeList func()
	c.ledger, closeLog = ledger.NewLog(cfg.Platform.Log, cfg.Platform.Stream)
	c.list, closeList = ledger.NewList(cfg.Platform.List)
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for _, work := range []func(context.Context){c.run, c.followLog, c.sendAppends, c.readList} {
		workers.Go(func() { work(ctx) })
	}
	return c, func() {
		closePeers()
		cancel()
		workers.Wait()
		closeLog()
		closeList()
	}, nil
}

// Snapshot returns the latest published snapshot.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Self returns the identity of this VM and of this run of its process.
func (c *Controller) Self() peer.Identity { return c.self }

// Now returns the current time by the Controller's clock.
func (c *Controller) Now() time.Time { return c.now() }

// post queues a function to run on the control goroutine.
func (c *Controller) post(event func()) { c.events <- event }

// postAndWait runs a function on the control goroutine and returns its result.
func postAndWait[T any](c *Controller, f func() T) T {
	answer := make(chan T, 1)
	c.post(func() { answer <- f() })
	return <-answer
}

func (c *Controller) run(ctx context.Context) {
	timer := time.NewTimer(tickPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stopBackground()
			go c.drainEvents()
			return
		case event := <-c.events:
			event()
		case <-timer.C:
			c.tick(c.now())
			timer.Reset(c.nextTick())
		}
	}
}

// nextTick returns the time until the next tick, which is longer while the VM is idle.
func (c *Controller) nextTick() time.Duration {
	if len(c.activeBuckets) > 0 {
		return tickPeriod
	}
	for _, l := range c.lanes {
		if l.hasWork() {
			return tickPeriod
		}
	}
	return idleTickPeriod
}

// drainEvents runs events that are posted after the stop, so that no caller of postAndWait blocks
// forever.
func (c *Controller) drainEvents() {
	for {
		select {
		case event := <-c.events:
			event()
		case <-time.After(time.Second):
			return
		}
	}
}

func (c *Controller) stopBackground() {
	for _, link := range c.links {
		link.stop()
	}
	for _, l := range c.lanes {
		l.stopReportPolling()
	}
}

func (c *Controller) tick(now time.Time) {
	c.serveTokenQueues(now)
	c.tickLanes(now)
	due := func(last *time.Time, period time.Duration) bool {
		if now.Sub(*last) < period {
			return false
		}
		*last = now
		return true
	}
	if due(&c.lastRun.publish, publishPeriod) {
		c.publish()
	}
	if due(&c.lastRun.slots, slotBalancePeriod) {
		c.balanceSlots(now)
	}
	if due(&c.lastRun.snapshots, snapshotPeriod) {
		c.writeSnapshotIfDue(now)
		c.logWithdrawals(now)
	}
	if due(&c.lastRun.orders, orderPeriod) {
		c.sendOrders(now)
	}
	if due(&c.lastRun.sync, syncPeriod) {
		c.syncLanes(now)
	}
}

// publish stores a new Snapshot of the control state.
func (c *Controller) publish() {
	now := c.now()
	state, complete := c.replay.State()
	ready := complete && c.caughtUp && c.roster.ListRead()
	c.roster.SetSelf(ready, c.draining)
	freshUntil := time.Time{}
	if ready {
		freshUntil = c.roster.FreshUntil(now, state.Next)
	}
	c.snapshot.Store(&Snapshot{View: c.view, State: state, FreshUntil: freshUntil, Ready: ready, Draining: c.draining})
	c.metrics.LogAge.Set(c.roster.LogAge(now).Seconds())
	c.metrics.LogOffset.Set(float64(state.Next))
}

// Drain marks this VM as draining, so that it takes on no more lanes, slots or periodic tasks.
func (c *Controller) Drain() {
	c.post(func() {
		c.draining = true
		c.publish()
	})
}

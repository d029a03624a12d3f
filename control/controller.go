// Package control runs the control state of one VM.
//
// One goroutine, started by New, owns all control state: the fold of the log, the roster, the token
// buckets and the dispatchers of the lanes that this VM serves. Other goroutines do the input and
// output and pass their results to it as functions. Traffic goroutines read an immutable Snapshot.
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
	eventQueue = 8192
	// tickPeriod bounds how late a timed decision is made.
	tickPeriod = 10 * time.Millisecond
	// idleTickPeriod is the period of ticks while no request waits.
	idleTickPeriod = 50 * time.Millisecond
	// publishPeriod bounds how late traffic sees a change that no event announced.
	publishPeriod = 100 * time.Millisecond
	// clockDriftMargin covers clocks that run at different speeds over one loan term.
	clockDriftMargin = 100 * time.Millisecond
)

// Snapshot is what traffic goroutines see of the control state. It is immutable.
type Snapshot struct {
	View  *catalog.View
	State catalog.State
	// FreshUntil is the time until which View may be relied on for keyed requests.
	FreshUntil time.Time
	Ready      bool
	Draining   bool
}

// Fresh reports whether the view may be relied on.
func (s *Snapshot) Fresh(now time.Time) bool { return s.Ready && now.Before(s.FreshUntil) }

// Controller is the control state of one VM.
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
	streams  *streamSet

	// The fields below belong to the control goroutine.
	replay    *catalog.Replay
	view      *catalog.View
	roster    *roster.Roster
	startedAt time.Time
	headRead  bool
	draining  bool
	withdrawn map[string]withdrawal
	buckets   map[string]*accountBucket
	busy      map[string]*accountBucket
	slots     slotState
	links     map[string]*peerLink
	lanes     map[string]*lane
	waiters   map[string]func(catalog.Verdict)
	trail     []catalog.Change
	snapshots snapshotState
	orders    map[string]time.Time
	lastTick  periods
}

// periods holds when each periodic job last ran.
type periods struct {
	publish, slots, snapshots, orders, sync time.Time
}

// Option changes a new Controller.
type Option func(*Controller)

// WithLogger sets where events are logged.
func WithLogger(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// WithMetrics sets where measurements go.
func WithMetrics(m *metrics.Metrics) Option { return func(c *Controller) { c.metrics = m } }

// WithClock sets the source of the time.
func WithClock(now func() time.Time) Option { return func(c *Controller) { c.now = now } }

// New starts the control state of a VM, and returns a function that stops it.
func New(cfg settings.Settings, self peer.Identity, engines *engine.Client, cancels *engine.Canceller, opts ...Option) (*Controller, func(), error) {
	c := &Controller{
		cfg: cfg, self: self, log: zap.NewNop(), metrics: metrics.New(), engines: engines, cancels: cancels, now: time.Now,
		events: make(chan func(), eventQueue), appends: make(chan pendingAppend, eventQueue), streams: newStreamSet(),
		replay: catalog.NewReplay(nil), withdrawn: map[string]withdrawal{}, buckets: map[string]*accountBucket{}, busy: map[string]*accountBucket{},
		links: map[string]*peerLink{}, lanes: map[string]*lane{}, waiters: map[string]func(catalog.Verdict){}, orders: map[string]time.Time{},
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
	_, closePeers, err := peer.Listen(cfg.Listen.Peers, self, cfg.Access.PeerSecret, c.inbox())
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

// Snapshot returns what traffic may rely on.
func (c *Controller) Snapshot() *Snapshot { return c.snapshot.Load() }

// Self returns the identity of this run of the process.
func (c *Controller) Self() peer.Identity { return c.self }

// Now returns the time by the clock of the controller.
func (c *Controller) Now() time.Time { return c.now() }

// post passes a function to the control goroutine.
func (c *Controller) post(event func()) { c.events <- event }

// ask runs a function on the control goroutine and waits for its end.
func ask[T any](c *Controller, f func() T) T {
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
			c.stopWorkers()
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

// nextTick returns the time to the next tick, which is longer while no request waits for it.
func (c *Controller) nextTick() time.Duration {
	if len(c.busy) > 0 {
		return tickPeriod
	}
	for _, l := range c.lanes {
		if l.hasWork() {
			return tickPeriod
		}
	}
	return idleTickPeriod
}

// drainEvents runs late events after the stop, so that nobody waits for an answer forever.
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

func (c *Controller) stopWorkers() {
	for _, link := range c.links {
		link.stop()
	}
	for _, l := range c.lanes {
		l.stopReports()
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
	if due(&c.lastTick.publish, publishPeriod) {
		c.publish()
	}
	if due(&c.lastTick.slots, slotPeriod) {
		c.balanceSlots(now)
	}
	if due(&c.lastTick.snapshots, snapshotPeriod) {
		c.writeSnapshotIfDue(now)
		c.logWithdrawals(now)
	}
	if due(&c.lastTick.orders, orderPeriod) {
		c.sendOrders(now)
	}
	if due(&c.lastTick.sync, syncPeriod) {
		c.syncJobs(now)
	}
}

// publish makes the control state visible to traffic.
func (c *Controller) publish() {
	now := c.now()
	state, whole := c.replay.State()
	ready := whole && c.headRead && c.roster.Listed()
	c.roster.SetSelf(ready, c.draining)
	freshUntil := time.Time{}
	if ready {
		freshUntil = c.roster.FreshUntil(now, state.Next)
	}
	c.snapshot.Store(&Snapshot{View: c.view, State: state, FreshUntil: freshUntil, Ready: ready, Draining: c.draining})
	c.metrics.LogAge.Set(c.roster.LogAge(now).Seconds())
	c.metrics.Offset.Set(float64(state.Next))
}

// Drain tells the peers that this VM takes no more jobs.
func (c *Controller) Drain() {
	c.post(func() {
		c.draining = true
		c.publish()
	})
}

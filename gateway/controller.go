// Package gateway serves routes by host and path: it admits callers' requests, sends them to plain services or
// through prefill and decode engines, and passes the answers on as they come.
//
// One goroutine, that of a Controller, owns the control state: the board of upstreams, the rates of accounts and
// what other VMs say. Traffic goroutines ask it, and read the declarations through an atomic pointer.
package gateway

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	eventQueue = 4096
	// waitingTick bounds how late a decision on a waiting request is made.
	waitingTick = 10 * time.Millisecond
)

// Controller is the control state of one VM.
type Controller struct {
	self    peer.Identity
	zone    string
	log     *zap.Logger
	metrics *metrics.Gateway
	now     func() time.Time

	events  chan func()
	table   atomic.Pointer[routing.Table]
	leaving atomic.Bool
	// sendBeacon sends to peers, nudge makes the declarations be read again, and readList the list of replicas.
	sendBeacon func(peer.Beacon, []peerAddress) error
	nudge      func()
	readList   func()

	// The fields below belong to the control goroutine.
	// observers are called when new declarations are in force.
	observers []func()
	board     *placement.Board
	keeper    *quota.Keeper
	budget    *retryBudget
	peers     map[string]*peerState
	replicas  replicaList
	reads     listReads
	placing   map[uint64]chan placement.Decision
	lastID    uint64
	startedAt time.Time
	nudgedAt  time.Time
	beacon    beaconState
	// tellLevelsUntil is until when beacons say the levels of accounts, for VMs that are starting.
	tellLevelsUntil time.Time
}

// Option changes a new Controller.
type Option func(*Controller)

// WithLogger sets where decisions are logged.
func WithLogger(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// WithMetrics sets where measurements go.
func WithMetrics(m *metrics.Gateway) Option { return func(c *Controller) { c.metrics = m } }

// WithNudge sets what is called when another VM has newer declarations.
func WithNudge(nudge func()) Option { return func(c *Controller) { c.nudge = nudge } }

// WithRetryBudget sets the share of requests, and the number in each window, that may be sent again on all VMs
// together.
func WithRetryBudget(ratio float64, slack float64, window time.Duration) Option {
	return func(c *Controller) { c.budget = newRetryBudget(ratio, slack, window) }
}

// NewController returns the control state of a VM. Run must be called.
func NewController(self peer.Identity, zone string, opts ...Option) *Controller {
	c := &Controller{
		self: self, zone: zone, log: zap.NewNop(), metrics: metrics.NewGateway(), now: time.Now, events: make(chan func(), eventQueue),
		nudge: func() {}, board: placement.NewBoard(zone, rand.Float64), keeper: quota.NewKeeper(),
		budget: newRetryBudget(defaultRetryRatio, defaultRetrySlack, defaultRetryWindow), peers: map[string]*peerState{}, replicas: newReplicaList(),
		placing: map[uint64]chan placement.Decision{}, sendBeacon: func(peer.Beacon, []peerAddress) error { return nil },
	}
	for _, opt := range opts {
		opt(c)
	}
	c.startedAt = c.now()
	return c
}

// Run owns the control state until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-c.events:
			event()
		case <-timer.C:
		}
		now := c.now()
		c.decide(now)
		c.tickReplicas(now)
		c.tickPeers(now)
		c.readListIfDue(now)
		c.sendBeaconIfDue(now)
		timer.Reset(c.nextWake(now))
	}
}

// nextWake returns when something is due without any event.
func (c *Controller) nextWake(now time.Time) time.Duration {
	wake := min(c.beacon.dueIn(now), c.listDueIn(now))
	if c.board.Waiting() > 0 {
		wake = min(wake, waitingTick)
	}
	return max(wake, time.Millisecond)
}

// post passes a function to the control goroutine.
func (c *Controller) post(event func()) { c.events <- event }

// ask runs a function on the control goroutine and returns its result.
func ask[T any](c *Controller, f func() T) T {
	answer := make(chan T, 1)
	c.post(func() { answer <- f() })
	return <-answer
}

// Table returns the declarations in force, or nil before there are any.
func (c *Controller) Table() *routing.Table { return c.table.Load() }

// SetDeclarations puts declarations in force, unless newer ones are.
func (c *Controller) SetDeclarations(d routing.Declarations) {
	table := routing.NewTable(d)
	c.post(func() {
		current := c.table.Load()
		if current != nil && d.Version <= current.Version {
			if d.Version < current.Version {
				c.log.Warn("declarations-passed-over", zap.Uint64("Version", d.Version), zap.Uint64("InForce", current.Version))
			}
			return
		}
		c.table.Store(table)
		c.board.Configure(d.Pools)
		c.configureQuotas(d.Accounts)
		c.metrics.Version.Set(float64(d.Version))
		for _, observe := range c.observers {
			observe()
		}
		c.log.Info("declarations-in-force", zap.Uint64("Version", d.Version), zap.Int("Routes", len(d.Routes)), zap.Int("Pools", len(d.Pools)),
			zap.Int("Accounts", len(d.Accounts)))
	})
}

// onDeclarations makes a function be called on the control goroutine when new declarations are in force.
func (c *Controller) onDeclarations(observe func()) {
	c.post(func() { c.observers = append(c.observers, observe) })
}

func (c *Controller) configureQuotas(accounts []routing.Account) {
	now := c.now()
	names := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		names[account.Name] = true
		terms := quota.Terms{Rate: account.TokensPerSecond, Burst: account.BurstTokens}
		if c.keeper.Configure(now, account.Name, terms) {
			c.log.Info("account-rate", zap.String("Account", account.Name), zap.Float64("Rate", terms.Rate), zap.Float64("Burst", terms.Burst),
				zap.Float64("Level", c.keeper.Level(now, account.Name)))
		}
	}
	c.keeper.Retain(names)
}

// Ready reports whether the VM takes new connections.
func (c *Controller) Ready() bool { return c.Table() != nil && !c.leaving.Load() }

// Leave says that the VM takes no new connections any more.
func (c *Controller) Leave() {
	c.leaving.Store(true)
	c.post(func() { c.beacon.dirty = true })
}

// Leaving reports whether Leave was called.
func (c *Controller) Leaving() bool { return c.leaving.Load() }

// admission is the outcome of taking tokens from an account's rate.
type admission struct {
	ok    bool
	wait  time.Duration
	level float64
}

// admit takes tokens from an account's rate, and counts the request for the retry budget of its pool.
func (c *Controller) admit(account, pool string, tokens float64) admission {
	return ask(c, func() admission {
		now := c.now()
		wait, ok := c.keeper.Take(now, account, tokens)
		if ok {
			c.budget.request(now, pool)
			c.beacon.spent = true
		}
		return admission{ok: ok, wait: wait, level: c.keeper.Level(now, account)}
	})
}

// giveBack returns the tokens of a request that did not run.
func (c *Controller) giveBack(account string, tokens float64) {
	c.post(func() { c.keeper.Return(c.now(), account, tokens) })
}

// mayRepeat takes further arrivals at a pool from the retry budget.
func (c *Controller) mayRepeat(pool string, arrivals int) bool {
	return ask(c, func() bool { return c.budget.take(c.now(), pool, arrivals) })
}

// place waits until engines are chosen for a request, or it is refused. The returned ID must be released.
func (c *Controller) place(ctx context.Context, r placement.Request) (placement.Decision, uint64) {
	decided := make(chan placement.Decision, 1)
	id := ask(c, func() uint64 {
		c.lastID++
		r.ID = c.lastID
		c.placing[r.ID] = decided
		c.board.Submit(r)
		c.beacon.dirty = true
		return r.ID
	})
	select {
	case decision := <-decided:
		return decision, id
	case <-ctx.Done():
		return placement.Decision{ID: id, Kind: placement.RefuseOverload}, id
	}
}

// release frees what a placed request holds.
func (c *Controller) release(id uint64) {
	c.post(func() {
		delete(c.placing, id)
		c.board.Withdraw(c.now(), id)
		c.beacon.dirty = true
	})
}

// prefilled notes the end of a prefill.
func (c *Controller) prefilled(id uint64, ok bool) {
	c.post(func() {
		c.board.Prefilled(c.now(), id, ok)
		c.beacon.dirty = true
	})
}

type chosen struct {
	replica placement.Replica
	found   bool
}

// replaceDecode chooses another decode engine for a request whose prompt has been read.
func (c *Controller) replaceDecode(id uint64) (placement.Replica, bool) {
	choice := ask(c, func() chosen {
		c.beacon.dirty = true
		replica, found := c.board.Replace(c.now(), id)
		return chosen{replica, found}
	})
	return choice.replica, choice.found
}

// pickService chooses an upstream of a plain service. releaseService must be called.
func (c *Controller) pickService(pool string, avoid []string) (placement.Replica, bool) {
	choice := ask(c, func() chosen {
		replica, found := c.board.PickService(c.now(), pool, avoid)
		return chosen{replica, found}
	})
	return choice.replica, choice.found
}

// releaseService ends a call to a plain service. took is the time to a good answer, or 0.
func (c *Controller) releaseService(id string, took time.Duration) {
	c.post(func() { c.board.ReleaseService(id, took) })
}

// failed notes that an upstream failed a request, or could not be reached.
func (c *Controller) failed(replica placement.Replica, unreachable bool) {
	c.post(func() {
		if pause := c.board.Failed(c.now(), replica.ID, unreachable); pause > 0 {
			c.log.Info("replica-passed-over", zap.String("Replica", replica.ID), zap.String("Address", replica.Address),
				zap.Bool("Unreachable", unreachable), zap.Duration("For", pause))
		}
	})
}

// full notes that an engine had no room for a request.
func (c *Controller) full(replica placement.Replica) {
	c.post(func() { c.board.Full(c.now(), replica.ID) })
}

// replaced notes that another replica answers at the address of an upstream.
func (c *Controller) replaced(replica placement.Replica) {
	c.post(func() {
		c.board.Replaced(replica.ID)
		c.beacon.dirty = true
		c.log.Info("replica-replaced", zap.String("Replica", replica.ID), zap.String("Address", replica.Address))
	})
}

// decide makes the decisions that can be made now.
func (c *Controller) decide(now time.Time) {
	for _, decision := range c.board.Poll(now) {
		c.beacon.dirty = true
		decided, ok := c.placing[decision.ID]
		if !ok {
			continue
		}
		delete(c.placing, decision.ID)
		decided <- decision
	}
}

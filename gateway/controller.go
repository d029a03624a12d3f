// Package gateway routes requests by host and path. It admits a request, forwards it to a plain service or through a
// prefill and a decode engine, and streams the response back to the caller.
//
// The goroutine that runs Controller.Run owns the control state: the placement scheduler, the account quotas and the
// state of peer VMs. Request goroutines send it functions to run, and read the declarations through an atomic pointer.
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
	"github.com/cassiabridge/cassiabridge/quarantine"
	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/relay"
	"github.com/cassiabridge/cassiabridge/resumption"
	"github.com/cassiabridge/cassiabridge/routing"
)

// waitingPollInterval is how often the scheduler is polled while requests wait for placement.
const waitingPollInterval = 10 * time.Millisecond

// Controller owns the control state of one VM. Its exported methods are safe for concurrent use.
type Controller struct {
	self peer.Identity
	zone string
	// address is the IP address and port at which this VM receives beacons, or empty if no list of VMs is kept.
	address string
	log     *zap.Logger
	metrics *metrics.Gateway
	now     func() time.Time

	events  chan event
	table   atomic.Pointer[routing.Table]
	leaving atomic.Bool
	// suspects is whether there is evidence that anything ends replicas.
	suspects atomic.Bool
	// limitsNamed is whether any VM has heard of a request limit of a replica lately.
	limitsNamed atomic.Bool
	// sendBeacon sends a beacon to peers, refreshDeclarations triggers a read of the declarations, and readList triggers
	// a read of the replica list.
	sendBeacon          func(peer.Beacon, []peerAddress) error
	refreshDeclarations func()
	readList            func()
	// advanceList is told up to where the list of replicas has become known from a peer, or nil.
	advanceList func(offset, era uint64)
	// isPathLost reports whether this VM has no way of its own to the upstream at an address.
	isPathLost func(addr string) bool
	// relayPeers holds the peers through which connections to upstreams can be opened.
	relayPeers atomic.Pointer[[]relay.Peer]
	// setDeclarationsReading is told whether this VM keeps a waiting read of the declarations, or nil, and advanceDeclarations up to
	// where the operators' records have become known from a peer.
	setDeclarationsReading func(bool)
	advanceDeclarations    func(offset, era uint64)
	// storeDelay returns how long the fastest call to the store has taken, or 0.
	storeDelay func() time.Duration
	// storeLost is whether the last read of the list of replicas has failed. Only the control goroutine accesses it.
	storeLost bool
	// checkDeclarations triggers a check of the store for newer declarations.
	checkDeclarations func()
	// checkReplica has a replica asked whether its process is the listed one, or is nil if replicas do not tell. Only the control goroutine
	// accesses it.
	checkReplica func(placement.Replica)
	// readCopy triggers a read of the backup copy.
	readCopy func()
	// newerVersion is the last version newer than that in force of which a peer has told, or nil.
	newerVersion atomic.Pointer[heardVersion]
	// firstHeard is the first version newer than that in force of which a peer has told. Only the control goroutine accesses it.
	firstHeard heardVersion
	// caughtUp is whether this VM may serve with its declarations.
	caughtUp atomic.Bool

	// The fields below are only accessed by the control goroutine.
	// cutOff is whether this VM has no way of its own to upstreams that peers reach.
	cutOff bool
	// observers are called whenever new declarations take effect.
	observers  []func()
	scheduler  *placement.Scheduler
	quotas     *quota.Limiter
	quarantine *quarantine.Tracker
	budget     *quota.RetryBudget
	peers      map[string]*peerState
	replicas   replicaList
	feed       listFeed
	// declarations passes the declarations on. regionRank is the number of VMs of the region that take precedence over this one.
	declarations declarationFeed
	regionRank   int
	streams      *resumption.Tracker
	receipts     *resumption.Receipts
	inquiries    resumption.Inquiries
	watches      entryWatches
	// streamsBegun is signaled when streams have begun that are to be written to the store.
	streamsBegun chan struct{}
	// recordsWanted is signaled when the records of all VMs' streams are to be read, which was last done by a read sent at recordsReadAt.
	recordsWanted chan struct{}
	recordsReadAt time.Time
	limits        *quota.ReplicaLimits
	cold          *quota.ColdLimits
	zones         zones
	// groups is what this VM knows of other groups, or nil if the fleet is not divided into groups.
	groups *groupState
	// invalidHeaders holds the invalid values of replicas' headers that were logged, by event and replica ID.
	invalidHeaders    map[string]string
	listSchedule      listReadSchedule
	declarationChecks fleetTask
	pendingPlacements map[uint64]chan placement.Decision
	lastID            uint64
	startedAt         time.Time
	catchUp           catchUp
	// refreshedAt is when a read of the declarations was last triggered, because a peer has version refreshedFor, and
	// copyReadAt when a read of the copy was.
	refreshedAt  time.Time
	refreshedFor uint64
	copyReadAt   time.Time
	// vmListRead is whether the list of VMs has been read, or need not be. fleetListed is whether it has been read from the
	// topic or from the backup copy, and fleetKnown whether the number of VMs is known from there or from a peer.
	vmListRead, fleetListed, fleetKnown bool
	beacon                              beaconSchedule
	// peersChanged is whether a peer has appeared, left or been heard again since updatePeers ran at peersUpdatedAt.
	peersChanged   bool
	delayLoggedAt  time.Time
	stall          stall
	peersUpdatedAt time.Time
	// advertiseLevelsUntil is the time until which beacons include account levels. A VM that has just started adopts them.
	advertiseLevelsUntil time.Time
}

// Option configures a new Controller.
type Option func(*Controller)

// WithLogger sets the logger. The default discards everything.
func WithLogger(log *zap.Logger) Option { return func(c *Controller) { c.log = log } }

// WithMetrics sets the metrics to update.
func WithMetrics(m *metrics.Gateway) Option { return func(c *Controller) { c.metrics = m } }

// WithDeclarationsRefresh sets the function that triggers a read of the declarations when a peer has newer ones.
func WithDeclarationsRefresh(refresh func()) Option {
	return func(c *Controller) { c.refreshDeclarations = refresh }
}

// WithRetryBudget sets the retry budget that all VMs share: retries are limited to ratio times the number of requests,
// plus slack in each window.
func WithRetryBudget(ratio float64, slack float64, window time.Duration) Option {
	return func(c *Controller) { c.budget = quota.NewRetryBudget(ratio, slack, window) }
}

// NewController returns a Controller for the VM self in an availability zone. Run must be called for its methods to
// make progress.
func NewController(self peer.Identity, zone string, opts ...Option) *Controller {
	limits := quota.NewReplicaLimits(self.VM)
	cold := quota.NewColdLimits(self.VM, defaultColdTolerance)
	c := &Controller{
		self: self, zone: zone, log: zap.NewNop(), metrics: metrics.NewGateway(), now: time.Now, events: make(chan event, eventQueueCapacity),
		isPathLost: func(string) bool { return false }, refreshDeclarations: func() {}, storeDelay: func() time.Duration { return 0 }, readCopy: func() {}, catchUp: catchUp{done: true}, vmListRead: true, fleetListed: true, fleetKnown: true, scheduler: placement.NewScheduler(zone, limits, cold, rand.Float64), quotas: quota.NewLimiter(), quarantine: quarantine.NewTracker(),
		budget: quota.NewRetryBudget(quota.DefaultRetryRatio, quota.DefaultRetrySlack, quota.DefaultRetryWindow), peers: map[string]*peerState{}, replicas: newReplicaList(), feed: newListFeed(), streams: resumption.NewTracker(time.Time{}), receipts: resumption.NewReceipts(), streamsBegun: make(chan struct{}, 1), recordsWanted: make(chan struct{}, 1), limits: limits, cold: cold, invalidHeaders: map[string]string{},
		pendingPlacements: map[uint64]chan placement.Decision{}, listSchedule: newListReadSchedule(), declarationChecks: fleetTask{interval: declarationsCheckInterval}, sendBeacon: func(peer.Beacon, []peerAddress) error { return nil },
	}
	for _, opt := range opts {
		opt(c)
	}
	c.startedAt = c.now()
	c.caughtUp.Store(c.catchUp.done)
	return c
}

// Run is the event loop of the control state. It returns when ctx is done.
func (c *Controller) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.recordEventDelay(c.now(), e)
			e.run()
		case <-timer.C:
		}
		timer.Reset(c.runDueTasks(c.now()))
	}
}

// runDueTasks runs the tasks of the event loop that are due, and returns how long it may sleep if no event arrives.
func (c *Controller) runDueTasks(now time.Time) time.Duration {
	c.noticeStall(now)
	c.deliverDecisions(now)
	c.expireDoubtfulReplicas(now)
	c.updatePeersIfDue(now)
	c.readListIfDue(now)
	c.requestListIfDue(now)
	c.pushListIfDue(now)
	c.answerListRequestIfDue(now)
	c.checkDeclarationsIfDue(now)
	c.requestDeclarationsIfDue(now)
	c.passDeclarationsOn(c.self.VM)
	c.sendBeaconIfDue(now)
	c.runInquiries(now)
	c.readWatchedEntries(now)
	return c.nextWake(now)
}

// nextWake returns how long the event loop may sleep if no event arrives.
func (c *Controller) nextWake(now time.Time) time.Duration {
	wake := min(c.beaconDueIn(now), c.summariesDueIn(now), c.listReadDueIn(now), c.listRequestDueIn(now), c.pushDueIn(now), c.feed.queue.dueIn(now), c.declarationsCheckDueIn(now), c.declarationsRequestDueIn(now), c.watchesDueIn(now))
	wake = c.inquiries.DueIn(now, wake)
	if c.scheduler.QueueLength() > 0 {
		wake = min(wake, waitingPollInterval)
	}
	if !c.catchUp.done {
		wake = min(wake, peerCheckInterval)
	}
	return max(wake, time.Millisecond)
}

// Table returns the declarations in force, or nil before there are any.
func (c *Controller) Table() *routing.Table { return c.table.Load() }

// SetDeclarations puts declarations in force, unless their version is not newer than the current one.
func (c *Controller) SetDeclarations(d routing.Declarations) {
	table := routing.NewTable(d)
	c.post(func() { c.setDeclarations(table) })
}

func (c *Controller) setDeclarations(table *routing.Table) {
	d, current := table.Declarations, c.table.Load()
	if current != nil && d.Version <= current.Version {
		if d.Version < current.Version {
			c.log.Warn("declarations-ignored", zap.Uint64("Version", d.Version), zap.Uint64("InForce", current.Version))
		}
		return
	}
	c.table.Store(table)
	c.peersChanged = c.peersChanged || !c.catchUp.done
	c.scheduler.SetPools(d.Pools)
	c.configureQuotas(d.Accounts)
	c.configureStreams(d.Routes)
	c.metrics.Version.Set(float64(d.Version))
	for _, observe := range c.observers {
		observe()
	}
	c.log.Info("declarations-in-force", zap.Uint64("Version", d.Version), zap.Int("Routes", len(d.Routes)), zap.Int("Pools", len(d.Pools)),
		zap.Int("Accounts", len(d.Accounts)))
}

// onDeclarations registers a function that runs on the control goroutine whenever new declarations take effect.
func (c *Controller) onDeclarations(observe func()) {
	c.post(func() { c.observers = append(c.observers, observe) })
}

func (c *Controller) configureQuotas(accounts []routing.Account) {
	now := c.now()
	names := make(map[string]bool, len(accounts))
	for _, account := range accounts {
		names[account.Name] = true
		limits := quota.Limits{Rate: account.TokensPerSecond, Burst: account.BurstTokens}
		if c.quotas.Configure(now, account.Name, limits) {
			c.log.Info("account-rate", zap.String("Account", account.Name), zap.Float64("Rate", limits.Rate), zap.Float64("Burst", limits.Burst),
				zap.Float64("Level", c.quotas.Level(now, account.Name)))
		}
	}
	c.quotas.RetainAccounts(names)
}

// Ready reports whether the VM accepts new connections: it has declarations, which are as new as those of its peers or were
// so once, and is not leaving.
func (c *Controller) Ready() bool { return c.caughtUp.Load() && c.Table() != nil && !c.leaving.Load() }

// Leave marks the VM as leaving, so that it accepts no new connections, and announces this to its peers.
func (c *Controller) Leave() {
	c.leaving.Store(true)
	c.post(func() { c.beacon.dirty = true })
}

// Leaving reports whether Leave was called.
func (c *Controller) Leaving() bool { return c.leaving.Load() }

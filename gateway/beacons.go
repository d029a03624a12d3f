package gateway

import (
	"maps"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// minRefreshInterval is the minimum time between two reads of the declarations that beacons of peers trigger.
	minRefreshInterval = 500 * time.Millisecond
	// sameStartTolerance is the difference in uptime up to which two VMs count as started together. Neither then adopts
	// the account levels of the other.
	sameStartTolerance = 2 * time.Second
	// levelAdvertisePeriod is how long beacons include account levels after a peer has started.
	levelAdvertisePeriod = time.Second
)

// HandleBeacon applies a beacon of a peer. Outdated beacons are ignored. A beacon of an unknown VM, or of a new process
// of a known one, registers its sender: a VM reads the list of VMs when it starts, and seldom afterwards.
func (c *Controller) HandleBeacon(b peer.Beacon, from netip.AddrPort) {
	c.post(func() { c.handleBeacon(b, from) })
}

func (c *Controller) handleBeacon(b peer.Beacon, from netip.AddrPort) {
	if b.VM == c.self.VM {
		return
	}
	switch b.Scope {
	case peer.ScopeVM:
	case peer.ScopeList:
		c.handleListPage(b)
		return
	case peer.ScopeListRequest:
		c.handleListRequest(b)
		return
	case peer.ScopeDeclarations, peer.ScopeDeclarationsRequest:
		c.handleDeclarationsMessage(b, from)
		return
	case peer.ScopeStreams, peer.ScopeStreamsRequest, peer.ScopeStreamsQuestion, peer.ScopeStreamsAnswer:
		c.handleStreamsMessage(b, from)
		return
	default:
		c.handleSummary(b)
		return
	}
	p := c.peers[b.VM]
	if p == nil || p.incarnation != b.Incarnation && !sameAddress(p.address, from) {
		p = c.registerPeer(b.VM, net.UDPAddrFromAddrPort(from))
	}
	c.setPeerZone(b.VM, b.AvailabilityZone)
	if !c.isMate(b.VM) || p.incarnation == b.Incarnation && b.Sequence <= p.sequence {
		return
	}
	now := c.now()
	b = c.stall.aged(now, b)
	afterSilence := p.silent && p.incarnation == b.Incarnation
	c.recordHeard(now, p, b)
	c.recordGroupMate(now, p, b)
	c.feedIfWithoutList(b)
	c.recordTeller(now, b)
	c.quotas.ApplyPeerSpent(now, processRun(b.VM, b.Incarnation), b.SpentTokens, afterSilence)
	c.scheduler.SetPeerUnreachable(now, b.VM, b.UnreachableReplicas)
	c.applyHints(now, b)
}

// handleDeclarationsMessage handles a message about declarations, unless its sender is unknown: others must not declare anything.
func (c *Controller) handleDeclarationsMessage(b peer.Beacon, from netip.AddrPort) {
	p := c.peers[b.VM]
	switch {
	case p == nil || !sameAddress(p.address, from):
		c.log.Warn("declarations-page-ignored", zap.String("Peer", b.VM), zap.Stringer("Address", from), zap.String("Reason", "the sender is unknown"))
	case b.Scope == peer.ScopeDeclarations:
		c.handleDeclarationsPage(b)
	default:
		c.handleDeclarationsRequest(b)
	}
}

// applyHints applies what a beacon or a summary tells besides spent tokens, members and unreachable replicas.
func (c *Controller) applyHints(now time.Time, b peer.Beacon) {
	c.adoptLevels(now, b)
	c.scheduler.SetPeerLoads(b.VM, b.ReplicaLoads)
	c.scheduler.SetPeerQueuedTokens(b.VM, b.QueuedTokens)
	c.scheduler.SetPeerServiceLoads(b.ServiceLoads)
	c.scheduler.SetPeerCalls(now, b.VM, b.ServiceCalls)
	c.mergeEvidence(now, b)
	c.mergeLimits(b)
	c.mergeCold(b)
	for _, id := range b.ReplacedReplicas {
		c.scheduler.MarkReplaced(id)
	}
	if b.ListAge >= 0 && !b.Leaving {
		c.listSchedule.recordPeerRun(now.Add(-b.ListAge))
	}
	c.recordPeerCheck(now, b)
	c.listSchedule.recordPeerChange(now, listPosition{b.ListEra, b.ListOffset})
	c.confirmList(now, b)
	c.recordPeerStreams(now, b)
	c.refreshIfNewer(now, b.VM, b.Version)
	c.refreshIfEvacuationsChanged(now, b)
}

// processRun names one run of a peer's process.
func processRun(vm, incarnation string) string { return vm + "/" + incarnation }

// recordHeard records that a peer has been heard. A new process of a VM starts without spent tokens.
func (c *Controller) recordHeard(now time.Time, p *peerState, b peer.Beacon) {
	switch {
	case p.incarnation != b.Incarnation:
		c.recordPeerStart(now, p, b)
	case p.silent && !p.lastBeaconAt.IsZero():
		c.log.Info("vm-regained", zap.String("Peer", b.VM), zap.Duration("Silence", now.Sub(p.lastBeaconAt)))
	}
	relays := canRelay(b.CutOff, b.Capabilities)
	c.peersChanged = c.peersChanged || p.silent || p.leaving != b.Leaving || p.storeDistance != b.StoreDistance || p.relays != relays || p.lastBeaconAt.IsZero() || !c.catchUp.done
	p.incarnation, p.sequence, p.lastBeaconAt, p.silent, p.leaving, p.version, p.vmCount, p.storeDistance, p.relays = b.Incarnation, b.Sequence, now, false, b.Leaving, b.Version, b.VMCount, b.StoreDistance, relays
}

// recordPeerStart records the first beacon of a process.
func (c *Controller) recordPeerStart(now time.Time, p *peerState, b peer.Beacon) {
	c.quotas.ForgetPeerRun(processRun(b.VM, p.incarnation))
	p.startedTogether = (b.Uptime - now.Sub(c.startedAt)).Abs() <= sameStartTolerance
	if b.Uptime > now.Sub(c.startedAt) && !p.startedTogether {
		// The peer spent most of these tokens before this process started, so they are only the baseline.
		c.quotas.SetPeerBaseline(processRun(b.VM, b.Incarnation), b.SpentTokens)
	} else {
		c.advertiseLevelsUntil = now.Add(levelAdvertisePeriod)
		c.beacon.dirty = true
	}
	c.log.Info("vm-heard", zap.String("Peer", b.VM), zap.String("Incarnation", b.Incarnation), zap.Duration("Uptime", b.Uptime), zap.Int("Format", b.Format), zap.Uint("Capabilities", uint(b.Capabilities)))
}

// adoptLevels adopts the account levels of a peer that started before this VM.
func (c *Controller) adoptLevels(now time.Time, b peer.Beacon) {
	if b.BucketLevels == nil || b.Uptime-now.Sub(c.startedAt) <= sameStartTolerance || !c.quotas.AdoptLevels(b.BucketLevels) {
		return
	}
	c.log.Info("rates-adopted", zap.String("Peer", b.VM), zap.Int("Accounts", len(b.BucketLevels)), zap.Duration("Uptime", b.Uptime))
}

func sameAddress(a peerAddress, b netip.AddrPort) bool {
	return a.Port == int(b.Port()) && a.IP.Equal(b.Addr().AsSlice())
}

func (c *Controller) sendBeaconIfDue(now time.Time) {
	c.sendSummariesIfDue(now)
	if c.beaconDueIn(now) > 0 {
		return
	}
	to := c.beaconReceivers()
	c.beacon.sequence++
	c.beacon.sentAt, c.beacon.dirty, c.beacon.tokensSpent = now, false, false
	c.expireHints(now)
	if len(to) == 0 {
		return
	}
	if err := c.sendBeacon(c.newBeacon(now), to); err != nil {
		c.log.Debug("beacon-not-sent", zap.Error(err))
	}
}

// expireHints drops evidence and limits that are too old.
func (c *Controller) expireHints(now time.Time) {
	c.quarantine.Expire(now)
	c.suspects.Store(c.quarantine.Any())
	c.metrics.QuarantinedParts.Set(float64(c.quarantine.QuarantinedCount()))
	c.limits.Expire(now)
	c.limitsNamed.Store(c.limits.Any())
	c.expireCold(now)
}

// newBeacon returns a beacon with the state of this VM.
func (c *Controller) newBeacon(now time.Time) peer.Beacon {
	b := peer.Beacon{VM: c.self.VM, Incarnation: c.self.Incarnation, AvailabilityZone: c.zone, Format: peer.MessageFormat, Capabilities: c.capabilities(), Sequence: c.beacon.sequence, Uptime: now.Sub(c.startedAt), Version: c.version(), VMCount: c.vmCount(),
		Leaving: c.leaving.Load(), CutOff: c.cutOff, StoreDistance: c.storeDistance(), ReplicaLoads: c.scheduler.OwnLoads(), QueuedTokens: c.scheduler.QueuedTokens(), SpentTokens: c.quotas.Spent(), ReplacedReplicas: c.scheduler.ReplacedIDs(), UnreachableReplicas: c.scheduler.UnreachableIDs(now),
		Suspects: c.quarantine.Report(now), TrialParts: c.quarantine.OwnTrials(), ReplicaLimits: c.limits.Reports(now),
		ListAge: c.listSchedule.age(now), ListEra: c.listSchedule.changed.era, ListOffset: c.listSchedule.changed.offset, ListNext: c.listNext(), ListDigest: c.replicas.digest.Total, Streams: c.reportStreams(now),
		CheckAge: c.declarationChecks.age(now), ColdReplicas: c.cold.Remaining(now), ServiceLoads: c.scheduler.OwnServiceLoads(now), ServiceCalls: maps.Clone(c.scheduler.OwnCalls()), EvacuationsEra: c.zones.changed.era, EvacuationsOffset: c.zones.changed.offset}
	if now.Before(c.advertiseLevelsUntil) {
		b.BucketLevels = c.quotas.Levels(now)
	}
	return b
}

// WithBeaconSender sets the function that sends a beacon to a list of peers.
func WithBeaconSender(send func(peer.Beacon, []peerAddress) error) Option {
	return func(c *Controller) { c.sendBeacon = send }
}

package gateway

import (
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// silenceTimeout is the time without a beacon after which a peer counts as silent: its loads are dropped, and its even
	// share of each quota stays reserved for it.
	silenceTimeout = 1500 * time.Millisecond
	// peerExpiry is the time without a beacon after which a peer no longer counts as a member. Network partitions last
	// some seconds and must not expire the peers behind them.
	peerExpiry = 60 * time.Second
	// peerCheckInterval is how often the peers are checked for silence.
	peerCheckInterval = 50 * time.Millisecond
	// peerCheckIntervalPerPeer is added for each peer: the check looks at all of them.
	peerCheckIntervalPerPeer = time.Millisecond
	// startSharePeriod is the time from the start of the process for which VMs that are heard for the first time add their
	// shares of the bursts. Later, buckets have been refilled.
	startSharePeriod = 5 * time.Second
)

type peerAddress = *net.UDPAddr

// VMRecord is the record that a VM writes to the store so that its peers can find it. It is encoded as JSON.
type VMRecord struct {
	// Address is the IP address and UDP port that receive beacons.
	Address          string
	AvailabilityZone string
}

// peerState holds what is known of one peer VM.
type peerState struct {
	address      peerAddress
	incarnation  string
	sequence     uint64
	listedAt     time.Time
	lastBeaconAt time.Time
	leaving      bool
	silent       bool
	// version is the version of its declarations.
	version uint64
	// startedTogether is whether its process started at about the same time as that of this VM.
	startedTogether bool
	// vmCount is the number of VMs that it knows, or 0 if it does not know all of them.
	vmCount int
	// storeDistance is its distance from the store.
	storeDistance int
	// relays is whether it opens connections to upstreams for others: it says so, and has a way of its own to them.
	relays bool
	// zone is its availability zone, or empty if it is not known.
	zone string
	// state is its last beacon, which arrived at stateAt, and startedAt when its process started. They are kept in a fleet that
	// is divided into groups.
	state     peer.Beacon
	stateAt   time.Time
	startedAt time.Time
}

// ApplyVMRecords applies a batch of VM records. Invalid records are logged and skipped.
func (c *Controller) ApplyVMRecords(batch follow.Batch) {
	c.post(func() {
		for _, record := range batch.Records {
			c.applyVMRecord(record)
		}
		c.vmListRead, c.fleetListed, c.peersChanged = true, true, true
	})
}

func (c *Controller) applyVMRecord(record follow.Record) {
	var vm VMRecord
	if err := json.Unmarshal(record.Value, &vm); err != nil {
		c.log.Warn("vm-record-ignored", zap.String("Peer", record.Key), zap.Uint64("Offset", record.Offset), zap.Error(err))
		return
	}
	c.registerVM(record.Key, vm.Address)
	c.setPeerZone(record.Key, vm.AvailabilityZone)
}

// RegisterVM sets the IP address and UDP port to which beacons for a peer are sent.
func (c *Controller) RegisterVM(name, address string) {
	c.post(func() { c.registerVM(name, address) })
}

func (c *Controller) registerVM(name, address string) {
	if name == c.self.VM {
		return
	}
	// Names are not looked up: that could block the control goroutine.
	addr, err := netip.ParseAddrPort(address)
	if err != nil || addr.Port() == 0 || !addr.Addr().Unmap().Is4() {
		c.log.Warn("vm-record-ignored", zap.String("Peer", name), zap.String("Address", address), zap.Error(err))
		return
	}
	c.registerPeer(name, net.UDPAddrFromAddrPort(addr))
}

func (c *Controller) registerPeer(name string, addr peerAddress) *peerState {
	p := c.peers[name]
	if p == nil {
		p = &peerState{}
		c.peers[name] = p
	}
	p.address, p.listedAt = addr, c.now()
	c.peersChanged = true
	c.log.Info("vm-listed", zap.String("Peer", name), zap.Stringer("Address", addr))
	c.beacon.dirty = true
	return p
}

// updatePeersIfDue updates what follows from the state of all peers. Each beacon is an event, so doing this for each
// event would take a time that grows with the square of the number of VMs.
func (c *Controller) updatePeersIfDue(now time.Time) {
	if !c.peersChanged && now.Sub(c.peersUpdatedAt) < max(peerCheckInterval, time.Duration(len(c.peers))*peerCheckIntervalPerPeer) {
		return
	}
	c.peersChanged, c.peersUpdatedAt = false, now
	c.updatePeers(now)
}

// updatePeers marks peers as silent that have stopped sending beacons, and updates the number of members among which
// the quotas, the replicas' limits and the retry budget are divided, this VM's rank among those that read the replica list,
// and whether it has caught up with its peers.
func (c *Controller) updatePeers(now time.Time) {
	count, silent, rank, regionRank, startedTogether, reportedCount := 0, 0, 0, 0, 0, 0
	c.updateOutsidePeers(now)
	versions := peerVersions{complete: c.vmListRead}
	var active, members []string
	for name, p := range c.peers {
		since := now.Sub(p.lastBeaconAt)
		if p.lastBeaconAt.IsZero() {
			since = now.Sub(p.listedAt) + silenceTimeout
		}
		if since > silenceTimeout && !p.silent && c.isMate(name) {
			c.markSilent(name, p, since)
		}
		if p.silent || p.lastBeaconAt.IsZero() {
			versions.complete = false
		} else {
			versions.newest = max(versions.newest, p.version)
		}
		if c.takesPrecedence(name, p) {
			rank++
			if c.sharesRegion(p) {
				regionRank++
			}
		}
		if since > peerExpiry || p.silent && p.leaving {
			continue
		}
		count++
		members = append(members, name)
		if p.silent {
			silent++
		}
		if p.silent {
			continue
		}
		reportedCount = max(reportedCount, p.vmCount-1)
		if p.startedTogether {
			startedTogether++
		}
		if !p.leaving {
			active = append(active, name)
		}
	}
	if unlisted := reportedCount - count; !c.fleetListed && unlisted > 0 {
		// Peers that have not been heard yet may be using their shares.
		count, silent = count+unlisted, silent+unlisted
	}
	known := c.fleetListed || reportedCount > 0
	slices.Sort(active)
	slices.Sort(members)
	c.limits.SetPeers(now, active)
	c.cold.SetMembers(now, members, c.fleetListed)
	c.listSchedule.rank, c.listSchedule.vmCount = rank, count+1
	c.declarationChecks.rank, c.regionRank = rank, regionRank
	c.listSchedule.readers, c.listSchedule.staleWait, c.listSchedule.patience = c.listReaders(), c.listChangeWait(), c.takeoverPatience()
	c.scheduler.SetVMCount(count + 1)
	c.updateQuotaShares(now, known, count, silent, startedTogether)
	if known {
		c.budget.SetVMCount(count + 1)
	}
	c.updateCatchUp(now, versions)
	c.updateDeclarationsReading()
	c.updateRelayPeers()
}

// updateQuotaShares tells the quotas how many VMs share them: count peers, of which silent ones are not heard and
// startedTogether ones have started at about the same time as this VM. known is whether count includes all of them.
func (c *Controller) updateQuotaShares(now time.Time, known bool, count, silent, startedTogether int) {
	if known != c.fleetKnown {
		c.log.Info("fleet-known", zap.Int("VMs", count+1), zap.Int("Silent", silent), zap.Bool("Listed", c.fleetListed), zap.Duration("Uptime", now.Sub(c.startedAt)))
	}
	c.fleetKnown = known
	c.quotas.SetFleetUnknown(now, !known)
	c.quotas.SetPeerCounts(now, count, silent)
	if known && now.Sub(c.startedAt) < startSharePeriod {
		c.quotas.SetStartShare(now, float64(1+startedTogether)/float64(1+count))
	}
}

// vmCount returns the number of VMs, or 0 if it is not known.
func (c *Controller) vmCount() int {
	if !c.fleetKnown {
		return 0
	}
	return c.listSchedule.vmCount
}

// markSilent drops the loads of a peer from which no beacon has arrived for the duration since.
func (c *Controller) markSilent(name string, p *peerState, since time.Duration) {
	p.silent = true
	c.dropPeerState(name)
	c.scheduler.SetPeerUnreachable(c.now(), name, nil)
	if !p.lastBeaconAt.IsZero() {
		c.log.Warn("vm-silent", zap.String("Peer", name), zap.Duration("Silence", since), zap.Bool("Leaving", p.leaving))
	}
}

// dropPeerState drops the loads and trials that were heard from a peer.
func (c *Controller) dropPeerState(name string) {
	c.scheduler.SetPeerLoads(name, nil)
	c.scheduler.SetPeerQueuedTokens(name, nil)
	c.scheduler.SetPeerCalls(c.now(), name, nil)
	c.quarantine.SetPeerTrials(name, nil)
}

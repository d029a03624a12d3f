package gateway

import (
	"encoding/json"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// beaconPeriod is the period of beacons of a VM whose loads do not change.
	beaconPeriod = 400 * time.Millisecond
	// beaconPause is the least time between two beacons.
	beaconPause = 10 * time.Millisecond
	// spentPause is the least time between two beacons that only say that tokens were spent.
	spentPause = 100 * time.Millisecond
	// nudgePause is the least time between two readings of the declarations because of other VMs.
	nudgePause = 500 * time.Millisecond
	// silentAfter is the silence after which the loads of a VM are forgotten and its share of rates is left to it.
	silentAfter = 1500 * time.Millisecond
	// sameStart is the difference in uptime within which VMs count as started together.
	sameStart = 2 * time.Second
	// newcomerTime is how long VMs tell the levels of accounts after a VM has started.
	newcomerTime = time.Second
	// goneAfter is the silence after which a VM is no longer counted. Cuts of the network last some seconds.
	goneAfter = 60 * time.Second
)

type peerAddress = *net.UDPAddr

// VMRecord is what a VM writes to the store so that others find it.
type VMRecord struct {
	// Address is the IP address and port for beacons.
	Address          string
	AvailabilityZone string
}

// peerState is what is known of one other VM.
type peerState struct {
	address     peerAddress
	incarnation string
	sequence    uint64
	listedAt    time.Time
	heardAt     time.Time
	leaving     bool
	silent      bool
	// listReadAt is when the VM read the list of replicas last.
	listReadAt time.Time
}

// beaconState says when the next beacon is due.
type beaconState struct {
	sequence uint64
	sentAt   time.Time
	// dirty says that loads have changed since, and spent that tokens have.
	dirty bool
	spent bool
}

func (b *beaconState) dueIn(now time.Time) time.Duration {
	since := now.Sub(b.sentAt)
	switch {
	case b.dirty:
		return beaconPause - since
	case b.spent:
		return spentPause - since
	}
	return beaconPeriod - since
}

// ApplyVMs takes the records of other VMs.
func (c *Controller) ApplyVMs(batch follow.Batch) {
	c.post(func() {
		for _, record := range batch.Records {
			c.applyVM(record)
		}
	})
}

func (c *Controller) applyVM(record follow.Record) {
	var vm VMRecord
	if err := json.Unmarshal(record.Value, &vm); err != nil {
		c.log.Warn("vm-passed-over", zap.String("Peer", record.Key), zap.Uint64("Offset", record.Offset), zap.Error(err))
		return
	}
	c.listVM(record.Key, vm.Address)
}

// ListVM says where another VM is reached by beacons.
func (c *Controller) ListVM(name, address string) {
	c.post(func() { c.listVM(name, address) })
}

func (c *Controller) listVM(name, address string) {
	if name == c.self.VM {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil || addr.IP == nil {
		c.log.Warn("vm-passed-over", zap.String("Peer", name), zap.String("Address", address), zap.Error(err))
		return
	}
	c.listPeer(name, addr)
}

func (c *Controller) listPeer(name string, addr peerAddress) {
	p := c.peers[name]
	if p == nil {
		p = &peerState{}
		c.peers[name] = p
	}
	p.address, p.listedAt = addr, c.now()
	c.log.Info("vm-listed", zap.String("Peer", name), zap.Stringer("Address", addr))
	c.beacon.dirty = true
}

// HearBeacon takes what another VM says of itself.
func (c *Controller) HearBeacon(b peer.Beacon) {
	c.post(func() { c.hear(b) })
}

func (c *Controller) hear(b peer.Beacon) {
	p := c.peers[b.VM]
	if b.VM == c.self.VM || p == nil {
		return
	}
	now := c.now()
	run := b.VM + "/" + b.Incarnation
	switch {
	case p.incarnation == b.Incarnation && b.Sequence <= p.sequence:
		return
	case p.incarnation != b.Incarnation:
		c.keeper.Left(b.VM + "/" + p.incarnation)
		if b.Uptime > now.Sub(c.startedAt) {
			// The peer admitted most of this before this process started.
			c.keeper.Joined(run, b.Spent)
		} else {
			c.tellLevelsUntil = now.Add(newcomerTime)
			c.beacon.dirty = true
		}
		c.log.Info("vm-heard", zap.String("Peer", b.VM), zap.String("Incarnation", b.Incarnation), zap.Duration("Uptime", b.Uptime))
	case p.silent && !p.heardAt.IsZero():
		c.log.Info("vm-regained", zap.String("Peer", b.VM), zap.Duration("Silence", now.Sub(p.heardAt)))
	}
	late := p.silent && p.incarnation == b.Incarnation
	p.incarnation, p.sequence, p.heardAt, p.silent, p.leaving = b.Incarnation, b.Sequence, now, false, b.Leaving
	c.keeper.Heard(now, run, b.Spent, late)
	if b.Levels != nil && b.Uptime-now.Sub(c.startedAt) > sameStart {
		if c.keeper.Adopt(b.Levels) {
			c.log.Info("rates-adopted", zap.String("Peer", b.VM), zap.Int("Accounts", len(b.Levels)), zap.Duration("Uptime", b.Uptime))
		}
	}
	c.board.SetPeerLoads(b.VM, b.Loads)
	c.board.SetPeerWaiting(b.VM, b.Waiting)
	for _, id := range b.Replaced {
		c.board.Replaced(id)
	}
	if b.ListRead >= 0 {
		p.listReadAt = now.Add(-b.ListRead)
	}
	c.reads.heard(b.ListChanged)
	c.followNewer(now, b.Version)
}

// followNewer has the declarations read again when another VM has newer ones, but not again and again while the store
// does not answer.
func (c *Controller) followNewer(now time.Time, version uint64) {
	table := c.table.Load()
	if table != nil && version <= table.Version || now.Sub(c.nudgedAt) < nudgePause {
		return
	}
	c.nudgedAt = now
	c.nudge()
}

// tickPeers finds the VMs that have gone silent, and shares rates among the rest.
func (c *Controller) tickPeers(now time.Time) {
	count, silent := 0, 0
	for name, p := range c.peers {
		since := now.Sub(p.heardAt)
		if p.heardAt.IsZero() {
			since = now.Sub(p.listedAt) + silentAfter
		}
		if since > silentAfter && !p.silent {
			p.silent = true
			c.board.SetPeerLoads(name, nil)
			c.board.SetPeerWaiting(name, nil)
			if !p.heardAt.IsZero() {
				c.log.Warn("vm-silent", zap.String("Peer", name), zap.Duration("Silence", since), zap.Bool("Leaving", p.leaving))
			}
		}
		if since > goneAfter || p.silent && p.leaving {
			continue
		}
		count++
		if p.silent {
			silent++
		}
	}
	c.keeper.SetPeers(now, count, silent)
	c.budget.setVMs(count + 1)
}

func (c *Controller) sendBeaconIfDue(now time.Time) {
	if c.beacon.dueIn(now) > 0 {
		return
	}
	var to []peerAddress
	for _, p := range c.peers {
		to = append(to, p.address)
	}
	c.beacon.sequence++
	c.beacon.sentAt, c.beacon.dirty, c.beacon.spent = now, false, false
	if len(to) == 0 {
		return
	}
	version := uint64(0)
	if table := c.table.Load(); table != nil {
		version = table.Version
	}
	b := peer.Beacon{VM: c.self.VM, Incarnation: c.self.Incarnation, Sequence: c.beacon.sequence, Uptime: now.Sub(c.startedAt), Version: version,
		Leaving: c.leaving.Load(), Loads: c.board.OwnLoads(), Waiting: c.board.WaitingMemory(), Spent: c.keeper.Spent(), Replaced: c.board.ReplacedIDs(),
		ListRead: -time.Millisecond, ListChanged: c.reads.changed}
	if now.Before(c.tellLevelsUntil) {
		b.Levels = c.keeper.Levels(now)
	}
	if !c.reads.readAt.IsZero() {
		b.ListRead = now.Sub(c.reads.readAt)
	}
	if err := c.sendBeacon(b, to); err != nil {
		c.log.Debug("beacon-not-sent", zap.Error(err))
	}
}

// WithBeacons sets how beacons are sent.
func WithBeacons(send func(peer.Beacon, []peerAddress) error) Option {
	return func(c *Controller) { c.sendBeacon = send }
}

package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/resumption"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// catchUpWait is how long a VM that has just got its declarations waits to hear each peer that the store lists. It
	// is longer than beaconInterval.
	catchUpWait = 500 * time.Millisecond
	// groupRefreshWait is how long a VM of a fleet of several regions waits for newer declarations of which it has heard, before it
	// reads them in the store. Each VM of the region that comes before adds groupRefreshStagger, up to maxGroupRefreshStagger.
	groupRefreshWait       = 600 * time.Millisecond
	groupRefreshStagger    = 80 * time.Millisecond
	maxGroupRefreshStagger = time.Second
	// groupCopyWait is how much later it reads the copy.
	groupCopyWait = time.Second
	// copyReadInterval is the minimum time between two reads of the backup copy.
	copyReadInterval = time.Second
)

// catchUp decides whether a VM that has started may serve with its declarations. If the store has come back from an older
// copy, it holds older declarations than the VMs that kept running, with keys that were withdrawn since. So the VM
// compares its version with those of its peers, until it has been as new as all of them once. Afterwards it serves with
// the newest version that it has read.
type catchUp struct {
	done bool
	// since is when the VM got its first declarations.
	since time.Time
}

// peerVersions is what a VM knows of the declarations of its peers.
type peerVersions struct {
	// complete is whether the store's list of VMs has been read and each VM on it has been heard lately.
	complete bool
	// newest is the newest version of the peers that have been heard lately.
	newest uint64
}

// update decides again, with the version of the declarations in force, or 0 if there are none.
func (u *catchUp) update(now time.Time, version uint64, peers peerVersions) {
	if version == 0 || u.done {
		return
	}
	if u.since.IsZero() {
		u.since = now
	}
	if version >= peers.newest && (peers.complete || now.Sub(u.since) >= catchUpWait) {
		u.done = true
	}
}

// WithSharedStore makes a VM that starts compare itself with its peers, which read the same store: it is not ready before
// its declarations are as new as theirs, and takes no part of what is divided among the VMs before it knows how many there
// are. address is where this VM receives beacons. readCopy triggers a read of the backup copy, where declarations are found
// that peers have and the store lacks.
func WithSharedStore(address string, readCopy func()) Option {
	return func(c *Controller) {
		c.address, c.readCopy, c.catchUp.done, c.vmListRead, c.fleetListed, c.fleetKnown = address, readCopy, false, false, false, false
		c.streams = resumption.NewTracker(c.now())
		c.quotas.SetFleetUnknown(c.now(), true)
		c.quotas.SetStartShare(c.now(), 0)
	}
}

// updateCatchUp decides again whether this VM has caught up with its peers.
func (c *Controller) updateCatchUp(now time.Time, peers peerVersions) {
	if c.catchUp.done {
		return
	}
	version := c.version()
	c.catchUp.update(now, version, peers)
	if !c.catchUp.done {
		return
	}
	c.caughtUp.Store(true)
	c.log.Info("caught-up", zap.Uint64("Version", version), zap.Uint64("NewestOfPeers", peers.newest), zap.Int("Peers", len(c.peers)),
		zap.Bool("AllHeard", peers.complete), zap.Duration("Waited", now.Sub(c.catchUp.since)))
}

// version returns the version of the declarations in force, or 0 if there are none.
func (c *Controller) version() uint64 {
	if table := c.table.Load(); table != nil {
		return table.Version
	}
	return 0
}

// refreshIfNewer triggers a read of the declarations if a peer has a newer version, and of the backup copy if that read
// did not find it. Triggers are rate limited, so that beacons do not cause a storm of reads while the store does not
// respond.
func (c *Controller) refreshIfNewer(now time.Time, peerName string, version uint64) {
	if version <= c.version() {
		return
	}
	c.newerVersion.Store(&heardVersion{version, now})
	if c.firstHeard.version <= c.version() {
		c.firstHeard = heardVersion{version, now}
	}
	outdatedFor := now.Sub(c.firstHeard.at)
	if now.Sub(c.refreshedAt) < minRefreshInterval || outdatedFor < c.refreshWait() {
		return
	}
	foundNothing := c.refreshedFor == version && outdatedFor >= c.refreshWait()+c.copyWait()
	c.refreshedAt, c.refreshedFor = now, version
	c.refreshDeclarations()
	if foundNothing && now.Sub(c.copyReadAt) >= copyReadInterval {
		c.copyReadAt = now
		c.log.Info("declarations-outdated", zap.Uint64("Version", c.version()), zap.String("Peer", peerName), zap.Uint64("VersionOfPeer", version),
			zap.Bool("CaughtUp", c.catchUp.done))
		c.readCopy()
	}
}

// refreshWait returns how long this VM waits for new declarations, after a peer has told of them, before it reads them in the store. In
// fleets that are divided into groups all VMs of a region hear of them at about the same time, and their reads share a link.
func (c *Controller) refreshWait() time.Duration {
	if c.groups == nil {
		return 0
	}
	return groupRefreshWait + min(time.Duration(c.regionRank)*groupRefreshStagger, maxGroupRefreshStagger)
}

// copyWait returns how long this VM reads the declarations for before it reads the copy, which is larger.
func (c *Controller) copyWait() time.Duration {
	if c.groups == nil {
		return 0
	}
	return groupCopyWait
}

// heardVersion is a version of the declarations of which a peer has told.
type heardVersion struct {
	version uint64
	at      time.Time
}

// outdated reports whether a peer has lately told of newer declarations than those of a table.
func (c *Controller) outdated(table *routing.Table) bool {
	heard := c.newerVersion.Load()
	return heard != nil && heard.version > table.Version && c.now().Sub(heard.at) <= silenceTimeout
}

// deniedError returns the error for a request that the declarations in force don't allow. If newer ones may allow it, it is
// only refused for now.
func (s *Server) deniedError(r *request, denied *Error) *Error {
	if !s.control.outdated(r.table) {
		return denied
	}
	return (&Error{Op: denied.Op, Kind: ErrNoDeclarations, Err: fmt.Errorf("this VM waits for newer declarations: %w", denied.Err)}).withRetryAfter(noDeclarationsRetryAfter)
}

package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/fleet"
	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// storeDistanceStep is the unit of the distance of a VM from the store: a round trip within a region is shorter.
	storeDistanceStep = 15 * time.Millisecond
	// firstTakeovers is the number of VMs, in order of precedence, that may take over from the reader of the list before the
	// news of it has reached other groups. The others are patient for otherTakeoverPatience longer, and their groups' readers come first.
	firstTakeovers        = 5
	otherTakeoverPatience = 600 * time.Millisecond
	// storeUnreachable is the distance of a VM whose reads of the list fail.
	storeUnreachable = 1 << 20
)

// WithStoreDelay sets the function that returns how long the fastest call to the store has taken, or 0 if it is not known. VMs
// close to the store read it for those that are further away.
func WithStoreDelay(fastest func() time.Duration) Option {
	return func(c *Controller) { c.storeDelay = fastest }
}

// storeDistance returns the distance of this VM from the store, in steps of storeDistanceStep.
func (c *Controller) storeDistance() int {
	if c.storeLost {
		return storeUnreachable
	}
	return int(c.storeDelay() / storeDistanceStep)
}

// SetStoreReachable records whether this VM's last read of the list of replicas was answered. Others take precedence while it was not.
func (c *Controller) SetStoreReachable(reachable bool) {
	c.post(func() {
		if !reachable && !c.storeLost {
			c.doubtStreamsSinceRead(c.now())
		}
		c.storeLost, c.peersChanged, c.beacon.dirty = !reachable, true, true
	})
}

// comparePrecedence returns a negative number if the VM called name comes before another one when one is to act for both: it is closer
// to the store, or as close and the first by name.
func comparePrecedence(name string, distance int, other string, otherDistance int) int {
	return cmp.Or(cmp.Compare(distance, otherDistance), cmp.Compare(name, other))
}

// passingOn are the capabilities of a VM that can read for others.
const passingOn = peer.PassesListOn | peer.PassesDeclarationsOn

// capabilities returns what this VM does for others.
func (c *Controller) capabilities() peer.Capabilities {
	own := peer.RelaysConnections
	if c.feedsList() {
		own |= peer.PassesListOn
	}
	if c.feedsDeclarations() {
		own |= peer.PassesDeclarationsOn
	}
	return own
}

// passesOn reports whether the VM called name says that it passes on what it reads. VMs of older builds do not say so: others neither wait
// for what they read nor rely on them in a tree.
func (c *Controller) passesOn(name string) bool {
	if name == c.self.VM {
		return true
	}
	if c.isMate(name) {
		return c.peers[name].state.Capabilities.Has(passingOn)
	}
	g := c.currentGroups()
	state := g.states[g.layout.GroupOf(name)]
	return state != nil && state.members[name].Capabilities.Has(passingOn)
}

// comparePeers is comparePrecedence of two VMs of which one may not pass on what it reads: that one comes last.
func (c *Controller) comparePeers(name string, distance int, other string, otherDistance int) int {
	passes, otherPasses := c.passesOn(name), c.passesOn(other)
	switch {
	case passes && !otherPasses:
		return -1
	case !passes && otherPasses:
		return 1
	}
	return comparePrecedence(name, distance, other, otherDistance)
}

// stays reports whether a peer is heard and not leaving, so that it can act for others.
func (p *peerState) stays() bool { return !p.silent && !p.lastBeaconAt.IsZero() && !p.leaving }

// takesPrecedence reports whether the peer with this name comes before this VM when one VM is to act for all.
func (c *Controller) takesPrecedence(name string, p *peerState) bool {
	return p.stays() && (c.groups == nil || c.passesOn(name)) && comparePrecedence(name, p.storeDistance, c.self.VM, c.storeDistance()) < 0
}

// firstOf returns the peer among names that comes first when one is to act for all, or an empty string if none is heard.
func (c *Controller) firstOf(names []string) string {
	first := ""
	for _, name := range names {
		p := c.peers[name]
		if p == nil || !p.stays() {
			continue
		}
		if first == "" || c.comparePeers(name, p.storeDistance, first, c.peers[first].storeDistance) < 0 {
			first = name
		}
	}
	return first
}

// groupRank returns the number of VMs of the group that take precedence over this one in reading the list of replicas. The one
// with none is the group's reader.
func (c *Controller) groupRank() int {
	rank := 0
	for _, name := range c.currentGroups().mates {
		if c.takesPrecedence(name, c.peers[name]) {
			rank++
		}
	}
	return rank
}

// readsForGroup reports whether this VM is the reader of its group.
func (c *Controller) readsForGroup() bool { return c.groupRank() == 0 }

// readsForFleet reports whether this VM is the one that reads the list of replicas for all groups.
func (c *Controller) readsForFleet() bool { return c.listSchedule.rank == 0 }

// fleetReader returns the peer that reads the list of replicas for all groups, as far as this VM knows.
func (c *Controller) fleetReader() string {
	g := c.currentGroups()
	candidates := []string{c.firstOf(g.mates)}
	for _, names := range g.others {
		candidates = append(candidates, c.firstOf(names))
	}
	return c.firstOf(candidates)
}

// listProvider returns the peer from which this VM gets the list of replicas, the one above it in the tree, or an empty string if this
// VM reads it for all.
func (c *Controller) listProvider() string {
	if !c.readsForGroup() {
		return fleet.Parent(c.groupByPrecedence(), c.self.VM)
	}
	return fleet.Parent(c.byPrecedence(append(c.otherReaders(), c.self.VM)), c.self.VM)
}

// listReceivers returns the VMs that this VM tells of changes of the list. The readers of the groups form a tree below the one that
// reads for all, and so do the VMs of each group below its reader, so that no VM's link carries the news for many others. A VM that has
// taken over from the reader for all tells its own group and the readers of all others.
func (c *Controller) listReceivers(tookOver bool) []string {
	g := c.currentGroups()
	if tookOver && !c.readsForFleet() {
		return append(slices.Clone(g.mates), c.otherReaders()...)
	}
	receivers := fleet.Children(c.groupByPrecedence(), c.self.VM)
	if c.readsForGroup() {
		receivers = append(receivers, fleet.Children(c.byPrecedence(append(c.otherReaders(), c.self.VM)), c.self.VM)...)
	}
	return receivers
}

// otherReaders returns the readers of the other groups.
func (c *Controller) otherReaders() []string {
	var readers []string
	for _, names := range c.currentGroups().others {
		if reader := c.firstOf(names); reader != "" {
			readers = append(readers, reader)
		}
	}
	return readers
}

// groupByPrecedence returns the VMs of this VM's group that are heard and stay, and this one, in order of precedence.
func (c *Controller) groupByPrecedence() []string {
	return c.byPrecedence(append(slices.Clone(c.currentGroups().mates), c.self.VM))
}

// byPrecedence returns those of some VMs that are heard and stay, and this one, in order of precedence.
func (c *Controller) byPrecedence(names []string) []string {
	distanceOf := func(name string) int {
		if name == c.self.VM {
			return c.storeDistance()
		}
		return c.peers[name].storeDistance
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name != c.self.VM && !c.peers[name].stays() })
	slices.SortFunc(names, func(a, b string) int { return c.comparePeers(a, distanceOf(a), b, distanceOf(b)) })
	return names
}

// takeoverPatience returns the additional time for which this VM waits before it reads the list for all in place of others.
func (c *Controller) takeoverPatience() time.Duration {
	if !c.feedsList() || c.listSchedule.rank < firstTakeovers {
		return 0
	}
	return otherTakeoverPatience + c.groupTakeoverStagger()
}

// groupTakeoverStagger spreads what the VMs of a group do if they hear nothing of their reader.
func (c *Controller) groupTakeoverStagger() time.Duration {
	return min(time.Duration(c.groupRank())*listTakeoverStagger, maxListTakeover)
}

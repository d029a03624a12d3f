package gateway

import (
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/fleet"
	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// groupBeaconInterval is the minimum time between two beacons within a group.
	groupBeaconInterval = 150 * time.Millisecond
	// mateTimeout is the time without a beacon after which another VM of the group sends summaries in a VM's place.
	mateTimeout = 700 * time.Millisecond
	// introductionPeriod is how long after its start a VM's address is in summaries. Others read the list of VMs seldom.
	introductionPeriod = 2 * vmListInterval
	vmListInterval     = 60 * time.Second
)

// isSeveralRegions reports whether zones lie in more than one region.
func isSeveralRegions(regions map[string]string) bool {
	distinct := map[string]bool{}
	for _, region := range regions {
		distinct[region] = true
	}
	return len(distinct) > 1
}

// groupState is what a VM in a fleet that is divided into groups knows of its own and of the other groups.
type groupState struct {
	layout fleet.Layout
	// layoutOutdated is whether a VM or its zone has become known since layout was computed.
	layoutOutdated bool
	// own is the name of this VM's group, mates its other VMs, and others holds the VMs of each other group, sorted.
	own    string
	mates  []string
	others map[string][]string
	// turns counts the summaries that were sent to each other group.
	turns map[string]int
	// spentInside adds up what the VMs of this group have spent.
	spentInside *fleet.SpendMeter
	// states holds what the last summary of each other group told.
	states map[string]*remoteGroup
	sentAt time.Time
	// sendsTo is the number of groups to which this VM sends summaries, as last logged.
	sendsTo int
}

func newGroupState() *groupState {
	return &groupState{turns: map[string]int{}, spentInside: fleet.NewSpendMeter(), states: map[string]*remoteGroup{}}
}

// setPeerZone records the availability zone of a peer.
func (c *Controller) setPeerZone(name, zone string) {
	if p := c.peers[name]; p != nil && zone != "" && p.zone != zone {
		p.zone = zone
		if c.groups != nil {
			c.groups.layoutOutdated = true
		}
	}
}

// currentGroups returns the state of the groups, after dividing the VMs that are known into groups anew if there are others.
func (c *Controller) currentGroups() *groupState {
	g := c.groups
	if !g.layoutOutdated && g.own != "" {
		return g
	}
	zoneOf := map[string]string{c.self.VM: c.zone}
	for name, p := range c.peers {
		if p.zone != "" {
			zoneOf[name] = p.zone
		}
	}
	g.layout, g.layoutOutdated = fleet.NewLayout(zoneOf), false
	g.own, g.others = g.layout.GroupOf(c.self.VM), g.layout.Groups()
	g.mates = slices.DeleteFunc(slices.Clone(g.others[g.own]), func(vm string) bool { return vm == c.self.VM })
	delete(g.others, g.own)
	c.forgetGroups()
	return g
}

// isMate reports whether a peer is in this VM's group, as all are if there are no groups. A peer whose zone is not known may
// be.
func (c *Controller) isMate(name string) bool {
	if c.groups == nil || c.peers[name].zone == "" {
		return true
	}
	g := c.currentGroups()
	return g.layout.GroupOf(name) == g.own
}

// beaconReceivers returns the addresses to which this VM sends its beacons.
func (c *Controller) beaconReceivers() []peerAddress {
	var to []peerAddress
	for name, p := range c.peers {
		if c.isMate(name) {
			to = append(to, p.address)
		}
	}
	return to
}

// beaconDueIn returns the time until the next beacon.
func (c *Controller) beaconDueIn(now time.Time) time.Duration {
	if c.groups == nil {
		return c.beacon.dueIn(now, len(c.peers))
	}
	return max(c.beacon.dueIn(now, len(c.currentGroups().mates)), groupBeaconInterval-now.Sub(c.beacon.sentAt))
}

// recordGroupMate keeps what summaries need of a peer's beacon.
func (c *Controller) recordGroupMate(now time.Time, p *peerState, b peer.Beacon) {
	g := c.groups
	if g == nil {
		return
	}
	run := processRun(b.VM, b.Incarnation)
	if p.state.Incarnation != b.Incarnation {
		g.spentInside.Forget(processRun(b.VM, p.state.Incarnation))
		if b.Uptime > now.Sub(c.startedAt) && !p.startedTogether {
			g.spentInside.SetBaseline(run, b.SpentTokens)
		}
	}
	g.spentInside.Record(run, b.SpentTokens)
	p.state, p.stateAt, p.startedAt = b, now, now.Add(-b.Uptime)
}

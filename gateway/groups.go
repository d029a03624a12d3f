package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/fleet"
	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// groupBeaconInterval is the minimum time between two beacons within a group, and summaryInterval between two
	// summaries of a relay. A change is known in all groups after about 0.3 s.
	groupBeaconInterval = 150 * time.Millisecond
	summaryInterval     = 200 * time.Millisecond
	// relayTimeout is the time without a message after which a relay is replaced. Another one is heard within a second.
	relayTimeout = 700 * time.Millisecond
	// introductionPeriod is how long after its start a VM's address is in summaries. Others read the list of VMs seldom.
	introductionPeriod = 2 * vmListInterval
	vmListInterval     = 60 * time.Second
	// outsideName stands for all VMs outside the group where the state of a single VM is kept.
	outsideName = "outside"
)

// isSeveralRegions reports whether zones lie in more than one region.
func isSeveralRegions(regions map[string]string) bool {
	distinct := map[string]bool{}
	for _, region := range regions {
		distinct[region] = true
	}
	return len(distinct) > 1
}

// groupState is what a VM in a fleet that is divided into groups knows of other groups.
type groupState struct {
	layout fleet.Layout
	// others holds the VMs of each other group, sorted, and mates those of this VM's group without itself.
	others map[string][]string
	mates  []string
	// relays holds the relays of other groups that this VM, as the relay of its own, has heard, by group.
	relays map[string]*remoteRelay
	// tried counts the VMs of other groups to which summaries were sent without an answer, by group.
	tried map[string]int
	// spentInside adds up what the VMs of this group have spent, and spentOutside what other groups have.
	spentInside, spentOutside *fleet.SpendMeter
	// outside is the last summary of all other groups.
	outside outsideState
	sentAt  time.Time
	relay   string
}

// remoteRelay is the relay of another group with its last summary.
type remoteRelay struct {
	vm      string
	run     string
	heardAt time.Time
	summary peer.Beacon
}

// outsideState is what is known of the VMs outside the group.
type outsideState struct {
	run      string
	sequence uint64
	heardAt  time.Time
	members  map[string]peer.Member
	version  uint64
	// lost is whether the summaries have stopped and the state that came with them has been dropped.
	lost bool
}

func newGroupState() *groupState {
	return &groupState{relays: map[string]*remoteRelay{}, tried: map[string]int{}, spentInside: fleet.NewSpendMeter(), spentOutside: fleet.NewSpendMeter()}
}

// setPeerZone records the availability zone of a peer.
func (c *Controller) setPeerZone(name, zone string) {
	if p := c.peers[name]; p != nil && zone != "" && p.zone != zone {
		p.zone = zone
		c.updateLayout()
	}
}

// updateLayout divides the VMs that are known into groups.
func (c *Controller) updateLayout() {
	g := c.groups
	if g == nil {
		return
	}
	zoneOf := map[string]string{c.self.VM: c.zone}
	for name, p := range c.peers {
		if p.zone != "" {
			zoneOf[name] = p.zone
		}
	}
	g.layout = fleet.NewLayout(zoneOf)
	g.others = g.layout.Groups()
	own := g.layout.GroupOf(c.self.VM)
	g.mates = slices.DeleteFunc(slices.Clone(g.others[own]), func(vm string) bool { return vm == c.self.VM })
	delete(g.others, own)
}

// isMate reports whether a peer is in this VM's group, as all are if there are no groups. A peer whose zone is not known may
// be.
func (c *Controller) isMate(name string) bool {
	return c.groups == nil || c.peers[name].zone == "" || slices.Contains(c.groups.mates, name)
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
	return max(c.beacon.dueIn(now, len(c.groups.mates)), groupBeaconInterval-now.Sub(c.beacon.sentAt))
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

// relayName returns the relay of this VM's group: the first by name of those that are heard and stay. It may be this VM.
func (c *Controller) relayName(now time.Time) string {
	relay := c.self.VM
	if c.leaving.Load() {
		relay = ""
	}
	for _, name := range c.groups.mates {
		p := c.peers[name]
		heard := !p.lastBeaconAt.IsZero() && now.Sub(p.lastBeaconAt) <= relayTimeout
		if heard && !p.leaving && (relay == "" || name < relay) {
			relay = name
		}
	}
	if relay == "" {
		return c.self.VM
	}
	return relay
}

// summariesDueIn returns the time until this VM, if it is the relay of its group, sends summaries.
func (c *Controller) summariesDueIn(now time.Time) time.Duration {
	if c.groups == nil {
		return time.Hour
	}
	return summaryInterval - now.Sub(c.groups.sentAt)
}

// sendSummariesIfDue sends, if this VM is the relay of its group, a summary of the group to the relays of the other groups,
// and one of all other groups to its group.
func (c *Controller) sendSummariesIfDue(now time.Time) {
	g := c.groups
	if g == nil || c.summariesDueIn(now) > 0 {
		return
	}
	g.sentAt = now
	if relay := c.relayName(now); relay != g.relay {
		g.relay = relay
		c.log.Info("group-relay", zap.String("Group", g.layout.GroupOf(c.self.VM)), zap.String("Relay", relay), zap.Int("VMs", len(g.mates)+1), zap.Int("OtherGroups", len(g.others)))
	}
	if g.relay != c.self.VM {
		clear(g.relays)
		return
	}
	if to := c.relayReceivers(now); len(to) > 0 {
		c.sendSummary(c.groupSummary(now), to)
	}
	outside := c.outsideSummary(now)
	c.applyOutside(now, outside)
	var mates []peerAddress
	for _, name := range g.mates {
		mates = append(mates, c.peers[name].address)
	}
	if len(mates) > 0 {
		c.sendSummary(outside, mates)
	}
}

func (c *Controller) sendSummary(b peer.Beacon, to []peerAddress) {
	if err := c.sendBeacon(b, to); err != nil {
		c.log.Debug("summary-not-sent", zap.String("Scope", string(b.Scope)), zap.Error(err))
	}
}

// relayReceivers returns for each other group the address of its relay, or as long as that is not known those of its VMs by
// turns: whoever is not the relay passes the summary on to it.
func (c *Controller) relayReceivers(now time.Time) []peerAddress {
	var to []peerAddress
	for group, vms := range c.groups.others {
		name := ""
		if r := c.groups.relays[group]; r != nil && now.Sub(r.heardAt) <= relayTimeout {
			name = r.vm
		} else {
			name = vms[c.groups.tried[group]%len(vms)]
			c.groups.tried[group]++
		}
		if p := c.peers[name]; p != nil {
			to = append(to, p.address)
		}
	}
	return to
}

// newSummary returns a summary of states with what names this VM as its sender.
func (c *Controller) newSummary(now time.Time, scope peer.Scope, states []peer.Beacon) peer.Beacon {
	c.beacon.sequence++
	b := fleet.Summarize(states)
	b.VM, b.Incarnation, b.AvailabilityZone, b.Scope = c.self.VM, c.self.Incarnation, c.zone, scope
	b.Sequence, b.Uptime, b.VMCount = c.beacon.sequence, now.Sub(c.startedAt), c.vmCount()
	b.Suspects = c.quarantine.Report(now)
	if now.Before(c.advertiseLevelsUntil) {
		b.BucketLevels = c.quotas.Levels(now)
	}
	return b
}

// groupSummary returns the summary of this VM's group.
func (c *Controller) groupSummary(now time.Time) peer.Beacon {
	own := c.newBeacon(now)
	c.groups.spentInside.Record(processRun(c.self.VM, c.self.Incarnation), own.SpentTokens)
	states := []peer.Beacon{own}
	members := []peer.Member{c.newMember(now, c.self.VM, c.zone, c.leaving.Load(), c.startedAt, c.address)}
	for _, name := range c.groups.mates {
		if p := c.peers[name]; !p.silent && !p.lastBeaconAt.IsZero() {
			states = append(states, p.state.Aged(now.Sub(p.stateAt)))
			members = append(members, c.newMember(now, name, p.zone, p.leaving, p.startedAt, p.address.String()))
		}
	}
	b := c.newSummary(now, peer.ScopeGroup, states)
	b.Members, b.SpentTokens = members, c.groups.spentInside.Total()
	return b
}

func (c *Controller) newMember(now time.Time, name, zone string, leaving bool, startedAt time.Time, address string) peer.Member {
	m := peer.Member{VM: name, AvailabilityZone: zone, Leaving: leaving, Uptime: now.Sub(startedAt)}
	if m.Uptime < introductionPeriod {
		m.Address = address
	}
	return m
}

// outsideSummary returns the summary of all other groups whose relays are heard.
func (c *Controller) outsideSummary(now time.Time) peer.Beacon {
	var states []peer.Beacon
	var members []peer.Member
	for _, r := range c.groups.relays {
		if now.Sub(r.heardAt) <= silenceTimeout {
			summary := r.summary.Aged(now.Sub(r.heardAt))
			states = append(states, summary)
			members = append(members, summary.Members...)
		}
	}
	b := c.newSummary(now, peer.ScopeOutside, states)
	b.Members, b.SpentTokens = members, c.groups.spentOutside.Total()
	return b
}

// handleSummary applies a summary of another group or, from the relay of this group, of all other groups.
func (c *Controller) handleSummary(b peer.Beacon) {
	g := c.groups
	if g == nil {
		return
	}
	now := c.now()
	b = c.stall.aged(now, b)
	sameGroup := g.layout.GroupOf(b.VM) == g.layout.GroupOf(c.self.VM)
	switch {
	case b.Scope == peer.ScopeOutside && sameGroup:
		c.handleOutside(now, b)
	case b.Scope == peer.ScopeGroup && !sameGroup:
		c.handleGroupSummary(now, b)
	}
}

// handleGroupSummary keeps the summary of another group, or passes it on if this VM is not the relay of its own.
func (c *Controller) handleGroupSummary(now time.Time, b peer.Beacon) {
	g := c.groups
	relay := c.relayName(now)
	if relay != c.self.VM {
		if p := c.peers[relay]; p != nil && relay != b.VM {
			c.sendSummary(b, []peerAddress{p.address})
		}
		return
	}
	c.introduceMembers(b.Members)
	group, run := g.layout.GroupOf(b.VM), processRun(b.VM, b.Incarnation)
	known := g.relays[group]
	switch {
	case known != nil && known.run == run && b.Sequence <= known.summary.Sequence:
		return
	case known != nil && known.run != run && known.vm < b.VM && now.Sub(known.heardAt) <= relayTimeout:
		// Two VMs take themselves for the relay; the first by name is.
		return
	case known == nil || known.run != run:
		g.spentOutside.SetBaseline(run, c.baselineOf(now, b))
		if now.Sub(c.startedAt)-b.Uptime > sameStartTolerance {
			// The other group has just started, and adopts the levels of the accounts.
			c.advertiseLevelsUntil = now.Add(levelAdvertisePeriod)
		}
	}
	c.adoptLevels(now, b)
	g.spentOutside.Record(run, b.SpentTokens)
	g.relays[group] = &remoteRelay{vm: b.VM, run: run, heardAt: now, summary: b}
}

// baselineOf returns the part of a summary's spent tokens that does not count at its first arrival: all, unless its sender has
// just started together with this VM.
func (c *Controller) baselineOf(now time.Time, b peer.Beacon) map[string]float64 {
	uptime := now.Sub(c.startedAt)
	if uptime < startSharePeriod && (b.Uptime-uptime).Abs() <= sameStartTolerance {
		return nil
	}
	return b.SpentTokens
}

// introduceMembers registers VMs that are not known yet, and the zones of those that are.
func (c *Controller) introduceMembers(members []peer.Member) {
	for _, m := range members {
		if m.VM == c.self.VM {
			continue
		}
		if c.peers[m.VM] == nil && m.Address != "" {
			c.registerVM(m.VM, m.Address)
		}
		c.setPeerZone(m.VM, m.AvailabilityZone)
	}
}

// handleOutside applies the summary of all other groups, if it comes from the relay of this group.
func (c *Controller) handleOutside(now time.Time, b peer.Beacon) {
	g := c.groups
	fromRelay := b.VM == c.relayName(now) || now.Sub(g.outside.heardAt) > relayTimeout
	if !fromRelay || g.outside.run == processRun(b.VM, b.Incarnation) && b.Sequence <= g.outside.sequence {
		return
	}
	if p := c.peers[b.VM]; p != nil {
		p.lastBeaconAt = now
	}
	c.introduceMembers(b.Members)
	c.applyOutside(now, b)
}

// applyOutside puts the state of all other groups in force, as if it were that of one VM.
func (c *Controller) applyOutside(now time.Time, b peer.Beacon) {
	g := c.groups
	run := outsideName + "/" + processRun(b.VM, b.Incarnation)
	afterSilence := now.Sub(g.outside.heardAt) > silenceTimeout && g.outside.run == run
	if run != g.outside.run {
		c.quotas.ForgetPeerRun(g.outside.run)
		if baseline := c.baselineOf(now, b); baseline != nil {
			c.quotas.SetPeerBaseline(run, baseline)
		}
	}
	c.quotas.ApplyPeerSpent(now, run, b.SpentTokens, afterSilence)
	members := make(map[string]peer.Member, len(b.Members))
	for _, m := range b.Members {
		members[m.VM] = m
	}
	c.peersChanged = c.peersChanged || len(members) != len(g.outside.members) || g.outside.lost
	g.outside = outsideState{run: run, sequence: b.Sequence, heardAt: now, members: members, version: b.Version}
	c.applyUnreachable(now, b.UnreachableReports)
	b.VM = outsideName
	c.applyHints(now, b)
}

// applyUnreachable applies how many VMs of other groups report a replica as unreachable, as if one or two VMs did.
func (c *Controller) applyUnreachable(now time.Time, reports map[string]int) {
	var one, two []string
	for id, count := range reports {
		one = append(one, id)
		if count > 1 {
			two = append(two, id)
		}
	}
	slices.Sort(one)
	slices.Sort(two)
	c.scheduler.SetPeerUnreachable(now, outsideName+"/1", one)
	c.scheduler.SetPeerUnreachable(now, outsideName+"/2", two)
}

// updateOutsidePeers derives the state of the peers outside the group from the last summary, and drops what came with it once
// the summaries have stopped.
func (c *Controller) updateOutsidePeers(now time.Time) {
	g := c.groups
	if g == nil {
		return
	}
	heard := now.Sub(g.outside.heardAt) <= silenceTimeout
	for name, p := range c.peers {
		if c.isMate(name) {
			continue
		}
		member, listed := g.outside.members[name]
		if !heard || !listed {
			p.silent = true
			continue
		}
		p.silent, p.leaving, p.lastBeaconAt, p.version = false, member.Leaving, g.outside.heardAt, g.outside.version
		p.startedTogether = (member.Uptime - g.outside.heardAt.Sub(c.startedAt)).Abs() <= sameStartTolerance
	}
	if !heard && !g.outside.lost && g.outside.run != "" {
		g.outside.lost = true
		c.log.Warn("other-groups-silent", zap.Int("VMs", len(g.outside.members)), zap.Duration("Silence", now.Sub(g.outside.heardAt)))
		c.dropPeerState(outsideName)
		c.applyUnreachable(now, nil)
	}
}

package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/fleet"
	"github.com/cassiabridge/cassiabridge/peer"
)

const (
	// minSummaryInterval is the minimum time between two summaries to the same group, and summaryIntervalPerGroup what each
	// group adds to it: a VM hears as many summaries as there are groups in each interval.
	minSummaryInterval      = 200 * time.Millisecond
	summaryIntervalPerGroup = 15 * time.Millisecond
	maxSummaryInterval      = 500 * time.Millisecond
)

// remoteGroup is what is known of another group: the last summary of the VM that sends them.
type remoteGroup struct {
	sender   string
	run      string
	sequence uint64
	heardAt  time.Time
	members  map[string]peer.Member
	// receivers holds the members that can be sent summaries, sorted.
	receivers []string
	version   uint64
	// lost is whether the summaries have stopped and the state that came with them has been dropped.
	lost bool
}

// heard reports whether the group has been heard lately.
func (r *remoteGroup) heard(now time.Time) bool {
	return r != nil && now.Sub(r.heardAt) <= silenceTimeout
}

// groupPseudoVM is the name under which the state of another group is kept where that of a single VM is.
func groupPseudoVM(group string) string { return "group " + group }

// summaryInterval returns the time between two summaries to the same group.
func (g *groupState) summaryInterval() time.Duration {
	return min(max(minSummaryInterval, time.Duration(len(g.others))*summaryIntervalPerGroup), maxSummaryInterval)
}

// summariesDueIn returns the time until this VM sends summaries to the groups that it sends to.
func (c *Controller) summariesDueIn(now time.Time) time.Duration {
	if c.groups == nil {
		return time.Hour
	}
	return c.currentGroups().summaryInterval() - now.Sub(c.groups.sentAt)
}

// sendSummariesIfDue sends a summary of this VM's group to each other group for which it is the sender. Each summary goes to one
// VM, which passes it on to its group, and the VMs of that group take turns, so that no VM carries more than others.
func (c *Controller) sendSummariesIfDue(now time.Time) {
	if c.groups == nil || c.summariesDueIn(now) > 0 {
		return
	}
	g := c.currentGroups()
	g.sentAt = now
	senders := c.summarySenders(now)
	var to []peerAddress
	sendsTo := 0
	for group := range g.others {
		if fleet.SenderTo(group, senders) != c.self.VM {
			continue
		}
		sendsTo++
		if p := c.peers[c.nextReceiver(now, group)]; p != nil {
			to = append(to, p.address)
		}
	}
	if sendsTo != g.sendsTo {
		g.sendsTo = sendsTo
		c.log.Info("summary-sender", zap.String("Group", g.own), zap.Int("VMs", len(g.mates)+1), zap.Int("ToGroups", sendsTo), zap.Int("OtherGroups", len(g.others)))
	}
	if len(to) > 0 {
		c.sendSummary(c.groupSummary(now), to)
	}
}

// summarySenders returns the VMs of this group that may send summaries: those that are heard and stay, and this one unless it
// is leaving while others stay.
func (c *Controller) summarySenders(now time.Time) []string {
	var senders []string
	for _, name := range c.groups.mates {
		p := c.peers[name]
		if !p.lastBeaconAt.IsZero() && now.Sub(p.lastBeaconAt) <= mateTimeout && !p.leaving {
			senders = append(senders, name)
		}
	}
	if len(senders) == 0 || !c.leaving.Load() {
		senders = append(senders, c.self.VM)
	}
	return senders
}

// nextReceiver returns the VM of another group that the next summary goes to.
func (c *Controller) nextReceiver(now time.Time, group string) string {
	g := c.groups
	receivers := g.others[group]
	if state := g.states[group]; state.heard(now) && len(state.receivers) > 0 {
		receivers = state.receivers
	}
	// The groups begin at different VMs, so that their summaries don't meet at one.
	turn := fleet.FirstTurn(g.own, group) + uint64(g.turns[group])
	g.turns[group]++
	return receivers[turn%uint64(len(receivers))]
}

func (c *Controller) sendSummary(b peer.Beacon, to []peerAddress) {
	if err := c.sendBeacon(b, to); err != nil {
		c.log.Debug("summary-not-sent", zap.Error(err))
	}
}

// groupSummary returns the summary of this VM's group.
func (c *Controller) groupSummary(now time.Time) peer.Beacon {
	own := c.newBeacon(now)
	c.groups.spentInside.Record(processRun(c.self.VM, c.self.Incarnation), own.SpentTokens)
	states := []peer.Beacon{own}
	members := []peer.Member{c.newMember(now, own, c.startedAt, c.address)}
	for _, name := range c.groups.mates {
		if p := c.peers[name]; !p.silent && !p.lastBeaconAt.IsZero() {
			states = append(states, p.state.Aged(now.Sub(p.stateAt)))
			members = append(members, c.newMember(now, p.state, p.startedAt, p.address.String()))
		}
	}
	c.beacon.sequence++
	b := fleet.Summarize(states)
	b.VM, b.Incarnation, b.AvailabilityZone, b.Scope = c.self.VM, c.self.Incarnation, c.zone, peer.ScopeGroup
	b.Format, b.Capabilities = own.Format, own.Capabilities
	b.Sequence, b.Uptime, b.VMCount = c.beacon.sequence, now.Sub(c.startedAt), c.vmCount()
	b.Suspects, b.BucketLevels = own.Suspects, own.BucketLevels
	b.Members, b.SpentTokens = members, c.groups.spentInside.Total()
	return b
}

// newMember returns what a summary tells of a VM whose last beacon was b.
func (c *Controller) newMember(now time.Time, b peer.Beacon, startedAt time.Time, address string) peer.Member {
	m := peer.Member{VM: b.VM, AvailabilityZone: b.AvailabilityZone, Leaving: b.Leaving, CutOff: b.CutOff, Uptime: now.Sub(startedAt), StoreDistance: b.StoreDistance, Capabilities: b.Capabilities}
	if m.Uptime < introductionPeriod {
		m.Address = address
	}
	return m
}

// handleSummary applies a summary of another group, and passes it on to this VM's group if it was sent to this VM only.
func (c *Controller) handleSummary(b peer.Beacon) {
	if c.groups == nil || b.Scope != peer.ScopeGroup {
		return
	}
	now := c.now()
	b = c.stall.aged(now, b)
	c.introduceMembers(b.Members)
	g := c.currentGroups()
	group := g.layout.GroupOf(b.VM)
	if group == "" || group == g.own || !c.isNews(now, group, b) {
		return
	}
	if !b.Forwarded {
		c.forwardSummary(b)
	}
	c.applySummary(now, group, b)
}

// forwardSummary passes a summary on to the other VMs of this group.
func (c *Controller) forwardSummary(b peer.Beacon) {
	b.Forwarded = true
	var mates []peerAddress
	for _, name := range c.groups.mates {
		mates = append(mates, c.peers[name].address)
	}
	if len(mates) > 0 {
		c.sendSummary(b, mates)
	}
}

// isNews reports whether a summary of another group is newer than what is known of it. If two VMs take themselves for the sender,
// the one that comes first counts while it is heard.
func (c *Controller) isNews(now time.Time, group string, b peer.Beacon) bool {
	known := c.groups.states[group]
	switch {
	case known == nil:
		return true
	case known.run == processRun(b.VM, b.Incarnation):
		return b.Sequence > known.sequence
	case known.sender == b.VM:
		return true
	}
	return now.Sub(known.heardAt) > mateTimeout || fleet.SenderTo(c.groups.own, []string{known.sender, b.VM}) == b.VM
}

// applySummary puts the state of another group in force, as if it were that of one VM.
func (c *Controller) applySummary(now time.Time, group string, b peer.Beacon) {
	g, name := c.groups, groupPseudoVM(group)
	known := g.states[group]
	if known == nil {
		known = &remoteGroup{}
		g.states[group] = known
	}
	run := processRun(b.VM, b.Incarnation)
	wasSilent := known.run == run && !known.heard(now)
	if run != known.run {
		c.beginSummaryRun(now, name, known, b)
	}
	c.quotas.ApplyPeerSpent(now, name+"/"+run, b.SpentTokens, wasSilent)
	members := make(map[string]peer.Member, len(b.Members))
	var receivers []string
	for _, m := range b.Members {
		m.Capabilities = knownCapabilities(known.members[m.VM], m)
		members[m.VM] = m
		if !m.Leaving && c.peers[m.VM] != nil {
			receivers = append(receivers, m.VM)
		}
	}
	slices.Sort(receivers)
	c.peersChanged = c.peersChanged || len(members) != len(known.members) || known.lost
	*known = remoteGroup{sender: b.VM, run: run, sequence: b.Sequence, heardAt: now, members: members, receivers: receivers, version: b.Version}
	c.applyUnreachable(now, name, b.UnreachableReports)
	c.recordTeller(now, b)
	b.VM = name
	c.applyHints(now, b)
}

// knownCapabilities returns what a member does for others. VMs of older builds pass summaries on without that, so what a process has said
// holds until another one runs in its place.
func knownCapabilities(known, m peer.Member) peer.Capabilities {
	if m.Capabilities == 0 && known.Uptime <= m.Uptime {
		return known.Capabilities
	}
	return m.Capabilities
}

// beginSummaryRun sets from where the spent tokens count that a new sender of another group reports.
func (c *Controller) beginSummaryRun(now time.Time, name string, known *remoteGroup, b peer.Beacon) {
	if known.run != "" {
		c.quotas.ForgetPeerRun(name + "/" + known.run)
	}
	if baseline := c.baselineOf(now, b); baseline != nil {
		c.quotas.SetPeerBaseline(name+"/"+processRun(b.VM, b.Incarnation), baseline)
	}
	if now.Sub(c.startedAt)-b.Uptime > sameStartTolerance {
		// The sender has just started, and adopts the levels of the accounts.
		c.advertiseLevelsUntil = now.Add(levelAdvertisePeriod)
	}
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

// applyUnreachable applies how many VMs of another group report a replica as unreachable, as if one or two VMs did.
func (c *Controller) applyUnreachable(now time.Time, name string, reports map[string]int) {
	var one, two []string
	for id, count := range reports {
		one = append(one, id)
		if count > 1 {
			two = append(two, id)
		}
	}
	slices.Sort(one)
	slices.Sort(two)
	c.scheduler.SetPeerUnreachable(now, name+"/1", one)
	c.scheduler.SetPeerUnreachable(now, name+"/2", two)
}

// updateOutsidePeers derives the state of the peers outside the group from the last summaries, and drops what came with the
// summaries of a group once they have stopped.
func (c *Controller) updateOutsidePeers(now time.Time) {
	if c.groups == nil {
		return
	}
	g := c.currentGroups()
	for name, p := range c.peers {
		if c.isMate(name) {
			continue
		}
		state := g.states[g.layout.GroupOf(name)]
		if !state.heard(now) {
			p.silent = true
			continue
		}
		member, listed := state.members[name]
		if !listed {
			p.silent = true
			continue
		}
		p.silent, p.leaving, p.lastBeaconAt, p.version, p.storeDistance, p.cutOff = false, member.Leaving, state.heardAt, state.version, member.StoreDistance, !canRelay(member.CutOff, member.Capabilities)
		p.startedTogether = (member.Uptime - state.heardAt.Sub(c.startedAt)).Abs() <= sameStartTolerance
	}
	for group, state := range g.states {
		if !state.lost && !state.heard(now) {
			state.lost = true
			c.log.Warn("group-silent", zap.String("Group", group), zap.Int("VMs", len(state.members)), zap.Duration("Silence", now.Sub(state.heardAt)))
			c.dropGroupState(now, group)
		}
	}
}

// dropGroupState drops what was heard of another group, but for what it has spent.
func (c *Controller) dropGroupState(now time.Time, group string) {
	c.dropPeerState(groupPseudoVM(group))
	c.applyUnreachable(now, groupPseudoVM(group), nil)
}

// forgetGroups forgets the groups that the layout no longer has.
func (c *Controller) forgetGroups() {
	g := c.groups
	for group, state := range g.states {
		if g.others[group] == nil {
			c.dropGroupState(c.now(), group)
			c.quotas.ForgetPeerRun(groupPseudoVM(group) + "/" + state.run)
			delete(g.states, group)
		}
	}
}

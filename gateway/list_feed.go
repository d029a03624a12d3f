package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
)

const (
	// maxPageEntries is the number of entries in one page of the list of replicas: compressed, a datagram holds several times
	// as many.
	maxPageEntries = 250
	// maxMessageEntries is the number of changes that are sent at once: the queue of a link holds little more.
	maxMessageEntries = 500
	// mateListenPeriod is how long a VM that has read the list of VMs listens for others before it reads the list of replicas, and
	// farListenPeriod that of one which may be further from the store than others.
	mateListenPeriod = 450 * time.Millisecond
	farListenPeriod  = 900 * time.Millisecond
	// mateListWait is how long a VM waits for a change of the list from its provider before it reads the list itself.
	mateListWait = 1200 * time.Millisecond
	// firstReadStagger is the additional wait for the first list for each VM that comes before in the fleet, while none has it.
	firstReadStagger = 700 * time.Millisecond
	// startListWait is the same for the first list, knownListWait how much longer that is once another VM has it, and
	// unknownFleetListWait the wait of a VM that cannot read the list of VMs.
	startListWait        = 2500 * time.Millisecond
	knownListWait        = 2 * time.Second
	unknownFleetListWait = 2 * time.Second
	// listTakeoverStagger is the additional wait for each VM of the group that comes before, up to maxListTakeover: reads of a
	// whole group at once would fill a link.
	listTakeoverStagger = 300 * time.Millisecond
	maxListTakeover     = 1200 * time.Millisecond
	// pushInterval is the minimum time between two messages about changes to the same VMs, and maxRepeatedChanges the number of
	// changes up to which those of the last message are told again.
	pushInterval       = 150 * time.Millisecond
	maxRepeatedChanges = 64
)

// listFeed passes what one VM has read of the list of replicas on to all others: the reader of the fleet tells the readers of the
// groups, and they tell their groups. Replicas append their entries all the time, and if each VM read that by itself, it would fill
// the link between regions.
type listFeed struct {
	history listHistory
	// pushedTo is the position up to which the receivers have been told of changes, at pushedAt, and pushedBefore the one before
	// that. A few changes are told twice, since a datagram may be lost.
	pushedTo, pushedBefore listPosition
	pushedAt               time.Time
	// pushPending is whether there are changes to tell, and tookOver whether this VM has read them in place of the VM that reads for
	// all.
	pushPending, tookOver bool
	queue                 listQueue
	// pages holds the pages of lists that are being received, by sender.
	pages map[string][]*peer.ListPage
	// listens is when this VM began to listen for others, before it has a list.
	listens  time.Time
	requests listRequests
}

func newListFeed() listFeed {
	return listFeed{history: newListHistory(), queue: newListQueue(), pages: map[string][]*peer.ListPage{}}
}

// WithListFeed sets the function that is told up to which position of the store the list of replicas has become known from another
// VM, so that reads begin there.
func WithListFeed(advance func(offset, era uint64)) Option {
	return func(c *Controller) { c.advanceList = advance }
}

// feedsList reports whether the VMs pass the list of replicas on.
func (c *Controller) feedsList() bool { return c.groups != nil && c.advanceList != nil }

// listenPeriod returns how long this VM listens for others before it reads its first list.
func (c *Controller) listenPeriod() time.Duration {
	if c.storeDistance() > 0 {
		return farListenPeriod
	}
	return mateListenPeriod
}

// firstListReadDueIn returns the time until this VM reads the list of replicas for the first time.
func (c *Controller) firstListReadDueIn(now time.Time) time.Duration {
	if !c.fleetListed {
		return unknownFleetListWait - now.Sub(c.startedAt)
	}
	if c.feed.listens.IsZero() {
		c.feed.listens = now
	}
	listened := now.Sub(c.feed.listens)
	if period := c.listenPeriod(); listened < period {
		return period - listened
	}
	wait := startListWait + c.groupTakeoverStagger()
	if !c.listSchedule.peerRanAt.IsZero() {
		return wait + knownListWait - listened
	}
	return min(wait, c.listenPeriod()+time.Duration(c.listSchedule.rank)*firstReadStagger) - listened
}

// listReaders returns how many VMs read the list when it has changed: one, or all.
func (c *Controller) listReaders() int {
	if !c.feedsList() {
		return c.listSchedule.vmCount
	}
	return 1
}

// listChangeWait returns how long this VM waits for another one to pass on a change of the list.
func (c *Controller) listChangeWait() time.Duration {
	if !c.feedsList() || c.readsForFleet() {
		return 0
	}
	return mateListWait + c.groupTakeoverStagger()
}

// feedUpdate passes on what this VM has learned of the list. tookOver is whether it has read that in place of the VM that reads for
// all.
func (c *Controller) feedUpdate(now time.Time, changed []string, tookOver bool) {
	if !c.feedsList() {
		return
	}
	to := c.listSchedule.next
	if !c.feed.history.begun || c.feed.history.complete.era != to.era {
		c.feed.history.begin(to)
		c.feed.pushedBefore, c.feed.pushedTo = to, to
		for _, name := range c.listReceivers(tookOver) {
			c.queueListRequest(name, noList)
		}
		return
	}
	c.feed.history.add(changed, to)
	c.feed.pushPending = c.feed.pushPending || len(changed) > 0
	c.feed.tookOver = tookOver
	c.pushListIfDue(now)
}

// pushDueIn returns the time until this VM tells others of changes of the list.
func (c *Controller) pushDueIn(now time.Time) time.Duration {
	if !c.feed.pushPending {
		return maxListReadInterval
	}
	return pushInterval - now.Sub(c.feed.pushedAt)
}

// pushListIfDue tells others of changes of the list.
func (c *Controller) pushListIfDue(now time.Time) {
	if c.pushDueIn(now) > 0 {
		return
	}
	from, next := c.feed.pushedTo, c.listSchedule.next
	if c.feed.history.knows(c.feed.pushedBefore) {
		if ids, end := c.feed.history.since(c.feed.pushedBefore, next, maxRepeatedChanges); len(ids) <= maxRepeatedChanges && end == next {
			from = c.feed.pushedBefore
		}
	}
	c.feed.pushedBefore, c.feed.pushedAt = c.feed.pushedTo, now
	c.feed.pushedTo, _ = c.sendChanges(now, from, c.listReceivers(c.feed.tookOver))
	c.feed.pushPending = next.after(c.feed.pushedTo)
}

// sendChanges sends VMs what has changed of the list from a position on, as much as fits in a message. It returns the position after
// that, and the number of entries.
func (c *Controller) sendChanges(now time.Time, from listPosition, receivers []string) (listPosition, int) {
	next := c.listSchedule.next
	ids, end := c.feed.history.since(from, next, maxMessageEntries)
	if len(ids) == 0 || len(receivers) == 0 {
		return next, 0
	}
	cold := c.cold.Remaining(now)
	var entries []peer.ListEntry
	for _, id := range ids {
		entries = append(entries, c.listEntry(cold, id))
	}
	c.sendPages(now, peer.ListPage{Era: next.era, From: from.offset, Next: end.offset}, entries, receivers)
	return end, len(entries)
}

// sendWholeList sends a VM the whole list, and returns its number of entries.
func (c *Controller) sendWholeList(now time.Time, name string) int {
	cold := c.cold.Remaining(now)
	var entries []peer.ListEntry
	for _, replica := range c.scheduler.Replicas() {
		if !replica.Doubtful {
			entries = append(entries, c.listEntry(cold, replica.ID))
		}
	}
	next := c.listSchedule.next
	c.sendPages(now, peer.ListPage{Era: next.era, Next: next.offset, Snapshot: true}, entries, []string{name})
	return len(entries)
}

// listEntry returns what this VM knows of a replica. cold holds how much longer replicas are cold.
func (c *Controller) listEntry(cold map[string]time.Duration, id string) peer.ListEntry {
	replica, listed := c.scheduler.Replica(id)
	if !listed || replica.Doubtful {
		return peer.ListEntry{Replica: placement.Replica{ID: id}, Removed: true}
	}
	version := c.replicas.versions.newest[id]
	return peer.ListEntry{Replica: replica, Born: version.Born, Sequence: version.Sequence, ColdFor: cold[id]}
}

// sendPages sends entries in pages to VMs.
func (c *Controller) sendPages(now time.Time, page peer.ListPage, entries []peer.ListEntry, names []string) {
	page.Age, page.DoubtFor = now.Sub(c.listSchedule.ranAt), max(0, c.replicas.trustFrom.Sub(now))
	page.Pages = max(1, (len(entries)+maxPageEntries-1)/maxPageEntries)
	to := c.addressesOf(names)
	for page.Page = 0; page.Page < page.Pages; page.Page++ {
		p := page
		p.Entries = entries[page.Page*maxPageEntries : min(len(entries), (page.Page+1)*maxPageEntries)]
		c.sendSummary(c.newListMessage(peer.ScopeList, &p), to)
	}
	c.log.Info("list-passed-on", zap.Int("VMs", len(to)), zap.Int("Entries", len(entries)), zap.Bool("Whole", page.Snapshot), zap.Uint64("From", page.From), zap.Uint64("Next", page.Next))
}

// newListMessage returns a message about the list that tells nothing else.
func (c *Controller) newListMessage(scope peer.Scope, page *peer.ListPage) peer.Beacon {
	message := c.newMessage(scope)
	message.List = page
	return message
}

// newMessage returns a message for single VMs, which tells of nothing but the declarations in force.
func (c *Controller) newMessage(scope peer.Scope) peer.Beacon {
	return peer.Beacon{VM: c.self.VM, Incarnation: c.self.Incarnation, AvailabilityZone: c.zone, Scope: scope, Format: peer.MessageFormat, Capabilities: c.capabilities(), Version: c.version(), EvacuationsEra: c.zones.changed.era, EvacuationsOffset: c.zones.changed.offset,
		ListAge: -time.Millisecond, CheckAge: -time.Millisecond}
}

func (c *Controller) addressesOf(names []string) []peerAddress {
	var to []peerAddress
	for _, name := range names {
		to = append(to, c.peers[name].address)
	}
	return to
}

// handleListPage collects the pages of a list, and applies them once all have arrived.
func (c *Controller) handleListPage(b peer.Beacon) {
	page := b.List
	if !c.feedsList() || page == nil || c.peers[b.VM] == nil {
		return
	}
	now := c.now()
	c.noticeStall(now)
	if now.Sub(c.stall.endedAt) < stallBacklogPeriod {
		page.Age += c.stall.period
	}
	pages := c.feed.pages[b.VM]
	if len(pages) > 0 && !pages[0].SameList(page) {
		pages = nil
	}
	if !slices.ContainsFunc(pages, func(p *peer.ListPage) bool { return p.Page == page.Page }) {
		pages = append(pages, page)
	}
	c.feed.pages[b.VM] = pages
	if len(pages) < page.Pages {
		return
	}
	delete(c.feed.pages, b.VM)
	c.applyPages(now, b.VM, pages)
}

// applyPages applies a list, or changes of it, of another VM, unless this VM lacks what was before them or knows more.
func (c *Controller) applyPages(now time.Time, from string, pages []*peer.ListPage) {
	first := pages[0]
	known, to := c.listSchedule.next, listPosition{first.Era, first.Next}
	hasList := c.replicas.everRead && known.era == first.Era
	if hasList && !to.after(known) || c.replicas.everRead && known.era > first.Era || !first.Snapshot && (!hasList || known.offset < first.From) {
		return
	}
	update := ReplicaUpdate{Snapshot: first.Snapshot, Era: first.Era, Next: first.Next, offsets: map[string]uint64{}, versions: map[string]EntryVersion{}, coldFor: map[string]time.Duration{}}
	for _, page := range pages {
		for _, entry := range page.Entries {
			update.addEntry(entry)
		}
	}
	if first.DoubtFor > 0 {
		c.replicas.trustFrom = later(c.replicas.trustFrom, now.Add(first.DoubtFor))
	}
	changed := c.applyList(now, now.Add(-first.Age), update)
	c.advanceList(first.Next, first.Era)
	c.log.Info("list-adopted", zap.String("Peer", from), zap.Int("Entries", len(update.Listed)+len(update.Removed)), zap.Bool("Whole", first.Snapshot), zap.Uint64("Next", first.Next), zap.Duration("Age", first.Age))
	c.feedUpdate(now, changed, false)
}

// addEntry adds an entry that another VM has read.
func (u *ReplicaUpdate) addEntry(entry peer.ListEntry) {
	id := entry.Replica.ID
	u.offsets[id] = max(u.Next, 1) - 1
	if entry.Removed {
		u.Removed = append(u.Removed, id)
		return
	}
	// VMs of an older build name it only beside the replica.
	entry.Replica.Born = entry.Born
	u.Listed = append(u.Listed, entry.Replica)
	u.versions[id] = EntryVersion{Born: entry.Born, Sequence: entry.Sequence}
	if entry.ColdFor > 0 {
		u.coldFor[id] = entry.ColdFor
	}
}

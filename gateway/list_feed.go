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
	maxPageEntries = 400
	// mateListenPeriod is how long a VM that has read the list of VMs listens for its group before it reads the list of replicas.
	mateListenPeriod = 450 * time.Millisecond
	// mateListWait is how long a VM waits for the list of replicas, or a change of it, from the reader of its group.
	mateListWait = 1200 * time.Millisecond
	// startListWait is the same for the first list, and unknownFleetListWait for a VM that cannot read the list of VMs.
	startListWait        = 2500 * time.Millisecond
	unknownFleetListWait = 2 * time.Second
	// minFeedInterval is the minimum time between two whole lists for the same VM.
	minFeedInterval = time.Second
	// listTakeoverStagger is the additional wait for each VM of the group that comes before, up to maxListTakeover: reads of a
	// whole group at once would fill a link.
	listTakeoverStagger = 300 * time.Millisecond
	maxListTakeover     = 1200 * time.Millisecond
)

// listFeed passes what the reader of a group has read of the list of replicas on to the group. If each VM read it by itself, the
// answers for thousands of replicas would fill the link between regions whenever the VMs start.
type listFeed struct {
	// fedTo is the position up to which this VM has told its group of changes.
	fedTo listPosition
	// wholeAt is when a VM was last sent the whole list, by name.
	wholeAt map[string]time.Time
	// pages holds the pages of a list that is being received.
	pages []*peer.ListPage
	// listens is when this VM began to listen for its group, before it has a list.
	listens time.Time
}

// WithListFeed sets the function that is told up to which position of the store the list of replicas has become known from another
// VM, so that reads begin there.
func WithListFeed(advance func(offset, era uint64)) Option {
	return func(c *Controller) { c.advanceList = advance }
}

// feedsList reports whether the VMs of a group pass the list of replicas on.
func (c *Controller) feedsList() bool { return c.groups != nil && c.advanceList != nil }

// groupRank returns the number of VMs of the group that take precedence over this one in reading the list of replicas. The one
// with none, the first by name of those that are heard and stay, is the group's reader.
func (c *Controller) groupRank() int {
	rank := 0
	for _, name := range c.currentGroups().mates {
		if c.peers[name].takesPrecedence(name, c.self.VM) {
			rank++
		}
	}
	return rank
}

// readsForGroup reports whether this VM is the reader of its group.
func (c *Controller) readsForGroup() bool { return c.groupRank() == 0 }

// firstListReadDueIn returns the time until this VM reads the list of replicas for the first time.
func (c *Controller) firstListReadDueIn(now time.Time) time.Duration {
	if !c.fleetListed {
		return unknownFleetListWait - now.Sub(c.startedAt)
	}
	if c.feed.listens.IsZero() {
		c.feed.listens = now
	}
	if listened := now.Sub(c.feed.listens); listened < mateListenPeriod || c.readsForGroup() {
		return mateListenPeriod - listened
	}
	return startListWait + c.firstListTakeover() - now.Sub(c.feed.listens)
}

// firstListTakeover spreads the first reads, of whole lists, of VMs whose reader does not pass the list on.
func (c *Controller) firstListTakeover() time.Duration {
	return min(time.Duration(c.groupRank())*listTakeoverStagger, maxListTakeover)
}

// listReaders returns how many VMs read the list when it has changed: one of each group, or all.
func (c *Controller) listReaders() int {
	if !c.feedsList() {
		return c.listSchedule.vmCount
	}
	return len(c.currentGroups().others) + 1
}

// listChangeWait returns how long this VM waits for another one of its group to pass on a change of the list.
func (c *Controller) listChangeWait() time.Duration {
	if !c.feedsList() || c.readsForGroup() {
		return 0
	}
	return mateListWait + min(time.Duration(c.listSchedule.rank)*takeoverStagger, maxTakeoverStagger)
}

// feedUpdate tells the group of an update that this VM has read from the store, if it is the group's reader.
func (c *Controller) feedUpdate(now time.Time, update ReplicaUpdate, changed []string) {
	if !c.feedsList() {
		return
	}
	from, to := c.feed.fedTo, listPosition{update.Era, update.Next}
	c.feed.fedTo = to
	if !c.readsForGroup() || len(c.groups.mates) == 0 {
		return
	}
	if update.Snapshot || from.era != to.era {
		c.feedAll(now, c.groups.mates)
		return
	}
	if len(changed) == 0 {
		// What follows tells the group of the whole range.
		c.feed.fedTo = from
		return
	}
	cold := c.cold.Remaining(now)
	var entries []peer.ListEntry
	for _, id := range changed {
		entries = append(entries, c.listEntry(cold, id, update.offsets[id]))
	}
	c.sendPages(now, peer.ListPage{Era: to.era, From: from.offset, Next: to.offset}, entries, c.groups.mates)
}

// feedAll sends VMs of the group the whole list.
func (c *Controller) feedAll(now time.Time, names []string) {
	cold := c.cold.Remaining(now)
	var entries []peer.ListEntry
	for _, replica := range c.scheduler.Replicas() {
		if !replica.Doubtful {
			entries = append(entries, c.listEntry(cold, replica.ID, 0))
		}
	}
	for _, name := range names {
		c.feed.wholeAt[name] = now
	}
	next := c.listSchedule.next
	c.sendPages(now, peer.ListPage{Era: next.era, Next: next.offset, Snapshot: true}, entries, names)
}

// listEntry returns what this VM knows of a replica. cold holds how much longer replicas are cold.
func (c *Controller) listEntry(cold map[string]time.Duration, id string, offset uint64) peer.ListEntry {
	replica, listed := c.scheduler.Replica(id)
	if !listed || replica.Doubtful {
		return peer.ListEntry{Replica: placement.Replica{ID: id}, Removed: true, Offset: offset}
	}
	version := c.replicas.versions.newest[id]
	return peer.ListEntry{Replica: replica, Offset: offset, Born: version.Born, Sequence: version.Sequence, ColdFor: cold[id]}
}

// sendPages sends entries in pages to VMs of the group.
func (c *Controller) sendPages(now time.Time, page peer.ListPage, entries []peer.ListEntry, names []string) {
	page.Age, page.DoubtFor = now.Sub(c.listSchedule.ranAt), max(0, c.replicas.trustFrom.Sub(now))
	page.Pages = max(1, (len(entries)+maxPageEntries-1)/maxPageEntries)
	to := c.addressesOf(names)
	for page.Page = 0; page.Page < page.Pages; page.Page++ {
		p := page
		p.Entries = entries[page.Page*maxPageEntries : min(len(entries), (page.Page+1)*maxPageEntries)]
		c.sendSummary(peer.Beacon{VM: c.self.VM, Incarnation: c.self.Incarnation, AvailabilityZone: c.zone, Scope: peer.ScopeList, List: &p, ListAge: -time.Millisecond, CheckAge: -time.Millisecond}, to)
	}
	c.log.Info("list-passed-on", zap.Int("VMs", len(to)), zap.Int("Entries", len(entries)), zap.Bool("Whole", page.Snapshot), zap.Uint64("From", page.From), zap.Uint64("Next", page.Next))
}

func (c *Controller) addressesOf(names []string) []peerAddress {
	var to []peerAddress
	for _, name := range names {
		to = append(to, c.peers[name].address)
	}
	return to
}

// feedIfWithoutList sends a VM of the group that has not got a list yet the whole list.
func (c *Controller) feedIfWithoutList(now time.Time, b peer.Beacon) {
	if !c.feedsList() || b.ListAge >= 0 || b.Leaving || !c.replicas.everRead || !c.readsForGroup() || now.Sub(c.feed.wholeAt[b.VM]) < minFeedInterval {
		return
	}
	c.feedAll(now, []string{b.VM})
}

// handleListPage collects the pages of a list, and applies them once all have arrived.
func (c *Controller) handleListPage(b peer.Beacon) {
	page := b.List
	if !c.feedsList() || page == nil || c.peers[b.VM] == nil || !c.isMate(b.VM) {
		return
	}
	now := c.now()
	c.stall.recordTurn(now)
	if now.Sub(c.stall.endedAt) < stallBacklogPeriod {
		page.Age += c.stall.period
	}
	if len(c.feed.pages) > 0 {
		if first := c.feed.pages[0]; first.Era != page.Era || first.Next != page.Next || first.From != page.From || first.Snapshot != page.Snapshot || first.Pages != page.Pages {
			c.feed.pages = nil
		}
	}
	if !slices.ContainsFunc(c.feed.pages, func(p *peer.ListPage) bool { return p.Page == page.Page }) {
		c.feed.pages = append(c.feed.pages, page)
	}
	if len(c.feed.pages) < page.Pages {
		return
	}
	pages := c.feed.pages
	c.feed.pages = nil
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
			if !first.Snapshot && entry.Offset < known.offset {
				continue
			}
			update.addEntry(entry)
		}
	}
	if first.DoubtFor > 0 {
		c.replicas.trustFrom = later(c.replicas.trustFrom, now.Add(first.DoubtFor))
	}
	c.applyList(now, now.Add(-first.Age), update)
	c.feed.fedTo = to
	c.advanceList(first.Next, first.Era)
	c.log.Info("list-adopted", zap.String("Peer", from), zap.Int("Entries", len(update.Listed)+len(update.Removed)), zap.Bool("Whole", first.Snapshot), zap.Uint64("Next", first.Next), zap.Duration("Age", first.Age))
}

// addEntry adds an entry that another VM has read.
func (u *ReplicaUpdate) addEntry(entry peer.ListEntry) {
	id := entry.Replica.ID
	u.offsets[id] = entry.Offset
	if entry.Removed {
		u.Removed = append(u.Removed, id)
		return
	}
	u.Listed = append(u.Listed, entry.Replica)
	u.versions[id] = EntryVersion{Born: entry.Born, Sequence: entry.Sequence}
	if entry.ColdFor > 0 {
		u.coldFor[id] = entry.ColdFor
	}
}

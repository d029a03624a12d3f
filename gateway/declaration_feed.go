package gateway

import (
	"slices"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/fleet"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/routing"
)

const (
	// regionReaders is the number of VMs of a region that keep waiting reads of the declarations: the second makes up for a first
	// whose answers stop.
	regionReaders = 2
	// declarationsBytesPerSecond is the rate at which a VM answers requests for declarations, a part of the slowest links.
	declarationsBytesPerSecond = 600_000
)

// declarationFeed passes the declarations that the readers of a region have read on to its other VMs. If each VM read them by
// itself, as many copies as there are VMs would cross a link between regions.
type declarationFeed struct {
	// reads is whether this VM keeps a waiting read, as the store's client was told last.
	reads bool
	// passedOn is up to where the operators' records have been passed on.
	passedOn operatorPosition
	pages    declarationPages
	requests declarationRequests
}

// operatorPosition is what a VM knows of what operators have written: the version of the declarations, and the position after the
// last change of evacuated zones.
type operatorPosition struct {
	version   uint64
	evacuated listPosition
}

// after reports whether p knows anything that a VM lacks which has a version and has read the records up to a position.
func (p operatorPosition) after(version uint64, read listPosition) bool {
	return p.version > version || p.evacuated.after(read)
}

// operatorPositionOf returns what the sender of a message knows of what operators have written.
func operatorPositionOf(b peer.Beacon) operatorPosition {
	return operatorPosition{b.Version, listPosition{b.EvacuationsEra, b.EvacuationsOffset}}
}

// WithDeclarationsFeed sets the function that is told whether this VM is to keep a waiting read of the declarations, and
// the function that is told up to where they are known from another VM. A fleet that is divided into groups then passes
// declarations on from VM to VM.
func WithDeclarationsFeed(setReading func(bool), advance func(offset, era uint64)) Option {
	return func(c *Controller) {
		c.setDeclarationsReading, c.advanceDeclarations, c.declarations.reads = setReading, advance, true
	}
}

// feedsDeclarations reports whether the VMs pass declarations on.
func (c *Controller) feedsDeclarations() bool {
	return c.groups != nil && c.setDeclarationsReading != nil
}

// operatorPosition returns up to where this VM knows what operators have written.
func (c *Controller) operatorPosition() operatorPosition {
	return operatorPosition{c.version(), c.zones.changed}
}

// updateDeclarationsReading tells the store's client whether this VM is a reader of its region. A VM that starts reads by itself.
func (c *Controller) updateDeclarationsReading() {
	if !c.feedsDeclarations() {
		return
	}
	reads := c.regionRank < regionReaders || !c.catchUp.done || !c.zones.everRead
	if reads == c.declarations.reads {
		return
	}
	c.declarations.reads = reads
	c.setDeclarationsReading(reads)
	c.log.Info("declarations-reader", zap.Bool("Reads", reads), zap.Int("Rank", c.regionRank))
}

// region returns the region of an availability zone, or an empty string if it is not known.
func (c *Controller) region(zone string) string { return c.zones.regions[zone] }

// sharesRegion reports whether a peer is in the region of this VM.
func (c *Controller) sharesRegion(p *peerState) bool { return c.region(p.zone) == c.region(c.zone) }

// passDeclarationsOn passes new declarations, which origin has read in the store, on to the VMs below this one. What a VM finds when it
// starts, others know.
func (c *Controller) passDeclarationsOn(origin string) {
	if !c.feedsDeclarations() || !c.catchUp.done {
		return
	}
	known := c.operatorPosition()
	passedOn := c.declarations.passedOn
	if !known.after(passedOn.version, passedOn.evacuated) {
		return
	}
	c.declarations.passedOn = known
	if passedOn.version > 0 {
		c.sendDeclarations(c.declarationReceivers(origin))
	}
}

// declarationReceivers returns the VMs to which this VM passes on what origin has read. A VM that has read by itself what the first of
// its region reads too does not pass on what that one tells it, and so tells the VMs below it in both trees.
func (c *Controller) declarationReceivers(origin string) []string {
	receivers := c.receiversBelow(origin)
	if first := c.firstOfRegion(); origin == c.self.VM && first != c.self.VM {
		receivers = append(receivers, c.receiversBelow(first)...)
	}
	slices.Sort(receivers)
	return slices.DeleteFunc(slices.Compact(receivers), func(name string) bool { return name == origin || c.peers[name] == nil })
}

// receiversBelow returns the VMs below this one in the tree of an origin: the VMs through which the groups of a region get what it has
// read, and below each of them its group.
func (c *Controller) receiversBelow(origin string) []string {
	group := c.groupByPrecedence()
	root := group[0]
	if slices.Contains(group, origin) {
		root = origin
	}
	receivers := fleet.Children(fleet.WithRoot(group, root), c.self.VM)
	if root == c.self.VM {
		receivers = append(receivers, fleet.Children(fleet.WithRoot(c.regionEntries(origin), origin), c.self.VM)...)
	}
	return receivers
}

// firstOfRegion returns the VM of this region that comes first when one is to act for all.
func (c *Controller) firstOfRegion() string {
	entries := c.groupByPrecedence()[:1]
	for _, names := range c.currentGroups().others {
		if first := c.firstOf(names); first != "" && c.sharesRegion(c.peers[first]) {
			entries = append(entries, first)
		}
	}
	return c.byPrecedence(entries)[0]
}

// regionEntries returns the VMs through which the groups of this region get what origin has read: the readers of all groups but its own.
func (c *Controller) regionEntries(origin string) []string {
	g := c.currentGroups()
	var entries []string
	if g.layout.GroupOf(origin) != g.own {
		entries = append(entries, c.groupByPrecedence()[0])
	}
	for group, names := range g.others {
		first := c.firstOf(names)
		if first != "" && group != g.layout.GroupOf(origin) && c.sharesRegion(c.peers[first]) {
			entries = append(entries, first)
		}
	}
	return c.byPrecedence(entries)
}

// sendDeclarations sends VMs the declarations in force. It returns the number of bytes for each.
func (c *Controller) sendDeclarations(receivers []string) int {
	if len(receivers) == 0 {
		return 0
	}
	pages, err := c.encodedDeclarations()
	if err != nil {
		c.log.Warn("declarations-not-passed-on", zap.Uint64("Version", c.version()), zap.Error(err))
		return 0
	}
	size := 0
	to := c.addressesOf(receivers)
	for _, page := range pages {
		size += len(page.Data)
		message := c.newMessage(peer.ScopeDeclarations)
		message.Declarations = page
		c.sendSummary(message, to)
	}
	c.log.Info("declarations-passed-on", zap.Uint64("Version", c.version()), zap.Int("VMs", len(to)), zap.Int("Bytes", size))
	return size
}

// handleDeclarationsPage collects the pages of declarations, and puts them in force once all have arrived.
func (c *Controller) handleDeclarationsPage(b peer.Beacon) {
	page := b.Declarations
	if !c.feedsDeclarations() || page == nil || !operatorPositionOf(b).after(c.version(), c.zones.next) {
		return
	}
	pages := c.declarations.pages.add(b.VM, page)
	if len(pages) < page.Pages {
		return
	}
	content, err := decodeDeclarations(pages)
	if err != nil {
		c.log.Warn("declarations-page-ignored", zap.String("Peer", b.VM), zap.Uint64("Version", page.Version), zap.Error(err))
		return
	}
	c.adoptDeclarations(b, pages, content)
}

// adoptDeclarations puts what another VM knows of the operators' records in force.
func (c *Controller) adoptDeclarations(b peer.Beacon, pages []*peer.DeclarationsPage, content declarationsContent) {
	first := pages[0]
	c.log.Info("declarations-adopted", zap.String("Peer", b.VM), zap.String("Origin", first.Origin), zap.Uint64("Version", first.Version), zap.Uint64("Next", first.Next))
	if first.Version > c.version() {
		c.setDeclarations(routing.NewTable(content.Declarations))
	}
	if next := (listPosition{first.Era, first.Next}); next.after(c.zones.next) {
		c.adoptEvacuations(content.Evacuated, next, listPosition{b.EvacuationsEra, b.EvacuationsOffset})
		c.advanceDeclarations(first.Next, first.Era)
	}
	c.declarations.pages.keep(pages)
	c.passDeclarationsOn(first.Origin)
}

package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
)

// zones holds the availability zones that operators have evacuated.
type zones struct {
	regions   map[string]string
	evacuated map[string]bool
	// next is the position up to which the operators' records have been read, and changed the position after the last of
	// them that changed evacuated. everRead is whether they have been read since the process started.
	next, changed listPosition
	everRead      bool
	// heard is a later change that a peer has read, first heard of at heardAt, and refreshedAt when a read was last triggered because
	// of one.
	heard                listPosition
	heardAt, refreshedAt time.Time
}

// WithRegions sets the region of each availability zone.
func WithRegions(regions map[string]string) Option {
	return func(c *Controller) {
		c.zones.regions = regions
		c.scheduler.SetRegions(regions)
		if isSeveralRegions(regions) {
			c.groups = newGroupState()
			c.scheduler.SetLocalFirst(true)
		}
	}
}

// EvacuationUpdate holds what a batch of the operators' records says of evacuated availability zones.
type EvacuationUpdate struct {
	// Requested is whether a zone's evacuation has been requested (true) or taken back (false), for the zones of the batch.
	Requested map[string]bool
	// Snapshot is whether Requested holds all zones that are evacuated.
	Snapshot bool
	// Restored is whether the store has come back from an older copy, so that records may be missing.
	Restored bool
	// Next is the offset after the last record that was read, in an era of the store.
	Era, Next uint64
}

// NewEvacuationUpdate decodes a batch of the operators' records. zoneOf returns the zone whose evacuation a key requests.
func NewEvacuationUpdate(batch follow.Batch, zoneOf func(key string) (string, bool)) EvacuationUpdate {
	u := EvacuationUpdate{Requested: map[string]bool{}, Snapshot: batch.Snapshot, Restored: batch.Restored, Era: batch.Era, Next: batch.NextOffset}
	for _, record := range batch.Records {
		if zone, ok := zoneOf(record.Key); ok {
			u.Requested[zone] = len(record.Value) > 0
		}
	}
	return u
}

// in returns the set of evacuated zones after the update. In a store that has come back from an older copy, a missing record
// does not take an evacuation back: operators do so by a record.
func (u EvacuationUpdate) in(current map[string]bool) map[string]bool {
	evacuated := map[string]bool{}
	if !u.Snapshot || u.Restored {
		maps.Copy(evacuated, current)
	}
	for zone, requested := range u.Requested {
		if requested {
			evacuated[zone] = true
		} else {
			delete(evacuated, zone)
		}
	}
	return evacuated
}

// ApplyEvacuations puts an update in force. From then on no request is placed on a replica of an evacuated zone, and none
// that was placed before is sent there. Running work is not affected.
func (c *Controller) ApplyEvacuations(u EvacuationUpdate) {
	c.post(func() {
		c.zones.everRead = true
		position := listPosition{u.Era, u.Next}
		if position.after(c.zones.next) {
			c.zones.next = position
		}
		if c.setEvacuated(u.in(c.zones.evacuated), position) {
			c.zones.changed = position
			c.beacon.dirty = true
		}
	})
}

// adoptEvacuations puts the evacuated zones in force that another VM knows, which has read the operators' records up to next and found
// the last change before changed.
func (c *Controller) adoptEvacuations(names []string, next, changed listPosition) {
	evacuated := map[string]bool{}
	for _, zone := range names {
		evacuated[zone] = true
	}
	c.zones.everRead, c.zones.next = true, next
	if changed.after(c.zones.changed) {
		c.zones.changed = changed
	}
	c.setEvacuated(evacuated, changed)
}

// restoreEvacuations puts the evacuations of the backup copy in force, unless the operators' records have been read.
func (c *Controller) restoreEvacuations(names []string) {
	c.post(func() {
		if c.zones.everRead {
			return
		}
		evacuated := map[string]bool{}
		for _, zone := range names {
			evacuated[zone] = true
		}
		c.setEvacuated(evacuated, listPosition{})
	})
}

// setEvacuated replaces the set of evacuated zones, and reports whether it is another one.
func (c *Controller) setEvacuated(evacuated map[string]bool, position listPosition) bool {
	before := c.zones.evacuated
	if maps.Equal(before, evacuated) {
		return false
	}
	c.zones.evacuated = evacuated
	c.scheduler.SetEvacuated(evacuated)
	c.metrics.EvacuatedZones.Set(float64(len(evacuated)))
	for _, zone := range slices.Sorted(maps.Keys(evacuated)) {
		if !before[zone] {
			_, known := c.zones.regions[zone]
			c.log.Warn("zone-evacuated", zap.String("Zone", zone), zap.Int("Replicas", c.scheduler.CountInZone(zone)), zap.Bool("KnownZone", known || len(c.zones.regions) == 0), zap.Uint64("Offset", position.offset))
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(before)) {
		if !evacuated[zone] {
			c.log.Info("zone-in-use-again", zap.String("Zone", zone), zap.Int("Replicas", c.scheduler.CountInZone(zone)), zap.Uint64("Offset", position.offset))
		}
	}
	return true
}

// refreshIfEvacuationsChanged triggers a read of the operators' records if a peer has read a change of evacuations that this
// VM has not. The answer to this VM's waiting read may be lost.
func (c *Controller) refreshIfEvacuationsChanged(now time.Time, b peer.Beacon) {
	changed := listPosition{b.EvacuationsEra, b.EvacuationsOffset}
	if !changed.after(c.zones.next) {
		return
	}
	if !c.zones.heard.after(c.zones.next) {
		c.zones.heardAt = now
	}
	c.zones.heard = changed
	if now.Sub(c.zones.refreshedAt) < minRefreshInterval || now.Sub(c.zones.heardAt) < c.refreshWait() {
		return
	}
	c.zones.refreshedAt = now
	c.log.Info("evacuations-outdated", zap.String("Peer", b.VM), zap.Uint64("Read", c.zones.next.offset), zap.Uint64("Changed", changed.offset))
	c.refreshDeclarations()
}

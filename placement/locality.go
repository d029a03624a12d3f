package placement

import "time"

const (
	// otherZonePenalty is the cost of an engine in another availability zone of the region, and otherRegionPenalty in another
	// region. What other groups of VMs have placed there is known later than what this one has, so that an engine that looks
	// free may not be; and each event of a stream takes longer.
	otherZonePenalty   = 80 * time.Millisecond
	otherRegionPenalty = 300 * time.Millisecond
	// remoteRoomFactor is how much room an engine outside the availability zone must have for each request, as a multiple
	// of what the request needs.
	remoteRoomFactor = 2
)

// SetLocalFirst sets whether engines of this VM's availability zone, and then those of its region, are preferred.
func (s *Scheduler) SetLocalFirst(localFirst bool) { s.localFirst = localFirst }

// AdmitsByLoad reports whether calls for plain services are placed and admitted by what the services say of their load, over all
// VMs: in large fleets of several regions.
func (s *Scheduler) AdmitsByLoad() bool { return s.localFirst && s.Crowded() }

// isLocal reports whether a replica is in this VM's availability zone.
func (s *Scheduler) isLocal(r *replica) bool { return r.Zone == s.zone }

// distanceCost returns the cost of using an engine in a zone.
func (s *Scheduler) distanceCost(zone string) time.Duration {
	switch {
	case !s.localFirst || zone == s.zone:
		return 0
	case s.regions[zone] == s.regions[s.zone]:
		return otherZonePenalty
	}
	return otherRegionPenalty
}

// consideredEngines returns the engines among which this VM chooses: a sample, and if local ones are preferred all of those.
func (s *Scheduler) consideredEngines(engines []*replica) []*replica {
	if !s.localFirst {
		return s.sample(engines)
	}
	local := filter(engines, s.isLocal)
	remote := filter(engines, func(r *replica) bool { return !s.isLocal(r) })
	return append(local, s.sample(remote)...)
}

// requiredRoom returns the room that an engine must have for a request to be placed there.
func (s *Scheduler) requiredRoom(req *Request, d *replica) int {
	required := s.requiredTokens(req)
	if s.localFirst && !s.isLocal(d) {
		return remoteRoomFactor * required
	}
	return required
}

package placement

import (
	"time"
)

// SetRegions sets the region of each availability zone.
func (s *Scheduler) SetRegions(regions map[string]string) { s.regions = regions }

// SetEvacuated sets the availability zones whose replicas get no new work.
func (s *Scheduler) SetEvacuated(zones map[string]bool) {
	s.evacuated = zones
	for _, r := range s.replicas {
		r.evacuated = zones[r.Zone]
	}
}

// CountInZone returns the number of listed replicas in an availability zone.
func (s *Scheduler) CountInZone(zone string) int {
	count := 0
	for _, r := range s.replicas {
		if r.Zone == zone {
			count++
		}
	}
	return count
}

// ConfirmSend reports whether a request that was placed earlier may be sent to a replica now: meanwhile it may have begun to
// leave, its zone may have been evacuated, or it may have become cold and others have used up this VM's share.
func (s *Scheduler) ConfirmSend(now time.Time, id string) bool {
	r := s.replicas[id]
	return r != nil && r.eligible() && s.cold.TakeSend(now, id)
}

// allows reports whether the request limit of a replica, and what it takes while it is cold, leave room for a request.
func (s *Scheduler) allows(now time.Time, id string) bool {
	return s.limits.Allows(now, id) && s.cold.AllowsStart(now, id)
}

// spend counts a request that is started for a replica.
func (s *Scheduler) spend(now time.Time, id string) {
	s.limits.Spend(now, id)
	s.cold.SpendStart(now, id)
}

// shareOf returns this VM's requests per second to a replica, and whether they are limited.
func (s *Scheduler) shareOf(now time.Time, id string) (share float64, limited bool) {
	share, limited = s.limits.Share(id)
	if coldShare, cold := s.cold.Share(now, id); cold && (!limited || coldShare < share) {
		return coldShare, true
	}
	return share, limited
}

package placement

import (
	"slices"
	"time"
)

const (
	// minUnreachableReports is the number of peers that must report a replica as unreachable before this VM avoids it.
	// A single peer may have lost its own link.
	minUnreachableReports = 2
	// maxUnreachableFraction is the fraction of all replicas above which a peer's report is ignored: the peer is then
	// more likely to be cut off itself.
	maxUnreachableFraction = 0.3
	// returnPeriod is the time over which VMs start to use a replica again after its reports have ended, each at a random
	// moment, so that few requests are lost if it is still unreachable.
	returnPeriod = 3 * time.Second
)

// UnreachableIDs returns the sorted IDs of the replicas that this VM skips because it could not reach them. At a large
// fleet each VM sends few requests, so without the reports of others each would find a dead replica by itself, and lose
// a request to it each time.
func (s *Scheduler) UnreachableIDs(now time.Time) []string {
	return s.idsAmong(s.unreachable, func(r *replica) bool { return r.unreachable && now.Before(r.backoffUntil) })
}

// SetPeerUnreachable replaces the IDs of the replicas that another VM reports as unreachable. Replicas that several
// peers report are used only if no other is available.
func (s *Scheduler) SetPeerUnreachable(now time.Time, vm string, ids []string) {
	if float64(len(ids)) > maxUnreachableFraction*float64(len(s.replicas)) {
		ids = nil
	}
	for _, id := range s.peerUnreachable[vm] {
		if r := s.replicas[id]; r != nil && !slices.Contains(ids, id) {
			s.endUnreachableReport(now, r, vm)
		}
	}
	delete(s.peerUnreachable, vm)
	if len(ids) == 0 {
		return
	}
	s.peerUnreachable[vm] = ids
	for _, id := range ids {
		if r := s.replicas[id]; r != nil {
			r.unreachableFor[vm] = true
		}
	}
}

// ForgetFailures forgets the failures of all replicas, since this VM was their cause.
func (s *Scheduler) ForgetFailures() {
	for _, r := range s.replicas {
		r.failures, r.backoffUntil, r.unreachable = 0, time.Time{}, false
	}
	clear(s.unreachable)
}

// endUnreachableReport removes a peer's report. If the replica was avoided because of its reports, this VM uses it again
// at a random moment of the returnPeriod.
func (s *Scheduler) endUnreachableReport(now time.Time, r *replica, vm string) {
	avoided := len(r.unreachableFor) >= minUnreachableReports
	delete(r.unreachableFor, vm)
	if !avoided || len(r.unreachableFor) >= minUnreachableReports || now.Before(r.backoffUntil) {
		return
	}
	// The failures of the peers count as one of this VM, so that the next backoff is longer if the replica is still
	// unreachable.
	r.failures++
	r.unreachable = false
	r.backoffUntil = now.Add(time.Duration(s.random() * float64(returnPeriod)))
}

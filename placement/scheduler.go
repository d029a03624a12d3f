// Package placement chooses the upstreams that serve a request, orders waiting requests, and refuses requests
// that cannot be served.
//
// Every VM has its own Scheduler and decides independently, based on its own requests in flight and on the load
// that the other VMs last reported. Stale reports can only delay a request or waste a prefill; they never break
// a guarantee given to a caller. The package performs no I/O and takes the current time as an argument.
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/routing"
)

// Scheduler tracks the upstreams known to one VM and queues requests that wait for engines. It is not safe for
// concurrent use.
type Scheduler struct {
	zone     string
	replicas map[string]*replica
	// byAddress holds the listed replicas by address. Addresses are given to other replicas in time.
	byAddress map[string]map[string]*replica
	// removed holds the replicas that were removed lately, by ID.
	removed map[string]*removedReplica
	// listings counts the replicas that were listed at an address.
	listings int
	// declared holds the names of the declared pools.
	declared map[string]bool
	// loaded, unreachable, replaced and told hold the IDs of the replicas that may have a load of this VM, be unreachable or
	// replaced, or have told this VM their load. Beacons look at these only.
	loaded, unreachable, replaced, told map[string]bool
	// pools holds the replicas of each pool, sorted by ID. It is nil if replicas have changed since it was computed.
	pools          map[string][]*replica
	engineSpecs    map[string]routing.EngineSpec
	waitEstimators map[string]*waitEstimator
	waiting        []*Request
	requests       map[uint64]*Request
	random         func() float64
	// vmCount is the number of VMs that choose among the same engines.
	vmCount int
	// limits holds the request limits that replicas name, and cold those of cold replicas.
	limits *quota.ReplicaLimits
	cold   *quota.ColdLimits
	// regions holds the region of each availability zone, and evacuated the zones whose replicas get no new work.
	regions   map[string]string
	evacuated map[string]bool
	// localFirst is whether engines of this VM's availability zone and region are preferred.
	localFirst bool
	// ownCalls counts the calls for plain services that this VM has received, and callRates estimates those of all VMs.
	ownCalls           map[CallClass]int
	ownCallsRecordedAt time.Time
	callRates          *callRates
	// peerLoads holds the loads that each peer last reported, by replica ID.
	peerLoads map[string]map[string]Load
	// peerUnreachable holds the IDs of the replicas that each peer reports as unreachable.
	peerUnreachable map[string][]string
}

// NewScheduler returns a Scheduler without replicas for a VM in the given availability zone, which keeps to limits and cold.
// random must return numbers in [0, 1).
func NewScheduler(zone string, limits *quota.ReplicaLimits, cold *quota.ColdLimits, random func() float64) *Scheduler {
	return &Scheduler{zone: zone, limits: limits, cold: cold, replicas: map[string]*replica{}, removed: map[string]*removedReplica{}, byAddress: map[string]map[string]*replica{}, loaded: map[string]bool{}, unreachable: map[string]bool{}, replaced: map[string]bool{}, told: map[string]bool{}, engineSpecs: map[string]routing.EngineSpec{},
		waitEstimators: map[string]*waitEstimator{}, requests: map[uint64]*Request{}, random: random, ownCalls: map[CallClass]int{}, callRates: newCallRates(), peerLoads: map[string]map[string]Load{}, peerUnreachable: map[string][]string{}}
}

// SetPools replaces the specs of the engine pools. It ignores pools without an engine spec.
func (s *Scheduler) SetPools(pools []routing.Pool) {
	clear(s.engineSpecs)
	known := s.declared
	s.declared = map[string]bool{}
	for _, pool := range pools {
		s.declared[pool.Name] = true
		if pool.Engine != nil {
			s.engineSpecs[pool.Name] = *pool.Engine
			if s.waitEstimators[pool.Name] == nil {
				s.waitEstimators[pool.Name] = newWaitEstimator()
			}
		}
	}
	for _, r := range s.replicas {
		if !known[r.Pool] {
			s.markReplacedBy(r)
		}
	}
}

// SetReplica adds a replica or updates its listed properties. Load and learned statistics are kept unless the
// address has changed.
func (s *Scheduler) SetReplica(listed Replica) {
	belief := s.beliefWhenListed(listed)
	old := s.replicas[listed.ID]
	if old == nil || old.Address != listed.Address {
		s.forgetAddress(old)
		r := newReplica(listed)
		s.listings++
		r.listing = s.listings
		s.replicas[listed.ID] = r
		s.recordAddress(r)
		if old == nil {
			s.markReplacedBy(r)
		}
	} else {
		old.Replica = listed
	}
	s.replicas[listed.ID].belief = belief
	s.replicas[listed.ID].evacuated = s.evacuated[listed.Zone]
	s.pools = nil
}

func (s *Scheduler) recordAddress(r *replica) {
	if s.byAddress[r.Address] == nil {
		s.byAddress[r.Address] = map[string]*replica{}
	}
	s.byAddress[r.Address][r.ID] = r
}

// forgetAddress removes a replica, which may be nil, from those at its address.
func (s *Scheduler) forgetAddress(r *replica) {
	if r == nil {
		return
	}
	delete(s.byAddress[r.Address], r.ID)
	if len(s.byAddress[r.Address]) == 0 {
		delete(s.byAddress, r.Address)
	}
}

// markReplacedBy marks the replicas as replaced that were listed before another one at the same address. Their list entries remain for several
// heartbeats after they are gone. An entry of a pool that is not declared is not one of a replica, and replaces none.
func (s *Scheduler) markReplacedBy(newer *replica) {
	if !s.declared[newer.Pool] {
		return
	}
	for _, r := range s.byAddress[newer.Address] {
		if r.listing < newer.listing {
			r.replaced = true
			s.replaced[r.ID] = true
		}
	}
}

// RemoveReplica removes a replica at a time. Requests in flight at the replica are not affected.
func (s *Scheduler) RemoveReplica(now time.Time, id string) {
	if r := s.replicas[id]; r != nil {
		s.rememberRemoved(now, r)
	}
	s.forgetAddress(s.replicas[id])
	delete(s.replicas, id)
	s.pools = nil
}

// Replicas returns all listed replicas, sorted by ID.
func (s *Scheduler) Replicas() []Replica {
	var listed []Replica
	for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
		listed = append(listed, s.replicas[id].Replica)
	}
	return listed
}

// Replica returns a listed replica.
func (s *Scheduler) Replica(id string) (Replica, bool) {
	r := s.replicas[id]
	if r == nil {
		return Replica{}, false
	}
	return r.Replica, true
}

// HasAddress reports whether a replica is listed at an address.
func (s *Scheduler) HasAddress(addr string) bool {
	for _, r := range s.replicas {
		if r.Address == addr {
			return true
		}
	}
	return false
}

// Serves reports whether a replica is listed and not leaving.
func (s *Scheduler) Serves(id string) bool {
	r := s.replicas[id]
	return r != nil && r.eligible()
}

// pool returns the replicas of a pool, sorted by ID. They are grouped anew at the first call after a change: a list of replicas
// that is read brings many changes at once.
func (s *Scheduler) pool(name string) []*replica {
	if s.pools == nil {
		s.pools = map[string][]*replica{}
		for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
			r := s.replicas[id]
			s.pools[r.Pool] = append(s.pools[r.Pool], r)
		}
	}
	return s.pools[name]
}

// SoftwareVersions returns the sorted software versions of the listed replicas of a pool.
func (s *Scheduler) SoftwareVersions(pool string) []string {
	var versions []string
	for _, r := range s.pool(pool) {
		if !slices.Contains(versions, r.SoftwareVersion) {
			versions = append(versions, r.SoftwareVersion)
		}
	}
	slices.Sort(versions)
	return versions
}

// Pools returns the sorted names of the pools that have listed replicas.
func (s *Scheduler) Pools() []string {
	s.pool("")
	return slices.Sorted(maps.Keys(s.pools))
}

// SetPeerLoads replaces the loads reported by another VM, by replica ID.
func (s *Scheduler) SetPeerLoads(vm string, loads map[string]Load) {
	for id := range s.peerLoads[vm] {
		if r := s.replicas[id]; r != nil {
			delete(r.peerLoads, vm)
		}
	}
	delete(s.peerLoads, vm)
	if len(loads) == 0 {
		return
	}
	s.peerLoads[vm] = loads
	for id, load := range loads {
		if r := s.replicas[id]; r != nil {
			r.peerLoads[vm] = load
		}
	}
}

// PeerInFlight returns the number of requests that other VMs have in flight at a replica.
func (s *Scheduler) PeerInFlight(id string) int {
	total := 0
	if r := s.replicas[id]; r != nil {
		for _, load := range r.peerLoads {
			total += load.Requests
		}
	}
	return total
}

// OwnLoads returns the nonzero loads that this VM has placed on engines, by replica ID.
func (s *Scheduler) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for _, id := range s.idsAmong(s.loaded, func(r *replica) bool { return r.ownLoad != (Load{}) }) {
		if r := s.replicas[id]; r.Stage != StageNone {
			loads[id] = r.ownLoad
		}
	}
	return loads
}

// RecordFailure records that a replica failed a request or was unreachable. It returns how long the replica is
// skipped, or 0 if it stays in use.
func (s *Scheduler) RecordFailure(now time.Time, id string, unreachable bool) time.Duration {
	r := s.replicas[id]
	if r == nil {
		return 0
	}
	if unreachable {
		s.unreachable[id] = true
	}
	return r.recordFailure(now, unreachable)
}

// MarkReplaced records that a different replica answers at the address of the given one. The list entry of the old
// replica remains for several heartbeats after it is gone.
func (s *Scheduler) MarkReplaced(id string) {
	if r := s.replicas[id]; r != nil {
		r.replaced = true
		s.replaced[id] = true
	}
}

// MarkLeaving records that a replica has said in an answer that it is leaving, and reports whether that was not known.
func (s *Scheduler) MarkLeaving(id string) bool {
	r := s.replicas[id]
	if r == nil || r.saidLeaving {
		return false
	}
	r.saidLeaving = true
	return true
}

// Renew records that another process has started under the ID of a replica, so that what the one before said or did no longer
// counts. It returns since when the process before was in doubt, or zero.
func (s *Scheduler) Renew(id string) (doubtedSince time.Time) {
	if r := s.replicas[id]; r != nil {
		r.saidLeaving, r.replaced = false, false
	}
	if belief := s.belief(id); belief != nil {
		doubtedSince = belief.DoubtedSince()
		*belief = belief.WithRenewal()
	}
	return doubtedSince
}

// ReplacedIDs returns the sorted IDs of listed replicas whose addresses are now used by other replicas.
func (s *Scheduler) ReplacedIDs() []string {
	return s.idsAmong(s.replaced, func(r *replica) bool { return r.replaced })
}

// idsAmong returns the sorted IDs of those of some replicas for which a condition holds, and removes the others from ids.
func (s *Scheduler) idsAmong(ids map[string]bool, holds func(*replica) bool) []string {
	var found []string
	for id := range ids {
		if r := s.replicas[id]; r != nil && holds(r) {
			found = append(found, id)
		} else {
			delete(ids, id)
		}
	}
	slices.Sort(found)
	return found
}

// addLoad adds to the load that this VM has placed on a replica.
func (s *Scheduler) addLoad(r *replica, requests, tokens int) {
	r.ownLoad.add(requests, tokens)
	s.loaded[r.ID] = true
}

// criteria selects replicas.
type criteria struct {
	pool  string
	stage Stage
	// avoid holds the IDs of replicas that are left out.
	avoid    []string
	regions  routing.RegionLimit
	versions VersionLimit
}

// matches reports whether a replica of the pool may receive work.
func (s *Scheduler) matches(r *replica, c criteria) bool {
	return r.Stage == c.stage && r.eligible() && !slices.Contains(c.avoid, r.ID) && c.regions.Allows(s.regions[r.Zone]) && c.versions.Allows(r.SoftwareVersion)
}

// candidates returns the replicas that match the criteria, without services whose request limit is used up. Replicas that are doubtful, in backoff or unreachable for several peers are returned only
// if there are no others.
func (s *Scheduler) candidates(now time.Time, c criteria) []*replica {
	var preferred, fallback []*replica
	for _, r := range s.pool(c.pool) {
		if !s.matches(r, c) || c.versions.Limited && r.belief.Doubted(now) {
			continue
		}
		if c.stage == StageNone && !s.allows(now, r.ID) {
			continue
		}
		if r.preferred(now) {
			preferred = append(preferred, r)
		} else {
			fallback = append(fallback, r)
		}
	}
	if len(preferred) > 0 {
		return preferred
	}
	return fallback
}

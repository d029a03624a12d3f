// Package placement decides which upstream serves a request, which request goes next, and when a request is
// refused because it cannot be served.
//
// Every VM has a Board and decides by itself. It knows what it has under way itself, and what the other VMs
// said last that they have. A wrong picture costs a caller time or a prefill, never a promise. The package does no
// input or output; times are passed in.
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/cassiabridge/cassiabridge/routing"
)

// Board is what one VM knows of the upstreams, with the requests that wait for engines. It is not safe for
// concurrent use.
type Board struct {
	zone     string
	replicas map[string]*replica
	pools    map[string][]*replica
	engines  map[string]routing.EngineSpec
	queues   map[string]*queue
	waiting  []*Request
	jobs     map[uint64]*Request
	random   func() float64
}

// NewBoard returns a board without replicas for a VM in an availability zone. random returns numbers in [0, 1).
func NewBoard(zone string, random func() float64) *Board {
	return &Board{zone: zone, replicas: map[string]*replica{}, pools: map[string][]*replica{}, engines: map[string]routing.EngineSpec{}, queues: map[string]*queue{},
		jobs: map[uint64]*Request{}, random: random}
}

// Configure sets the engine pools.
func (b *Board) Configure(pools []routing.Pool) {
	clear(b.engines)
	for _, pool := range pools {
		if pool.Engine != nil {
			b.engines[pool.Name] = *pool.Engine
			if b.queues[pool.Name] == nil {
				b.queues[pool.Name] = newQueue()
			}
		}
	}
}

// SetReplica adds a replica or changes what is listed of it. What was learned is kept unless it is at another
// address.
func (b *Board) SetReplica(listed Replica) {
	old := b.replicas[listed.ID]
	if old == nil {
		b.supersede(listed)
	}
	if old == nil || old.Address != listed.Address {
		b.replicas[listed.ID] = newReplica(listed)
	} else {
		old.Replica = listed
	}
	b.index()
}

// supersede takes the replicas out of use that had the address of one that is listed for the first time. Their entries
// outlive them by some heartbeats.
func (b *Board) supersede(listed Replica) {
	for _, r := range b.replicas {
		if r.Address == listed.Address && r.ID != listed.ID {
			r.replaced = true
		}
	}
}

// RemoveReplica forgets a replica. Requests under way there go on.
func (b *Board) RemoveReplica(id string) {
	delete(b.replicas, id)
	b.index()
}

// Replicas returns what is listed, by ID.
func (b *Board) Replicas() []Replica {
	var listed []Replica
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		listed = append(listed, b.replicas[id].Replica)
	}
	return listed
}

// index groups the replicas by pool, in a fixed order.
func (b *Board) index() {
	clear(b.pools)
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		r := b.replicas[id]
		b.pools[r.Pool] = append(b.pools[r.Pool], r)
	}
}

// SetPeerLoads replaces what a peer has under way.
func (b *Board) SetPeerLoads(vm string, loads map[string]Load) {
	for id, r := range b.replicas {
		if load, ok := loads[id]; ok {
			r.peers[vm] = load
		} else {
			delete(r.peers, vm)
		}
	}
}

// PeerRequests returns how many requests the other VMs have under way at a replica.
func (b *Board) PeerRequests(id string) int {
	total := 0
	if r := b.replicas[id]; r != nil {
		for _, load := range r.peers {
			total += load.Requests
		}
	}
	return total
}

// OwnLoads returns what this VM has under way at engines, by replica.
func (b *Board) OwnLoads() map[string]Load {
	loads := map[string]Load{}
	for id, r := range b.replicas {
		if r.Stage != StageNone && r.own != (Load{}) {
			loads[id] = r.own
		}
	}
	return loads
}

// Failed notes that a replica failed a request, or could not be reached, and returns for how long it is passed over.
func (b *Board) Failed(now time.Time, id string, unreachable bool) time.Duration {
	if r := b.replicas[id]; r != nil {
		return r.failed(now, unreachable)
	}
	return 0
}

// Replaced notes that another replica answers at the address of one. Its entry outlives it by some heartbeats.
func (b *Board) Replaced(id string) {
	if r := b.replicas[id]; r != nil {
		r.replaced = true
	}
}

// ReplacedIDs returns the listed replicas at whose addresses others answer.
func (b *Board) ReplacedIDs() []string {
	var ids []string
	for _, id := range slices.Sorted(maps.Keys(b.replicas)) {
		if b.replicas[id].replaced {
			ids = append(ids, id)
		}
	}
	return ids
}

// candidates returns the replicas of a pool and stage that may get work. Those that fail, and those to avoid, are
// left out as long as others are left.
func (b *Board) candidates(now time.Time, pool string, stage Stage, avoid []string) []*replica {
	var usable, rest []*replica
	for _, r := range b.pools[pool] {
		if r.Stage != stage || !r.lastResort() || slices.Contains(avoid, r.ID) {
			continue
		}
		if r.usable(now) {
			usable = append(usable, r)
		} else {
			rest = append(rest, r)
		}
	}
	if len(usable) > 0 {
		return usable
	}
	return rest
}

// PickService chooses a replica of a service: the one with the least expected wait among those that are not to be
// avoided. Release must be called when the call has ended.
func (b *Board) PickService(now time.Time, pool string, avoid []string) (Replica, bool) {
	var best *replica
	bestWait := 0.0
	for _, r := range b.candidates(now, pool, StageNone, avoid) {
		wait := r.latency * float64(r.load().Requests+1) * (1 + tieBreak*b.random())
		if r.Zone != b.zone {
			wait += zoneDetour.Seconds()
		}
		if best == nil || wait < bestWait {
			best, bestWait = r, wait
		}
	}
	if best == nil {
		return Replica{}, false
	}
	best.own.add(1, 0)
	return best.Replica, true
}

// ReleaseService ends a call to a service. took is the time to a good answer, or 0.
func (b *Board) ReleaseService(id string, took time.Duration) {
	r := b.replicas[id]
	if r == nil || r.own.Requests == 0 {
		return
	}
	r.own.add(-1, 0)
	if took > 0 {
		r.succeeded()
		r.learnLatency(took)
	}
}

// Package roster tracks cluster membership from the platform's list of VMs, which may be stale, and from
// heartbeats.
//
// It decides which VMs are alive, which VM ranks first for a job and until when the replicated state is
// fresh. Only freshness affects correctness: a wrong answer to the other questions costs time and nothing
// else. The package does no I/O.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Member is a VM on the platform's list.
type Member struct {
	VM               string
	PeerAddress      string
	AvailabilityZone string
	Leaving          bool
}

// Heartbeat is a VM's report of its own state.
type Heartbeat struct {
	VM          string
	Incarnation string
	// NextOffset is the offset of the first log entry that the VM has not applied.
	NextOffset uint64
	// LogAge is the time since the VM last read the head of the log.
	LogAge time.Duration
	// Ready is set if the VM holds the replicated state.
	Ready bool
	// Draining is set if the VM is shutting down and takes no new jobs.
	Draining bool
	// Withdrawn lists the key withdrawals that are not in the log yet.
	Withdrawn []Withdrawal
}

// Withdrawal names a key that must be rejected and the operator who withdrew it.
type Withdrawal struct {
	Key   string
	Actor string
}

type peerState struct {
	heartbeat           Heartbeat
	heardAt             time.Time
	connectionRefusedAt time.Time
}

// Roster is the cluster membership as seen by one VM. It is not safe for concurrent use.
type Roster struct {
	self          Heartbeat
	freshness     time.Duration
	deadAfter     time.Duration
	suspectAfter  time.Duration
	frequentPeers map[string]bool
	members       []Member
	memberNames   map[string]bool
	listRead      bool
	peers         map[string]peerState
	logReadAt     time.Time
}

// Option configures a new Roster.
type Option func(*Roster)

// WithFreshness sets the age after which the replicated state is stale.
func WithFreshness(d time.Duration) Option { return func(r *Roster) { r.freshness = d } }

// WithDeadAfter sets the time without a heartbeat after which a peer counts as dead.
func WithDeadAfter(d time.Duration) Option { return func(r *Roster) { r.deadAfter = d } }

// WithSuspectAfter sets the time without a heartbeat after which a peer set by SetFrequentPeers is not chosen for
// jobs.
func WithSuspectAfter(d time.Duration) Option { return func(r *Roster) { r.suspectAfter = d } }

// SetFrequentPeers sets the VMs that send frequent heartbeats. Only these become suspect after a short silence.
func (r *Roster) SetFrequentPeers(vms map[string]bool) { r.frequentPeers = vms }

// New returns a roster for a VM that has no peers yet.
func New(vm, incarnation string, opts ...Option) *Roster {
	r := &Roster{self: Heartbeat{VM: vm, Incarnation: incarnation}, freshness: 2 * time.Second, deadAfter: 1500 * time.Millisecond,
		suspectAfter: 600 * time.Millisecond, peers: map[string]peerState{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetMembers replaces the members with the platform's list.
func (r *Roster) SetMembers(members []Member) {
	r.members = slices.Clone(members)
	slices.SortFunc(r.members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	r.memberNames = map[string]bool{}
	for _, m := range members {
		r.memberNames[m.VM] = true
	}
	r.listRead = true
}

// ListRead reports whether the platform's list has been read.
func (r *Roster) ListRead() bool { return r.listRead }

// Peers returns the other VMs on the list.
func (r *Roster) Peers() []Member {
	var peers []Member
	for _, m := range r.members {
		if m.VM != r.self.VM {
			peers = append(peers, m)
		}
	}
	return peers
}

// IsListed reports whether a VM is on the platform's list.
func (r *Roster) IsListed(vm string) bool {
	return r.memberNames[vm]
}

// RecordHeartbeat records a heartbeat. at is the time at which the exchange was started, so that the heartbeat's age
// is never underestimated. A heartbeat older than the recorded one is ignored.
func (r *Roster) RecordHeartbeat(h Heartbeat, at time.Time) {
	known := r.peers[h.VM]
	if at.Before(known.heardAt) {
		return
	}
	r.peers[h.VM] = peerState{heartbeat: h, heardAt: at}
}

// RecordConnectionRefused records that the address of a VM refused a connection, which means that its process is not
// running.
func (r *Roster) RecordConnectionRefused(vm string, at time.Time) {
	p := r.peers[vm]
	p.connectionRefusedAt = at
	r.peers[vm] = p
}

// RecordLogRead records that the head of the log was read. at is the time at which the read was sent.
func (r *Roster) RecordLogRead(at time.Time) {
	if at.After(r.logReadAt) {
		r.logReadAt = at
	}
}

// LogAge returns the time since the head of the log was read.
func (r *Roster) LogAge(now time.Time) time.Duration { return now.Sub(r.logReadAt) }

// PeerHeartbeat returns the last heartbeat of a VM and its age. It returns false if none was received.
func (r *Roster) PeerHeartbeat(vm string, now time.Time) (Heartbeat, time.Duration, bool) {
	p, ok := r.peers[vm]
	return p.heartbeat, now.Sub(p.heardAt), ok && !p.heardAt.IsZero()
}

// Alive returns the listed VMs that are alive, this one included, sorted by name.
func (r *Roster) Alive(now time.Time) []string {
	alive := []string{r.self.VM}
	for _, m := range r.Peers() {
		if r.isAlive(m.VM, now) {
			alive = append(alive, m.VM)
		}
	}
	slices.Sort(alive)
	return alive
}

// isSuspect reports whether a VM that sends frequent heartbeats has been silent for suspectAfter.
func (r *Roster) isSuspect(vm string, now time.Time) bool {
	return vm != r.self.VM && r.frequentPeers[vm] && !r.heardWithin(vm, r.suspectAfter, now)
}

func (r *Roster) isAlive(vm string, now time.Time) bool { return r.heardWithin(vm, r.deadAfter, now) }

func (r *Roster) heardWithin(vm string, limit time.Duration, now time.Time) bool {
	p, ok := r.peers[vm]
	return ok && p.connectionRefusedAt.Before(p.heardAt) && now.Sub(p.heardAt) < limit
}

// IsDead reports whether an incarnation of a VM has presumably ended: a heartbeat of another incarnation
// was received, the address refused a connection, the VM is not on the list, or it has been silent for the
// time set by WithDeadAfter.
func (r *Roster) IsDead(vm, incarnation string, now time.Time) bool {
	if vm == r.self.VM {
		return incarnation != r.self.Incarnation
	}
	p, ok := r.peers[vm]
	if !ok {
		return r.listRead && !r.IsListed(vm)
	}
	otherIncarnation := p.heartbeat.Incarnation != "" && p.heartbeat.Incarnation != incarnation
	return otherIncarnation || !r.IsListed(vm) || !r.isAlive(vm, now)
}

// PreferredVM returns the VM that ranks first for a job, by rendezvous hashing over the live VMs that are ready
// and neither draining nor suspect. If there are none, it returns this VM. It reacts to silence sooner than
// IsDead, because a wrong answer costs little.
func (r *Roster) PreferredVM(job string, now time.Time) string {
	var candidates []string
	for _, vm := range r.Alive(now) {
		h := r.peers[vm].heartbeat
		if vm == r.self.VM {
			h = r.self
		}
		if h.Ready && !h.Draining && !r.isSuspect(vm, now) {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		return r.self.VM
	}
	return rendezvous.New(candidates, xxhash.Sum64String).Lookup(job)
}

// SetSelf sets this VM's own state, which PreferredVM uses.
func (r *Roster) SetSelf(ready, draining bool) { r.self.Ready, r.self.Draining = ready, draining }

// FreshUntil returns the time until which this VM, whose state includes the log entries before next, is
// known to have every accepted change that is older than the freshness limit.
//
// A change is accepted when a VM has read it back from the log. The state is therefore fresh if this VM
// read the head of the log recently, or if every other VM recently reported that it had read no further.
// A VM whose address refuses connections is not running and cannot have accepted a change.
func (r *Roster) FreshUntil(now time.Time, next uint64) time.Time {
	freshByLog := r.logReadAt.Add(r.freshness)
	if !r.listRead {
		return freshByLog
	}
	freshByPeers := now.Add(r.freshness)
	for _, m := range r.Peers() {
		freshByPeers = earlier(freshByPeers, r.lastNotAheadAt(m.VM, next).Add(r.freshness))
	}
	for vm := range r.peers {
		if !r.IsListed(vm) && r.isAlive(vm, now) {
			freshByPeers = earlier(freshByPeers, r.lastNotAheadAt(vm, next).Add(r.freshness))
		}
	}
	if freshByPeers.After(freshByLog) {
		return freshByPeers
	}
	return freshByLog
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// lastNotAheadAt returns the last time at which a VM is known to have read the log no further than next, or
// the zero time if it has read further.
func (r *Roster) lastNotAheadAt(vm string, next uint64) time.Time {
	p := r.peers[vm]
	if p.connectionRefusedAt.After(p.heardAt) {
		return p.connectionRefusedAt
	}
	if p.heartbeat.NextOffset > next {
		return time.Time{}
	}
	return p.heardAt
}

// MostAdvancedPeer returns the live and ready VM that has applied most of the log. It returns false if no such VM is
// ahead of next.
func (r *Roster) MostAdvancedPeer(now time.Time, next uint64) (string, bool) {
	best := ""
	for vm, p := range r.peers {
		if p.heartbeat.Ready && p.heartbeat.NextOffset > next && r.isAlive(vm, now) {
			best, next = vm, p.heartbeat.NextOffset
		}
	}
	return best, best != ""
}

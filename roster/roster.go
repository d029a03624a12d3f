// Package roster keeps which VMs take part, from the platform's lagging list and from heartbeats.
//
// It decides who is alive, who ranks first for a job and whether the agreed state is fresh. All its
// answers but freshness are hints: a wrong one costs time. The package does no input or output.
package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Member is one VM on the platform's list.
type Member struct {
	VM               string
	PeerAddress      string
	AvailabilityZone string
	Leaving          bool
}

// Heartbeat is what a VM says of itself.
type Heartbeat struct {
	VM          string
	Incarnation string
	// Next is the offset of the first log entry that the VM has not folded.
	Next uint64
	// LogAge is how long ago the VM last read the head of the log.
	LogAge time.Duration
	// Ready says that the VM holds the agreed state.
	Ready bool
	// Draining says that the VM is shutting down and takes no new jobs.
	Draining bool
	// Withdrawn lists the withdrawals that are not in the log yet.
	Withdrawn []Withdrawal
}

// Withdrawal is a key that must be refused, and the operator who withdrew it.
type Withdrawal struct {
	Key   string
	Actor string
}

type peer struct {
	heartbeat Heartbeat
	heardAt   time.Time
	refusedAt time.Time
}

// Roster is the membership as one VM sees it. It is not safe for concurrent use.
type Roster struct {
	self      Heartbeat
	freshness time.Duration
	dead      time.Duration
	suspect   time.Duration
	watched   map[string]bool
	list      []Member
	onList    map[string]bool
	listed    bool
	peers     map[string]peer
	logReadAt time.Time
}

// Option changes a new Roster.
type Option func(*Roster)

// WithFreshness sets the age after which the agreed state is not trusted.
func WithFreshness(d time.Duration) Option { return func(r *Roster) { r.freshness = d } }

// WithDeadAfter sets the silence after which a peer is taken for dead.
func WithDeadAfter(d time.Duration) Option { return func(r *Roster) { r.dead = d } }

// WithSuspectAfter sets the silence after which a peer is passed over for jobs.
func WithSuspectAfter(d time.Duration) Option { return func(r *Roster) { r.suspect = d } }

// Watch names the VMs that are heard often, so that a short silence of theirs says something.
func (r *Roster) Watch(vms map[string]bool) { r.watched = vms }

// New returns a roster that knows only its own VM.
func New(vm, incarnation string, opts ...Option) *Roster {
	r := &Roster{self: Heartbeat{VM: vm, Incarnation: incarnation}, freshness: 2 * time.Second, dead: 1500 * time.Millisecond,
		suspect: 600 * time.Millisecond, peers: map[string]peer{}}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// SetList takes the platform's list.
func (r *Roster) SetList(members []Member) {
	r.list = slices.Clone(members)
	slices.SortFunc(r.list, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	r.onList = map[string]bool{}
	for _, m := range members {
		r.onList[m.VM] = true
	}
	r.listed = true
}

// Listed reports whether the platform's list has been read.
func (r *Roster) Listed() bool { return r.listed }

// Peers returns the other VMs on the list.
func (r *Roster) Peers() []Member {
	var peers []Member
	for _, m := range r.list {
		if m.VM != r.self.VM {
			peers = append(peers, m)
		}
	}
	return peers
}

// OnList reports whether the platform's list has a VM.
func (r *Roster) OnList(vm string) bool {
	return r.onList[vm]
}

// Heard takes a heartbeat. at is the time at which its exchange was started, so that its age is
// never underestimated.
func (r *Roster) Heard(h Heartbeat, at time.Time) {
	known := r.peers[h.VM]
	if at.Before(known.heardAt) {
		return
	}
	r.peers[h.VM] = peer{heartbeat: h, heardAt: at}
}

// Refused notes that the address of a VM refused the connection: its process is not running.
func (r *Roster) Refused(vm string, at time.Time) {
	p := r.peers[vm]
	p.refusedAt = at
	r.peers[vm] = p
}

// LogRead notes that the head of the log was read. at is when the read was sent.
func (r *Roster) LogRead(at time.Time) {
	if at.After(r.logReadAt) {
		r.logReadAt = at
	}
}

// LogAge returns the time since the head of the log was read.
func (r *Roster) LogAge(now time.Time) time.Duration { return now.Sub(r.logReadAt) }

// PeerHeartbeat returns the last heartbeat of a VM and its age.
func (r *Roster) PeerHeartbeat(vm string, now time.Time) (Heartbeat, time.Duration, bool) {
	p, ok := r.peers[vm]
	return p.heartbeat, now.Sub(p.heardAt), ok && !p.heardAt.IsZero()
}

// Alive returns the VMs that take part, this one included, in name order.
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

// isSuspect reports whether a VM that is heard often has been silent for a moment.
func (r *Roster) isSuspect(vm string, now time.Time) bool {
	return vm != r.self.VM && r.watched[vm] && !r.wasHeard(vm, r.suspect, now)
}

func (r *Roster) isAlive(vm string, now time.Time) bool { return r.wasHeard(vm, r.dead, now) }

func (r *Roster) wasHeard(vm string, limit time.Duration, now time.Time) bool {
	p, ok := r.peers[vm]
	return ok && p.refusedAt.Before(p.heardAt) && now.Sub(p.heardAt) < limit
}

// IsDead reports whether a run of a VM's process is over, as far as can be told: another run was
// heard, the address refused a connection, the list dropped the VM, or it has been silent.
func (r *Roster) IsDead(vm, incarnation string, now time.Time) bool {
	if vm == r.self.VM {
		return incarnation != r.self.Incarnation
	}
	p, ok := r.peers[vm]
	if !ok {
		return r.listed && !r.OnList(vm)
	}
	otherRun := p.heartbeat.Incarnation != "" && p.heartbeat.Incarnation != incarnation
	return otherRun || !r.OnList(vm) || !r.isAlive(vm, now)
}

// First returns the VM that ranks first for a job, by rendezvous hashing over the ready VMs without
// those that are suspect. It changes sooner than IsDead, since a wrong answer costs little.
func (r *Roster) First(job string, now time.Time) string {
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

// SetSelf notes the VM's own state for First.
func (r *Roster) SetSelf(ready, draining bool) { r.self.Ready, r.self.Draining = ready, draining }

// FreshUntil returns the time until which no accepted change older than the freshness limit can be
// unknown here, as far as is known now.
//
// A change is accepted when a VM has read it back from the log. So the state is fresh if this VM read
// the head of the log recently, or if every other VM recently said that it had read no further.
// A VM whose address refuses connections is not running and cannot have accepted anything.
func (r *Roster) FreshUntil(now time.Time, next uint64) time.Time {
	byLog := r.logReadAt.Add(r.freshness)
	if !r.listed {
		return byLog
	}
	byPeers := now.Add(r.freshness)
	for _, m := range r.Peers() {
		byPeers = earlier(byPeers, r.knowsNoMore(m.VM, next).Add(r.freshness))
	}
	for vm := range r.peers {
		if !r.OnList(vm) && r.isAlive(vm, now) {
			byPeers = earlier(byPeers, r.knowsNoMore(vm, next).Add(r.freshness))
		}
	}
	if byPeers.After(byLog) {
		return byPeers
	}
	return byLog
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// knowsNoMore returns the last time at which a VM is known to have read no further than next.
func (r *Roster) knowsNoMore(vm string, next uint64) time.Time {
	p := r.peers[vm]
	if p.refusedAt.After(p.heardAt) {
		return p.refusedAt
	}
	if p.heartbeat.Next > next {
		return time.Time{}
	}
	return p.heardAt
}

// Ahead returns the live VM that has folded most of the log, if it is ahead of next.
func (r *Roster) Ahead(now time.Time, next uint64) (string, bool) {
	best := ""
	for vm, p := range r.peers {
		if p.heartbeat.Ready && p.heartbeat.Next > next && r.isAlive(vm, now) {
			best, next = vm, p.heartbeat.Next
		}
	}
	return best, best != ""
}

package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxColdPeriod bounds how long a replica counts as cold, whatever it says.
	maxColdPeriod = time.Minute
	// coldUtilization is the fraction of what cold replicas tolerate that is divided among the VMs. The rest covers VMs
	// whose lists of members differ while some are added.
	coldUtilization = 0.9
	// coldSenderFraction is the number of VMs that may send to a cold replica, as a fraction of the arrivals that it
	// tolerates in one second. Each of them may send one request at once, and more at its rate.
	coldSenderFraction = 0.4
	// spacedShare is a rate, in requests per second, at which a bucket of one request never allows two within a second.
	spacedShare = 0.9
)

// ColdTolerance is how many arrivals replicas tolerate while they are cold, beyond the rate that is declared for them: in
// any second, Overrun times that rate plus Slack requests.
type ColdTolerance struct {
	Overrun, Slack float64
}

// ColdLimits keeps the requests that this VM sends to cold replicas, which have just started, within its share of what they
// tolerate from all VMs together.
//
// Of all members of the fleet, heard or not, as many have an equal share as the tolerance has room for, by rendezvous
// hashing, and the others send none. A share is a bucket of one request that starts empty. So in any second all VMs together
// send at most one request for each share and the sum of the rates, which holds without any message, also if VMs are
// cut off, frozen, lost or restarted. A VM that does not know the members has no share.
// It is not safe for concurrent use.
type ColdLimits struct {
	self      string
	tolerance ColdTolerance
	// members holds the names of the other VMs. known is whether it is complete.
	members  []string
	known    bool
	replicas map[string]*coldReplica
}

// coldReplica is a replica that is cold until a point in time.
type coldReplica struct {
	until time.Time
	// tolerated is the number of requests per second that the replica is declared to take.
	tolerated float64
	// share is this VM's number of requests per second. starts limits the requests that it starts for the replica, and
	// sends those that it sends after other work, at a moment that is not known when they are started.
	share         float64
	starts, sends requestBucket
}

// requestBucket is a token bucket that holds at most one request and starts empty.
type requestBucket struct {
	level      float64
	refilledAt time.Time
}

func (b *requestBucket) refill(now time.Time, rate float64) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.level = math.Min(b.level+rate*elapsed.Seconds(), 1)
		b.refilledAt = now
	}
}

// NewColdLimits returns limits without replicas for the VM self.
func NewColdLimits(self string, tolerance ColdTolerance) *ColdLimits {
	return &ColdLimits{self: self, tolerance: tolerance, replicas: map[string]*coldReplica{}}
}

// SetTolerance sets what cold replicas tolerate. It must be called before any is observed.
func (l *ColdLimits) SetTolerance(tolerance ColdTolerance) { l.tolerance = tolerance }

// SetMembers sets the names of the other VMs, also of those that are not heard. known is whether they are all.
func (l *ColdLimits) SetMembers(now time.Time, names []string, known bool) {
	if known == l.known && slices.Equal(names, l.members) {
		return
	}
	l.members, l.known = names, known
	for id, r := range l.replicas {
		l.updateShare(now, id, r)
	}
}

// Observe records that a replica, which takes tolerated requests per second while it is cold, is cold for a further period.
// It reports whether it was not known to be cold. A tolerated rate of 0 means that it has no limit.
func (l *ColdLimits) Observe(now time.Time, id string, remaining time.Duration, tolerated float64) bool {
	if remaining <= 0 || tolerated <= 0 {
		return false
	}
	until := now.Add(min(remaining, maxColdPeriod))
	r := l.replicas[id]
	if r == nil {
		r = &coldReplica{until: until, tolerated: tolerated, starts: requestBucket{refilledAt: now}, sends: requestBucket{refilledAt: now}}
		l.replicas[id] = r
		l.updateShare(now, id, r)
		return true
	}
	if until.After(r.until) {
		r.until = until
	}
	if tolerated != r.tolerated {
		r.tolerated = tolerated
		l.updateShare(now, id, r)
	}
	return false
}

// updateShare computes this VM's share of what a replica tolerates. Whoever has a new share begins with empty buckets.
func (l *ColdLimits) updateShare(now time.Time, id string, r *coldReplica) {
	r.starts.refill(now, r.share)
	r.sends.refill(now, r.share)
	share := l.shareOf(id, r.tolerated)
	if r.share == 0 {
		r.starts.level, r.sends.level = 0, 0
	}
	r.share = share
}

// shareOf returns this VM's requests per second to a cold replica. With n senders and a share of s each, the replica gets at
// most n + n s requests in one second, and at most n if s is below 1.
func (l *ColdLimits) shareOf(id string, tolerated float64) float64 {
	if !l.known {
		return 0
	}
	arrivals := coldUtilization * (tolerated*l.tolerance.Overrun + l.tolerance.Slack)
	senders := min(max(1, int(coldSenderFraction*arrivals)), len(l.members)+1)
	if rank(id, l.self, l.members) >= senders {
		return 0
	}
	return math.Min(math.Max(arrivals/float64(senders)-1, spacedShare), tolerated/float64(senders))
}

// rank returns the number of other members that come before self in the rendezvous order of a replica.
func rank(replica, self string, others []string) int {
	weight := func(vm string) uint64 { return xxhash.Sum64String(replica + "/" + vm) }
	own, before := weight(self), 0
	for _, vm := range others {
		if cmp.Or(cmp.Compare(weight(vm), own), cmp.Compare(vm, self)) < 0 {
			before++
		}
	}
	return before
}

// cold returns the state of a replica if it is cold now, or nil.
func (l *ColdLimits) cold(now time.Time, id string) *coldReplica {
	r := l.replicas[id]
	if r == nil || !now.Before(r.until) {
		return nil
	}
	return r
}

// Share returns this VM's requests per second to a replica, and whether the replica is cold.
func (l *ColdLimits) Share(now time.Time, id string) (share float64, cold bool) {
	if r := l.cold(now, id); r != nil {
		return r.share, true
	}
	return 0, false
}

// AllowsStart reports whether this VM may start a request for a replica now, and AllowsSend whether it may send one that it
// has started. They are counted separately, since other work may lie between.
func (l *ColdLimits) AllowsStart(now time.Time, id string) bool {
	r := l.cold(now, id)
	if r == nil {
		return true
	}
	r.starts.refill(now, r.share)
	return r.starts.level >= 1
}

// SpendStart counts a request that is started.
func (l *ColdLimits) SpendStart(now time.Time, id string) {
	if r := l.cold(now, id); r != nil {
		r.starts.refill(now, r.share)
		r.starts.level--
	}
}

// TakeSend counts a request that is sent now, or returns false if it would exceed this VM's share.
func (l *ColdLimits) TakeSend(now time.Time, id string) bool {
	r := l.cold(now, id)
	if r == nil {
		return true
	}
	r.sends.refill(now, r.share)
	if r.sends.level < 1 {
		return false
	}
	r.sends.level--
	return true
}

// Remaining returns how much longer the cold replicas are cold, by ID.
func (l *ColdLimits) Remaining(now time.Time) map[string]time.Duration {
	remaining := map[string]time.Duration{}
	for id, r := range l.replicas {
		if left := r.until.Sub(now); left > 0 {
			remaining[id] = left
		}
	}
	return remaining
}

// Expire drops the replicas that are no longer cold, and returns their IDs.
func (l *ColdLimits) Expire(now time.Time) []string {
	var ended []string
	for id, r := range l.replicas {
		if !now.Before(r.until) {
			delete(l.replicas, id)
			ended = append(ended, id)
		}
	}
	slices.Sort(ended)
	return ended
}

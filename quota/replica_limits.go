package quota

import (
	"slices"
	"time"
)

const (
	// limitExpiry is the time without a further answer after which a limit is dropped.
	limitExpiry = 15 * time.Second
	// limitEndAnswers is the number of answers in a row without a limit that end it.
	limitEndAnswers = 2
	// limitBurstPeriod is the time for which unused requests of a share are kept, if that is more than one request.
	limitBurstPeriod = 500 * time.Millisecond
)

// LimitReport is what one VM last heard of the limit of a replica: the requests per second that it takes from all VMs
// together, or 0 if it has ended, and the time since then.
type LimitReport struct {
	Limit float64
	Age   time.Duration
}

// limitObservation is a LimitReport with the time of the answer.
type limitObservation struct {
	limit float64
	at    time.Time
}

// ReplicaLimits keeps the requests that this VM sends to a replica within its share of the limit that the replica names.
//
// A limit is divided over as few VMs as can use it: with a limit of L requests per second, 1 + ⌊L⌋ VMs have an equal share
// each, and the others send none. So all VMs together send at most 1 + 5 L requests in 4 s, and need no reports to keep to
// it. The VMs are chosen by rendezvous hashing, so that a change of members moves few shares.
// It is not safe for concurrent use.
type ReplicaLimits struct {
	self string
	// peers holds the names of the other VMs that send requests.
	peers []string
	// observations holds what each VM last heard, by VM and replica.
	observations map[string]map[string]limitObservation
	// unnamed counts the answers in a row that named no limit, by replica.
	unnamed map[string]int
	// shares holds this VM's requests per second to each replica with a limit.
	shares  map[string]float64
	buckets *Limiter
}

// NewReplicaLimits returns limits without replicas for the VM self.
func NewReplicaLimits(self string) *ReplicaLimits {
	return &ReplicaLimits{self: self, observations: map[string]map[string]limitObservation{}, unnamed: map[string]int{}, shares: map[string]float64{}, buckets: NewLimiter()}
}

// SetPeers sets the names of the other VMs that send requests.
func (l *ReplicaLimits) SetPeers(now time.Time, names []string) {
	if slices.Equal(l.peers, names) {
		return
	}
	l.peers = names
	l.update(now)
}

// Observe records the limit that an answer named, or 0 if it named none. sentAt is when its request was sent: an answer
// to an earlier request than the one that told of the limit does not end it.
func (l *ReplicaLimits) Observe(now time.Time, replica string, limit float64, sentAt time.Time) {
	if limit == 0 {
		current := l.current(now, replica)
		if current.limit == 0 || !sentAt.After(current.at) {
			return
		}
		l.unnamed[replica]++
		if l.unnamed[replica] < limitEndAnswers {
			return
		}
	}
	delete(l.unnamed, replica)
	own := l.observations[l.self]
	if own == nil {
		own = map[string]limitObservation{}
		l.observations[l.self] = own
	}
	own[replica] = limitObservation{limit, now}
	l.update(now)
}

// SetPeerReports replaces what another VM has heard, by replica.
func (l *ReplicaLimits) SetPeerReports(now time.Time, vm string, reports map[string]LimitReport) {
	if len(reports) == 0 && l.observations[vm] == nil {
		return
	}
	heard := map[string]limitObservation{}
	for replica, report := range reports {
		heard[replica] = limitObservation{report.Limit, now.Add(-report.Age)}
	}
	l.observations[vm] = heard
	l.update(now)
}

// Reports returns what this VM has heard, by replica.
func (l *ReplicaLimits) Reports(now time.Time) map[string]LimitReport {
	reports := map[string]LimitReport{}
	for replica, o := range l.observations[l.self] {
		if age := now.Sub(o.at); age < limitExpiry {
			reports[replica] = LimitReport{Limit: o.limit, Age: age}
		}
	}
	return reports
}

// current returns the newest observation of any VM, or one without a limit.
func (l *ReplicaLimits) current(now time.Time, replica string) limitObservation {
	var newest limitObservation
	for _, heard := range l.observations {
		if o, found := heard[replica]; found && now.Sub(o.at) < limitExpiry && o.at.After(newest.at) {
			newest = o
		}
	}
	return newest
}

// Expire drops what was heard too long ago.
func (l *ReplicaLimits) Expire(now time.Time) {
	expired := false
	for vm, heard := range l.observations {
		for replica, o := range heard {
			if now.Sub(o.at) >= limitExpiry {
				delete(heard, replica)
				expired = true
			}
		}
		if len(heard) == 0 {
			delete(l.observations, vm)
		}
	}
	if expired {
		l.update(now)
	}
}

// update computes this VM's shares anew.
func (l *ReplicaLimits) update(now time.Time) {
	clear(l.shares)
	limited := map[string]bool{}
	for _, heard := range l.observations {
		for replica := range heard {
			if limited[replica] {
				continue
			}
			if limit := l.current(now, replica).limit; limit > 0 {
				limited[replica] = true
				l.shares[replica] = l.share(replica, limit)
			}
		}
	}
	l.buckets.RetainAccounts(limited)
	for replica, share := range l.shares {
		if share > 0 {
			l.buckets.Configure(now, replica, Limits{Rate: share, Burst: max(1, share*limitBurstPeriod.Seconds())})
		}
	}
}

// share returns this VM's share of a limit, or 0 if it is not among the VMs over which the limit is divided.
func (l *ReplicaLimits) share(replica string, limit float64) float64 {
	senders := min(1+int(limit), len(l.peers)+1)
	if rank(replica, l.self, l.peers) >= senders {
		return 0
	}
	return limit / float64(senders)
}

// Limit returns the limit of a replica for all VMs together, or 0 if it has none.
func (l *ReplicaLimits) Limit(now time.Time, replica string) float64 {
	if len(l.observations) == 0 {
		return 0
	}
	return l.current(now, replica).limit
}

// Share returns this VM's share of the limit of a replica, in requests per second, and whether the replica has a limit.
func (l *ReplicaLimits) Share(replica string) (share float64, limited bool) {
	share, limited = l.shares[replica]
	return share, limited
}

// Allows reports whether this VM may send a request to a replica now.
func (l *ReplicaLimits) Allows(now time.Time, replica string) bool {
	share, limited := l.shares[replica]
	return !limited || share > 0 && l.buckets.Level(now, replica) >= 1
}

// Spend counts a request to a replica.
func (l *ReplicaLimits) Spend(now time.Time, replica string) {
	if _, limited := l.shares[replica]; limited {
		l.buckets.Spend(now, replica, 1)
	}
}

// Any reports whether any VM has heard of a limit lately.
func (l *ReplicaLimits) Any() bool { return len(l.observations) > 0 }

// Package quota implements a token bucket rate limiter for client accounts that is distributed over all VMs.
//
// Each VM keeps a local estimate of one global token bucket per account. It deducts its own admissions at once,
// and the admissions of other VMs when they report them. While a VM is silent, an even share of the rate is
// reserved for it, because it may still be admitting requests. A VM that has just started uses only an even share until it
// knows the levels of VMs that were running before, and none before it knows how many VMs there are. In any window of W seconds, all VMs together admit
// at most burst + rate × W tokens, plus what is admitted within one message delay. This also holds during a network
// partition, because the even shares of all partitions add up to the rate.
// The package performs no I/O, and callers pass in the current time.
package quota

import (
	"math"
	"time"
)

// unknownFleetWait is how long a request must wait that is refused because the number of VMs is not known.
const unknownFleetWait = time.Second

// maxDebtFraction limits how far a report from a VM that was silent can push a level below zero, as a fraction of the
// burst. An even share of the rate was already reserved for that VM while it was silent.
const maxDebtFraction = 0.25

// Limits are the rate limit of an account: Rate in tokens per second and Burst in tokens. A rate of 0 means unlimited.
type Limits struct {
	Rate  float64
	Burst float64
}

// bucket is the local estimate of the global token bucket of one account.
type bucket struct {
	account    string
	limits     Limits
	level      float64
	lastRefill time.Time
	// spent is the number of tokens that this VM has admitted since its process started.
	spent float64
}

// Limiter limits the rate of every client account. It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
	// peerCount is the number of other VMs, and silentCount the number of them that are silent.
	peerCount, silentCount int
	// spentByRun holds the spent tokens of other VMs that the levels already account for, by process run and account.
	spentByRun map[string]map[string]float64
	// startShare is the fraction of each burst that this VM has been given since it started. It stays as it is once levels
	// are adopted.
	startShare float64
	// fleetUnknown is whether the number of VMs is not known, so that this VM does not know its even share of any rate.
	fleetUnknown bool
	// adoptedLevels holds the levels reported by a VM that was already running when this one started, by account.
	// It is nil until such a report arrives.
	adoptedLevels map[string]float64
}

// NewLimiter returns a Limiter without accounts, for a VM that is alone.
func NewLimiter() *Limiter {
	return &Limiter{buckets: map[string]*bucket{}, spentByRun: map[string]map[string]float64{}, startShare: 1}
}

// SetStartShare sets the fraction of each burst that a VM that has just started may use: its own even share, and those of
// the VMs that it has heard and that started together with it. The others may have used theirs already, which their levels
// tell (see AdoptLevels). Once levels are adopted, it has no effect.
func (l *Limiter) SetStartShare(now time.Time, share float64) {
	if l.adoptedLevels != nil || share == l.startShare {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
		b.level = math.Min(b.level+(share-l.startShare)*b.limits.Burst, b.limits.Burst)
	}
	l.startShare = share
}

// SetFleetUnknown sets whether the number of VMs is not known. As long as it is not, no request of a limited account is
// admitted: this VM may be one of any number that have started together, and an unknown part of a rate is none.
func (l *Limiter) SetFleetUnknown(now time.Time, unknown bool) {
	if unknown == l.fleetUnknown {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	l.fleetUnknown = unknown
}

// Configure sets the limits of an account and reports whether they changed. A new account starts with the start share of
// its burst, or with the level adopted from another VM.
func (l *Limiter) Configure(now time.Time, account string, limits Limits) bool {
	b := l.buckets[account]
	if b == nil {
		b = &bucket{account: account, limits: limits, level: l.startShare * limits.Burst, lastRefill: now}
		l.buckets[account] = b
		b.adopt(l.adoptedLevels)
		return true
	}
	if b.limits == limits {
		return false
	}
	l.refill(now, b)
	burstIncrease := math.Max(0, limits.Burst-b.limits.Burst)
	b.limits = limits
	b.level = math.Min(b.level+burstIncrease, limits.Burst)
	return true
}

// RetainAccounts removes all accounts that are not in names.
func (l *Limiter) RetainAccounts(names map[string]bool) {
	for name := range l.buckets {
		if !names[name] {
			delete(l.buckets, name)
		}
	}
}

// SetPeerCounts sets the number of other VMs and how many of them are currently silent.
func (l *Limiter) SetPeerCounts(now time.Time, peerCount, silentCount int) {
	if peerCount == l.peerCount && silentCount == l.silentCount {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	l.peerCount, l.silentCount = peerCount, silentCount
}

// refillRate returns the rate in tokens per second at which the local estimate refills. An even share of the rate is
// reserved for each silent VM.
func (l *Limiter) refillRate(b *bucket) float64 {
	if l.fleetUnknown {
		return 0
	}
	return b.limits.Rate * float64(l.peerCount+1-l.silentCount) / float64(l.peerCount+1)
}

func (l *Limiter) refill(now time.Time, b *bucket) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.level = math.Min(b.level+l.refillRate(b)*elapsed.Seconds(), b.limits.Burst)
		b.lastRefill = now
	}
}

// Take admits a request that costs the given number of tokens, or returns how long the account must wait until enough
// tokens are available. It admits every request of an unknown or unlimited account.
func (l *Limiter) Take(now time.Time, account string, tokens float64) (wait time.Duration, ok bool) {
	b := l.buckets[account]
	if b == nil || b.limits.Rate <= 0 {
		return 0, true
	}
	if l.fleetUnknown {
		return unknownFleetWait, false
	}
	l.refill(now, b)
	if missing := tokens - b.level; missing > 0 {
		return time.Duration(missing / l.refillRate(b) * float64(time.Second)), false
	}
	b.level -= tokens
	b.spent += tokens
	return 0, true
}

// Spend deducts tokens that cannot be refused, which may put the account in debt.
func (l *Limiter) Spend(now time.Time, account string, tokens float64) {
	if b := l.buckets[account]; b != nil {
		l.refill(now, b)
		b.level -= tokens
		b.spent += tokens
	}
}

// Refund refunds the tokens of a request that was admitted but not executed.
func (l *Limiter) Refund(now time.Time, account string, tokens float64) {
	b := l.buckets[account]
	if b == nil || b.limits.Rate <= 0 {
		return
	}
	l.refill(now, b)
	b.level = math.Min(b.level+tokens, b.limits.Burst)
	b.spent -= tokens
}

// Level returns the number of tokens available to an account. It is negative while the account is in debt, and 0 for
// an unknown account.
func (l *Limiter) Level(now time.Time, account string) float64 {
	b := l.buckets[account]
	if b == nil {
		return 0
	}
	l.refill(now, b)
	return b.level
}

// Spent returns the tokens that this VM has admitted since its process started, by account. Accounts that spent
// nothing are omitted.
func (l *Limiter) Spent() map[string]float64 {
	spent := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.spent != 0 {
			spent[name] = b.spent
		}
	}
	return spent
}

// ApplyPeerSpent applies a report of the tokens that another VM has admitted since its process started. run identifies
// that run of the process. Accounts missing from spent count as 0. wasSilent reports whether the VM was silent before
// this report, in which case the resulting debt is limited.
func (l *Limiter) ApplyPeerSpent(now time.Time, run string, spent map[string]float64, wasSilent bool) {
	previous := l.spentByRun[run]
	l.spentByRun[run] = spent
	for account, b := range l.buckets {
		delta := spent[account] - previous[account]
		if delta == 0 {
			continue
		}
		l.refill(now, b)
		level := math.Min(b.level-delta, b.limits.Burst)
		if wasSilent {
			level = math.Max(level, math.Min(b.level, -maxDebtFraction*b.limits.Burst))
		}
		b.level = level
	}
}

// SetPeerBaseline records the tokens that a run of another VM's process had admitted before its first report to this
// VM. They are not deducted from the local levels: most were spent before this VM started, and adopted levels (see
// AdoptLevels) include them. The accounts need not be configured yet.
func (l *Limiter) SetPeerBaseline(run string, spent map[string]float64) { l.spentByRun[run] = spent }

// Levels returns the number of tokens available to each account.
func (l *Limiter) Levels(now time.Time) map[string]float64 {
	levels := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		l.refill(now, b)
		levels[name] = b.level
	}
	return levels
}

// AdoptLevels replaces the levels of this VM, which starts with a share of each burst, by those of a VM that was already
// running when this one started, less what this VM has spent since. Only the first call takes effect; later calls return
// false.
func (l *Limiter) AdoptLevels(levels map[string]float64) bool {
	if l.adoptedLevels != nil {
		return false
	}
	l.adoptedLevels = levels
	for _, b := range l.buckets {
		b.adopt(levels)
	}
	return true
}

// adopt replaces the level by the reported one, if there is one for the account. The reported level may include what this
// VM has spent, so the debt that results from it is limited.
func (b *bucket) adopt(levels map[string]float64) {
	if level, ok := levels[b.account]; ok {
		b.level = math.Min(math.Max(level-b.spent, math.Min(level, -maxDebtFraction*b.limits.Burst)), b.limits.Burst)
	}
}

// ForgetPeerRun discards the recorded spending of a run of another VM's process.
func (l *Limiter) ForgetPeerRun(run string) { delete(l.spentByRun, run) }

// Package quota keeps each client account within its rate on all VMs together.
//
// Every VM keeps an estimate of one bucket for each account that all VMs share. It takes from the estimate
// what it admits itself at once, and what other VMs admit as soon as they say so. For a VM that has not been
// heard, it takes the even share of the rate which that VM may be using. In any window of W seconds all VMs
// together admit at most burst + rate × W, plus what is admitted within the delay of one message, whichever
// way the VMs are cut off from each other: the even shares of parts that cannot hear each other add up to the rate.
// The package does no input or output; times are passed in.
package quota

import (
	"math"
	"time"
)

// maxDebtShare bounds, as a share of the burst, how far the news of a VM that had been silent can take an estimate below
// nothing: its even share has been left to it already.
const maxDebtShare = 0.25

// Terms are an account's rate in tokens a second and its burst in tokens. A rate of 0 sets no bound.
type Terms struct {
	Rate  float64
	Burst float64
}

// bucket is the estimate for one account.
type bucket struct {
	account string
	terms   Terms
	level   float64
	last    time.Time
	// spent counts the tokens that this VM has admitted since its start.
	spent float64
}

// Keeper holds the buckets of all accounts. It is not safe for concurrent use.
type Keeper struct {
	buckets map[string]*bucket
	// peers and silent are how many other VMs there are, and how many of them are not heard.
	peers, silent int
	// heard are the counts of other VMs' runs that have been taken from the levels, by run and account.
	heard map[string]map[string]float64
	// adopted are the levels that a VM said which had been running when this one started. Nil: none has.
	adopted map[string]float64
}

// NewKeeper returns a keeper without accounts.
func NewKeeper() *Keeper {
	return &Keeper{buckets: map[string]*bucket{}, heard: map[string]map[string]float64{}}
}

// Configure sets the terms of an account, and reports whether they are new. A new account starts with a full bucket, unless
// another VM's level was adopted.
func (k *Keeper) Configure(now time.Time, account string, terms Terms) bool {
	b := k.buckets[account]
	if b == nil {
		b = &bucket{account: account, terms: terms, level: terms.Burst, last: now}
		k.buckets[account] = b
		b.adopt(k.adopted)
		return true
	}
	if b.terms == terms {
		return false
	}
	k.refill(now, b)
	grown := math.Max(0, terms.Burst-b.terms.Burst)
	b.terms = terms
	b.level = math.Min(b.level+grown, terms.Burst)
	return true
}

// Retain forgets the accounts that are not among names.
func (k *Keeper) Retain(names map[string]bool) {
	for name := range k.buckets {
		if !names[name] {
			delete(k.buckets, name)
		}
	}
}

// SetPeers says how many other VMs take part, and how many of them have not been heard lately.
func (k *Keeper) SetPeers(now time.Time, peers, silent int) {
	if peers == k.peers && silent == k.silent {
		return
	}
	for _, b := range k.buckets {
		k.refill(now, b)
	}
	k.peers, k.silent = peers, silent
}

// inflow is the rate at which this VM's estimate fills, which leaves silent VMs their even shares.
func (k *Keeper) inflow(b *bucket) float64 {
	return b.terms.Rate * float64(k.peers+1-k.silent) / float64(k.peers+1)
}

func (k *Keeper) refill(now time.Time, b *bucket) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.level = math.Min(b.level+k.inflow(b)*elapsed.Seconds(), b.terms.Burst)
		b.last = now
	}
}

// Take admits a request of some tokens, or returns how long the account must wait for them.
func (k *Keeper) Take(now time.Time, account string, tokens float64) (wait time.Duration, ok bool) {
	b := k.buckets[account]
	if b == nil || b.terms.Rate <= 0 {
		return 0, true
	}
	k.refill(now, b)
	if missing := tokens - b.level; missing > 0 {
		return time.Duration(missing / k.inflow(b) * float64(time.Second)), false
	}
	b.level -= tokens
	b.spent += tokens
	return 0, true
}

// Return gives back tokens of a request that did not run.
func (k *Keeper) Return(now time.Time, account string, tokens float64) {
	b := k.buckets[account]
	if b == nil || b.terms.Rate <= 0 {
		return
	}
	k.refill(now, b)
	b.level = math.Min(b.level+tokens, b.terms.Burst)
	b.spent -= tokens
}

// Level returns the tokens that an account may use now.
func (k *Keeper) Level(now time.Time, account string) float64 {
	b := k.buckets[account]
	if b == nil {
		return 0
	}
	k.refill(now, b)
	return b.level
}

// Spent returns for each account what this VM has admitted since its start.
func (k *Keeper) Spent() map[string]float64 {
	spent := make(map[string]float64, len(k.buckets))
	for name, b := range k.buckets {
		if b.spent != 0 {
			spent[name] = b.spent
		}
	}
	return spent
}

// Heard takes what a run of another VM's process has admitted since its start, nothing for accounts that it does not name.
// late says that the VM had been silent.
func (k *Keeper) Heard(now time.Time, run string, spent map[string]float64, late bool) {
	before := k.heard[run]
	k.heard[run] = spent
	for account, b := range k.buckets {
		news := spent[account] - before[account]
		if news == 0 {
			continue
		}
		k.refill(now, b)
		level := math.Min(b.level-news, b.terms.Burst)
		if late {
			level = math.Max(level, math.Min(b.level, -maxDebtShare*b.terms.Burst))
		}
		b.level = level
	}
}

// Joined notes what a run of another VM's process had admitted before this VM heard it first, so that it is
// not taken from a bucket that has counted it already or never could. The accounts need not be known yet.
func (k *Keeper) Joined(run string, spent map[string]float64) { k.heard[run] = spent }

// Levels returns the tokens that each account may use now.
func (k *Keeper) Levels(now time.Time) map[string]float64 {
	levels := make(map[string]float64, len(k.buckets))
	for name, b := range k.buckets {
		k.refill(now, b)
		levels[name] = b.level
	}
	return levels
}

// Adopt takes the levels of a VM that had been running when this one started, in place of full buckets. Only the first
// ones count; it returns false for others.
func (k *Keeper) Adopt(levels map[string]float64) bool {
	if k.adopted != nil {
		return false
	}
	k.adopted = levels
	for _, b := range k.buckets {
		b.adopt(levels)
	}
	return true
}

func (b *bucket) adopt(levels map[string]float64) {
	if level, ok := levels[b.account]; ok {
		b.level = math.Min(b.level, level)
	}
}

// Left forgets the counts of a run of another VM's process.
func (k *Keeper) Left(run string) { delete(k.heard, run) }

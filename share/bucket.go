// Package share implements token buckets that divide a rate limit among VMs and lend unused tokens to each other.
//
// Each VM holds a Bucket with its share of the rate and the burst. A loan moves tokens together with the capacity that
// they occupy: the capacity of the lender's bucket is reduced until the loan ends. The tokens in all buckets and loans
// together therefore never exceed the burst, and the refill of all buckets together never exceeds the rate. Admissions
// in any window are at most burst + rate × window, even if messages are lost. The package performs no I/O. Callers pass
// in the current time, which must come from a single clock for each bucket.
package share

import (
	"math"
	"time"
)

// driftMargin is the time that a lender adds to the term of a loan to allow for clock drift between VMs.
const driftMargin = 50 * time.Millisecond

// Limits are the limits of one bucket: its share of the rate and the burst.
type Limits struct {
	// Rate is the refill rate in tokens per second.
	Rate float64
	// Cap is the maximum number of tokens that the bucket holds.
	Cap float64
}

// Loan is a number of tokens that the borrower may spend before Until, by the borrower's own clock.
type Loan struct {
	ID     string
	Lender string
	Amount float64
	Until  time.Time
}

// LoanReturn informs a lender that a loan has ended and how many of its tokens are left unspent.
type LoanReturn struct {
	ID     string
	Lender string
	Left   float64
}

// Reservation identifies the tokens reserved for one request. The zero value reserves nothing.
type Reservation struct {
	id    uint64
	Total float64
}

// reservationState is the bucket's record of an open reservation.
type reservationState struct {
	// ownTokens is the number of tokens taken from the bucket itself, not from loans.
	ownTokens float64
	// headroom is the smallest free capacity of the bucket since the reservation was made. Close returns at most this
	// many tokens to the bucket.
	headroom float64
	loans    []loanPart
}

// loanPart is the part of a reservation that was taken from one loan.
type loanPart struct {
	id     string
	amount float64
}

// lentLoan is the lender's record of a loan that has not ended.
type lentLoan struct {
	amount float64
	until  time.Time
}

// Bucket is a token bucket with one VM's share of a rate limit. It is not safe for concurrent use.
type Bucket struct {
	limits Limits
	level  float64
	// lastRefill is the time up to which tokens have accrued. WithRefillFrom can set it to a time in the future.
	lastRefill time.Time
	lent       map[string]lentLoan
	borrowed   map[string]Loan
	open       map[uint64]*reservationState
	nextID     uint64
}

// Option configures a new Bucket.
type Option func(*Bucket)

// WithFullBucket starts the bucket full. Use it only if no tokens of this share have been spent before.
func WithFullBucket() Option {
	return func(b *Bucket) { b.level = b.limits.Cap }
}

// WithRefillFrom delays the refill until the given time, by which all loans made by a previous run of the process must
// have ended.
func WithRefillFrom(at time.Time) Option {
	return func(b *Bucket) {
		if at.After(b.lastRefill) {
			b.lastRefill = at
		}
	}
}

// NewBucket returns a bucket that is empty unless an option says otherwise.
func NewBucket(limits Limits, now time.Time, opts ...Option) *Bucket {
	b := &Bucket{limits: limits, lastRefill: now, lent: map[string]lentLoan{}, borrowed: map[string]Loan{}, open: map[uint64]*reservationState{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// lentTotal returns the number of tokens in all lent loans, which occupy part of the bucket's capacity.
func (b *Bucket) lentTotal() float64 {
	total := 0.0
	for _, l := range b.lent {
		total += l.amount
	}
	return total
}

// capacity returns the part of Cap that is not occupied by lent loans.
func (b *Bucket) capacity() float64 { return math.Max(0, b.limits.Cap-b.lentTotal()) }

// refill removes expired loans, adds the tokens accrued since the last call and updates the headroom of open
// reservations.
func (b *Bucket) refill(now time.Time) {
	for id, loan := range b.borrowed {
		if !now.Before(loan.Until) {
			delete(b.borrowed, id)
		}
	}
	if now.After(b.lastRefill) {
		b.level += b.limits.Rate * now.Sub(b.lastRefill).Seconds()
		b.lastRefill = now
	}
	capacity := b.capacity()
	b.level = math.Min(b.level, capacity)
	for _, r := range b.open {
		r.headroom = math.Min(r.headroom, capacity-b.level)
	}
	// The capacity of expired loans is restored only after the refill, because it was not available during that time.
	for id, l := range b.lent {
		if !now.Before(l.until) {
			delete(b.lent, id)
		}
	}
}

// Available returns the number of tokens that can be taken, including borrowed ones.
func (b *Bucket) Available(now time.Time) float64 {
	b.refill(now)
	total := b.level
	for _, loan := range b.borrowed {
		total += loan.Amount
	}
	return total
}

// Take reserves n tokens, using borrowed tokens first. If fewer are available, it reserves nothing and returns false.
func (b *Bucket) Take(now time.Time, n float64) (Reservation, bool) {
	if b.Available(now) < n {
		return Reservation{}, false
	}
	r := &reservationState{}
	remaining := n
	for id, loan := range b.borrowed {
		part := math.Min(loan.Amount, remaining)
		if part <= 0 {
			continue
		}
		loan.Amount -= part
		remaining -= part
		b.borrowed[id] = loan
		r.loans = append(r.loans, loanPart{id: id, amount: part})
	}
	r.ownTokens = remaining
	b.level -= remaining
	r.headroom = b.capacity() - b.level
	b.nextID++
	b.open[b.nextID] = r
	return Reservation{id: b.nextID, Total: n}, true
}

// Close ends a reservation of which used tokens were spent. The unused tokens are returned only up to the amount that
// the bucket would still hold if they had never been taken. Returning more would allow a window to exceed the burst.
func (b *Bucket) Close(now time.Time, res Reservation, used float64) {
	b.refill(now)
	r, ok := b.open[res.id]
	if !ok {
		return
	}
	delete(b.open, res.id)
	unused := math.Max(0, res.Total-used)
	returnedOwn := math.Max(0, math.Min(unused, math.Min(r.ownTokens, r.headroom)))
	b.level += returnedOwn
	for _, other := range b.open {
		other.headroom = math.Max(0, other.headroom-returnedOwn)
	}
	remaining := unused - returnedOwn
	for _, part := range r.loans {
		returned := math.Min(remaining, part.amount)
		loan, active := b.borrowed[part.id]
		if !active || returned <= 0 {
			continue
		}
		loan.Amount += returned
		remaining -= returned
		b.borrowed[part.id] = loan
	}
}

// Lend lends up to want tokens for the given term, keeps at least keep tokens in the bucket, and returns the amount
// lent. It is idempotent: a repeated call with the same ID returns the same amount.
func (b *Bucket) Lend(now time.Time, id string, want, keep float64, term time.Duration) float64 {
	b.refill(now)
	if l, ok := b.lent[id]; ok {
		return l.amount
	}
	amount := math.Min(want, b.level-keep)
	if amount <= 0 {
		return 0
	}
	b.level -= amount
	b.lent[id] = lentLoan{amount: amount, until: now.Add(term + driftMargin)}
	return amount
}

// Settle ends a lent loan and returns its unspent tokens (left) to the bucket. It does nothing if the loan has expired
// or is already settled.
func (b *Bucket) Settle(now time.Time, id string, left float64) {
	b.refill(now)
	l, ok := b.lent[id]
	if !ok {
		return
	}
	delete(b.lent, id)
	b.level = math.Min(b.level+math.Max(0, math.Min(left, l.amount)), b.capacity())
}

// Borrow adds a loan. Its term must be counted from before the loan was requested, so that it expires no later here
// than at the lender.
func (b *Bucket) Borrow(now time.Time, loan Loan) {
	if loan.Amount > 0 && now.Before(loan.Until) {
		b.borrowed[loan.ID] = loan
	}
}

// HasLoans reports whether the bucket has borrowed loans that have not ended.
func (b *Bucket) HasLoans() bool { return len(b.borrowed) > 0 }

// EndLoans ends the borrowed loans that are used up, or all of them if idle is true. It returns the messages to send to
// the lenders.
func (b *Bucket) EndLoans(now time.Time, idle bool) []LoanReturn {
	b.refill(now)
	var returns []LoanReturn
	for id, loan := range b.borrowed {
		if idle || loan.Amount < 1e-9 {
			returns = append(returns, LoanReturn{ID: id, Lender: loan.Lender, Left: loan.Amount})
			delete(b.borrowed, id)
		}
	}
	return returns
}

// CanShrink reports whether the bucket can switch to smaller limits, which requires that the lent loans fit into the
// new Cap.
func (b *Bucket) CanShrink(now time.Time, limits Limits) bool {
	b.refill(now)
	return b.lentTotal() <= limits.Cap
}

// SetLimits changes the limits of the bucket. Tokens above the new capacity are discarded.
func (b *Bucket) SetLimits(now time.Time, limits Limits) {
	b.refill(now)
	b.limits = limits
	b.refill(now)
}

// Wait returns how long the refill takes until n tokens are available, or false if they never will be.
func (b *Bucket) Wait(now time.Time, n float64) (time.Duration, bool) {
	missing := n - b.Available(now)
	switch {
	case missing <= 0:
		return 0, true
	case b.limits.Rate <= 0, n > b.limits.Cap:
		return 0, false
	}
	return time.Duration(missing / b.limits.Rate * float64(time.Second)), true
}

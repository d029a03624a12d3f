// Package share divides a rate and burst over VMs, and lends unused parts between them.
//
// Each VM holds a Bucket with its part of the rate and of the burst. A loan moves tokens together
// with the room that they take: the lender's bucket is smaller until the loan has ended, so the
// tokens held by all buckets and loans together never exceed the burst, and inflow never exceeds the
// rate. Admissions in any window are therefore at most burst + rate × window, whatever messages are
// lost. The package does no input or output; times are passed in and must come from one clock for
// each bucket.
package share

import (
	"math"
	"time"
)

// driftMargin is added by lenders to the term of a loan, for clocks that run at different speeds.
const driftMargin = 50 * time.Millisecond

// Terms are the part of a rate and burst that one bucket holds.
type Terms struct {
	// Rate is in tokens a second.
	Rate float64
	// Cap is the most that the bucket holds, in tokens.
	Cap float64
}

// Loan is an amount of tokens that a borrower may spend until a time by its own clock.
type Loan struct {
	ID     string
	Lender string
	Amount float64
	Until  time.Time
}

// Return tells a lender that a loan has ended and how much of it was not spent.
type Return struct {
	ID     string
	Lender string
	Left   float64
}

// Reservation is what one request took. Its zero value took nothing.
type Reservation struct {
	id    uint64
	Total float64
}

type reservation struct {
	own float64
	// headroom is the least room that the bucket had since the reservation was made.
	headroom float64
	loans    []loanPart
}

type loanPart struct {
	id     string
	amount float64
}

type lent struct {
	amount float64
	until  time.Time
}

// Bucket holds one VM's part of a divisible quantity. It is not safe for concurrent use.
type Bucket struct {
	terms    Terms
	level    float64
	last     time.Time
	lent     map[string]lent
	borrowed map[string]Loan
	open     map[uint64]*reservation
	nextID   uint64
}

// Option changes a new Bucket.
type Option func(*Bucket)

// WithFull starts the bucket full. It is allowed only when nobody has spent from it before.
func WithFull() Option {
	return func(b *Bucket) { b.level = b.terms.Cap }
}

// WithInflowFrom delays all inflow until a time, so that loans made by a former run of the process
// have ended.
func WithInflowFrom(at time.Time) Option {
	return func(b *Bucket) {
		if at.After(b.last) {
			b.last = at
		}
	}
}

// NewBucket returns an empty bucket.
func NewBucket(terms Terms, now time.Time, opts ...Option) *Bucket {
	b := &Bucket{terms: terms, last: now, lent: map[string]lent{}, borrowed: map[string]Loan{}, open: map[uint64]*reservation{}}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

func (b *Bucket) lentTotal() float64 {
	total := 0.0
	for _, l := range b.lent {
		total += l.amount
	}
	return total
}

// limit is the room that is not taken by loans.
func (b *Bucket) limit() float64 { return math.Max(0, b.terms.Cap-b.lentTotal()) }

// refill ends lapsed loans, adds the inflow since the last call and notes the headroom.
func (b *Bucket) refill(now time.Time) {
	for id, loan := range b.borrowed {
		if !now.Before(loan.Until) {
			delete(b.borrowed, id)
		}
	}
	if now.After(b.last) {
		b.level += b.terms.Rate * now.Sub(b.last).Seconds()
		b.last = now
	}
	limit := b.limit()
	b.level = math.Min(b.level, limit)
	for _, r := range b.open {
		r.headroom = math.Min(r.headroom, limit-b.level)
	}
	// Room of a lapsed loan comes back after the inflow, since it was not there before.
	for id, l := range b.lent {
		if !now.Before(l.until) {
			delete(b.lent, id)
		}
	}
}

// Available returns how many tokens can be taken now.
func (b *Bucket) Available(now time.Time) float64 {
	b.refill(now)
	total := b.level
	for _, loan := range b.borrowed {
		total += loan.Amount
	}
	return total
}

// Take reserves n tokens, or returns false and reserves nothing. Borrowed tokens go first.
func (b *Bucket) Take(now time.Time, n float64) (Reservation, bool) {
	if b.Available(now) < n {
		return Reservation{}, false
	}
	r := &reservation{}
	rest := n
	for id, loan := range b.borrowed {
		part := math.Min(loan.Amount, rest)
		if part <= 0 {
			continue
		}
		loan.Amount -= part
		rest -= part
		b.borrowed[id] = loan
		r.loans = append(r.loans, loanPart{id: id, amount: part})
	}
	r.own = rest
	b.level -= rest
	r.headroom = b.limit() - b.level
	b.nextID++
	b.open[b.nextID] = r
	return Reservation{id: b.nextID, Total: n}, true
}

// Close ends a reservation of which used tokens were spent. The rest goes back as far as the bucket
// would have had room for it, had it never been taken; giving back more would let a window exceed
// the burst.
func (b *Bucket) Close(now time.Time, res Reservation, used float64) {
	b.refill(now)
	r, ok := b.open[res.id]
	if !ok {
		return
	}
	delete(b.open, res.id)
	unused := math.Max(0, res.Total-used)
	own := math.Max(0, math.Min(unused, math.Min(r.own, r.headroom)))
	b.level += own
	for _, other := range b.open {
		other.headroom = math.Max(0, other.headroom-own)
	}
	rest := unused - own
	for _, part := range r.loans {
		back := math.Min(rest, part.amount)
		loan, live := b.borrowed[part.id]
		if !live || back <= 0 {
			continue
		}
		loan.Amount += back
		rest -= back
		b.borrowed[part.id] = loan
	}
}

// Lend gives up to want tokens to a borrower for a term and keeps at least keep. A repeated call
// with the same ID returns the same amount.
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
	b.lent[id] = lent{amount: amount, until: now.Add(term + driftMargin)}
	return amount
}

// Settle ends a loan of which left tokens came back. A loan that has lapsed or was settled before
// changes nothing.
func (b *Bucket) Settle(now time.Time, id string, left float64) {
	b.refill(now)
	l, ok := b.lent[id]
	if !ok {
		return
	}
	delete(b.lent, id)
	b.level = math.Min(b.level+math.Max(0, math.Min(left, l.amount)), b.limit())
}

// Borrow adds a loan. Until must be counted from before the loan was asked for.
func (b *Bucket) Borrow(now time.Time, loan Loan) {
	if loan.Amount > 0 && now.Before(loan.Until) {
		b.borrowed[loan.ID] = loan
	}
}

// HasLoans reports whether the bucket holds borrowed tokens.
func (b *Bucket) HasLoans() bool { return len(b.borrowed) > 0 }

// EndLoans ends the loans that are spent, and all loans when idle is true, and returns what the
// lenders must be told.
func (b *Bucket) EndLoans(now time.Time, idle bool) []Return {
	b.refill(now)
	var returns []Return
	for id, loan := range b.borrowed {
		if idle || loan.Amount < 1e-9 {
			returns = append(returns, Return{ID: id, Lender: loan.Lender, Left: loan.Amount})
			delete(b.borrowed, id)
		}
	}
	return returns
}

// CanShrink reports whether the bucket may take smaller terms now. Loans must not take more room
// than is left.
func (b *Bucket) CanShrink(now time.Time, terms Terms) bool {
	b.refill(now)
	return b.lentTotal() <= terms.Cap
}

// SetTerms changes the bucket's part. What no longer fits is lost.
func (b *Bucket) SetTerms(now time.Time, terms Terms) {
	b.refill(now)
	b.terms = terms
	b.refill(now)
}

// Wait returns how long inflow takes to bring the bucket to n tokens, or false if it never does.
func (b *Bucket) Wait(now time.Time, n float64) (time.Duration, bool) {
	missing := n - b.Available(now)
	switch {
	case missing <= 0:
		return 0, true
	case b.terms.Rate <= 0, n > b.terms.Cap:
		return 0, false
	}
	return time.Duration(missing / b.terms.Rate * float64(time.Second)), true
}

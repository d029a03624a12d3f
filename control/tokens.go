package control

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/share"
)

const (
	// borrowPeriod is the minimum time between two rounds of loan requests for one account.
	borrowPeriod = 25 * time.Millisecond
	// lenderReserve is how long the tokens that a lender keeps for itself must cover its own demand.
	lenderReserve = 500 * time.Millisecond
	// demandSmoothing is the weight of the newest sample in the moving average of the demand.
	demandSmoothing = 0.3
	// maxWaiting is the maximum number of requests of one account that wait for tokens.
	maxWaiting = 1000
)

// accountBucket holds this VM's share of the rate of one account and the requests that wait for
// tokens.
type accountBucket struct {
	account    resource.ClientAccount
	bucket     *share.Bucket
	waiting    []*tokenWaiter
	borrowedAt time.Time
	loanSeq    uint64
	// demand is the moving average of the tokens used per second.
	demand          float64
	used            float64
	demandUpdatedAt time.Time
}

type tokenWaiter struct {
	tokens   float64
	deadline time.Time
	ctx      context.Context
	result   chan tokenResult
}

type tokenResult struct {
	reservation share.Reservation
	err         error
}

// Reservation holds tokens that one request reserved from the rate of an account.
type Reservation struct {
	controller *Controller
	account    string
	inner      share.Reservation
}

// Close ends the reservation, charges the tokens used and returns the rest.
func (r Reservation) Close(used float64) {
	if r.controller == nil {
		return
	}
	r.controller.post(func() {
		if b := r.controller.buckets[r.account]; b != nil {
			b.bucket.Close(r.controller.now(), r.inner, used)
		}
	})
}

// Reserve reserves tokens from the rate of an account. If this VM's share is used up, it borrows
// from peers and waits up to the configured token wait. On failure the kind of the Error is
// ErrOverRate, ErrTooLarge, or ErrStopped if ctx is done.
func (c *Controller) Reserve(ctx context.Context, account string, tokens float64) (Reservation, error) {
	waiter := &tokenWaiter{tokens: tokens, deadline: c.now().Add(c.cfg.Timing.TokenWait()), ctx: ctx, result: make(chan tokenResult, 1)}
	c.post(func() { c.enqueueWaiter(account, waiter) })
	result := <-waiter.result
	if result.err != nil {
		return Reservation{}, result.err
	}
	c.metrics.AdmittedTokens.WithLabelValues(account).Add(tokens)
	return Reservation{controller: c, account: account, inner: result.reservation}, nil
}

func (c *Controller) enqueueWaiter(account string, waiter *tokenWaiter) {
	b := c.buckets[account]
	switch {
	case b == nil:
		waiter.result <- tokenResult{err: &Error{Op: "reserve", Kind: ErrOverRate, Err: fmt.Errorf("account %q does not exist", account)}}
		return
	case waiter.tokens > b.account.BurstTokens:
		waiter.result <- tokenResult{err: &Error{Op: "reserve", Kind: ErrTooLarge,
			Err: fmt.Errorf("%.0f tokens are more than the burst of %.0f", waiter.tokens, b.account.BurstTokens)}}
		return
	case len(b.waiting) >= maxWaiting:
		waiter.result <- tokenResult{err: b.overRateError(c.now(), waiter.tokens)}
		return
	}
	b.waiting = append(b.waiting, waiter)
	c.serveAccount(c.now(), b)
	if len(b.waiting) > 0 {
		c.activeBuckets[account] = b
	}
}

func (b *accountBucket) overRateError(now time.Time, tokens float64) error {
	retry, ok := b.bucket.Wait(now, tokens)
	if !ok {
		retry = time.Duration(tokens / b.account.TokensPerSecond * float64(time.Second))
	}
	return &Error{Op: "reserve", Kind: ErrOverRate, RetryAfter: retry, Err: errors.New("the account has used up its rate")}
}

// serveTokenQueues serves or rejects waiting requests and returns loans that are no longer needed. It
// visits only accounts with waiting requests or loans.
func (c *Controller) serveTokenQueues(now time.Time) {
	for name, b := range c.activeBuckets {
		if len(b.waiting) > 0 {
			c.serveAccount(now, b)
		}
		c.returnLoans(now, b)
		if len(b.waiting) == 0 && !b.bucket.HasLoans() {
			delete(c.activeBuckets, name)
		}
	}
}

func (b *accountBucket) updateDemand(now time.Time) {
	elapsed := now.Sub(b.demandUpdatedAt)
	if elapsed < time.Second {
		return
	}
	b.demand += demandSmoothing * (b.used/elapsed.Seconds() - b.demand)
	b.used, b.demandUpdatedAt = 0, now
}

// serveAccount serves waiting requests in order and rejects those past their deadline. If tokens are
// missing, it borrows from peers.
func (c *Controller) serveAccount(now time.Time, b *accountBucket) {
	for len(b.waiting) > 0 {
		waiter := b.waiting[0]
		if waiter.ctx.Err() != nil {
			waiter.result <- tokenResult{err: &Error{Op: "reserve", Kind: ErrStopped, Err: context.Cause(waiter.ctx)}}
			b.waiting = b.waiting[1:]
			continue
		}
		reservation, ok := b.bucket.Take(now, waiter.tokens)
		if ok {
			b.updateDemand(now)
			b.used += waiter.tokens
			waiter.result <- tokenResult{reservation: reservation}
			b.waiting = b.waiting[1:]
			continue
		}
		if now.After(waiter.deadline) {
			waiter.result <- tokenResult{err: b.overRateError(now, waiter.tokens)}
			b.waiting = b.waiting[1:]
			continue
		}
		c.borrow(now, b)
		return
	}
}

// borrow asks every live peer for the tokens that the waiting requests lack.
func (c *Controller) borrow(now time.Time, b *accountBucket) {
	if now.Sub(b.borrowedAt) < borrowPeriod {
		return
	}
	b.borrowedAt = now
	missing := -b.bucket.Available(now)
	for _, waiter := range b.waiting {
		missing += waiter.tokens
	}
	term := c.cfg.Timing.Loan()
	for _, vm := range c.roster.Alive(now) {
		link := c.links[vm]
		if link == nil {
			continue
		}
		b.loanSeq++
		id := c.self.VM + "/" + c.self.Incarnation + "/" + b.account.Name + "/" + vm + "/" + strconv.FormatUint(b.loanSeq, 10)
		request := peer.BorrowRequest{ID: id, Account: b.account.Name, Amount: missing, Term: term}
		go c.requestLoan(link, vm, now.Add(term), request)
	}
}

// requestLoan requests a loan from one peer. The term counts from when the request was made, so the
// loan expires here no later than at the lender.
func (c *Controller) requestLoan(link *peerLink, vm string, until time.Time, request peer.BorrowRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), request.Term)
	defer cancel()
	amount, err := link.Borrow(ctx, request)
	if err != nil || amount <= 0 {
		return
	}
	c.metrics.Loans.WithLabelValues("taken").Inc()
	c.post(func() {
		b := c.buckets[request.Account]
		if b == nil {
			return
		}
		now := c.now()
		c.activeBuckets[request.Account] = b
		b.bucket.Borrow(now, share.Loan{ID: request.ID, Lender: vm, Amount: amount, Until: until})
		c.serveAccount(now, b)
		c.returnLoans(now, b)
	})
}

// returnLoans returns used-up loans, or all loans if no request waits and no loan was requested recently.
func (c *Controller) returnLoans(now time.Time, b *accountBucket) {
	idle := len(b.waiting) == 0 && now.Sub(b.borrowedAt) > 2*borrowPeriod
	for _, r := range b.bucket.EndLoans(now, idle) {
		if link := c.links[r.Lender]; link != nil {
			link.Settle([]peer.Settlement{{ID: r.ID, Account: b.account.Name, Left: r.Left}})
		}
	}
}

// lend returns the number of tokens lent to a peer. It is 0 if this VM has no bucket for the
// account or cannot serve its own requests for it.
func (c *Controller) lend(_ peer.Identity, r peer.BorrowRequest) float64 {
	b := c.buckets[r.Account]
	if b == nil || len(b.waiting) > 0 {
		return 0
	}
	b.updateDemand(c.now())
	reserved := b.demand * lenderReserve.Seconds()
	amount := b.bucket.Lend(c.now(), r.ID, r.Amount, reserved, r.Term)
	if amount > 0 {
		c.metrics.Loans.WithLabelValues("given").Inc()
	}
	return amount
}

func (c *Controller) settleLoans(settlements []peer.Settlement) {
	for _, s := range settlements {
		if b := c.buckets[s.Account]; b != nil {
			b.bucket.Settle(c.now(), s.ID, s.Left)
		}
	}
}

// shareLimits returns this VM's share of the rate of an account, in proportion to its usable slots.
func (c *Controller) shareLimits(account resource.ClientAccount) share.Limits {
	fraction := float64(c.slots.usable()) / catalog.SlotCount
	return share.Limits{Rate: account.TokensPerSecond * fraction, Cap: account.BurstTokens * fraction}
}

// configureBuckets updates the buckets after a change of accounts or slots. A new bucket is not
// refilled until a loan term after the start, when the loans of the previous incarnation have
// expired.
func (c *Controller) configureBuckets(now time.Time) {
	refillFrom := c.startedAt.Add(c.cfg.Timing.Loan() + clockDriftMargin)
	for name, account := range c.view.Accounts {
		b := c.buckets[name]
		if b == nil {
			b = &accountBucket{bucket: share.NewBucket(c.shareLimits(account), now, share.WithRefillFrom(refillFrom)), demandUpdatedAt: now}
			c.buckets[name] = b
		}
		b.account = account
		b.bucket.SetLimits(now, c.shareLimits(account))
	}
	for name, b := range c.buckets {
		if _, exists := c.view.Accounts[name]; exists {
			continue
		}
		for _, waiter := range b.waiting {
			waiter.result <- tokenResult{err: b.overRateError(now, waiter.tokens)}
		}
		delete(c.buckets, name)
		delete(c.activeBuckets, name)
	}
}

// addFullBuckets creates full buckets for accounts that were created while this VM held its slots,
// since no other VM can have spent from those slots.
func (c *Controller) addFullBuckets(now time.Time, changes []catalog.Change) {
	if !c.caughtUp || c.slots.usable() == 0 {
		return
	}
	for _, change := range changes {
		isNew := change.Accepted && change.Old == nil && change.New != nil && change.Ref.Kind == resource.KindClientAccount
		if !isNew || c.buckets[change.Ref.Name] != nil {
			continue
		}
		spec, err := resource.Decode(*change.New)
		account, ok := spec.(resource.ClientAccount)
		if err != nil || !ok {
			continue
		}
		c.buckets[account.Name] = &accountBucket{account: account, demandUpdatedAt: now,
			bucket: share.NewBucket(c.shareLimits(account), now, share.WithFullBucket())}
	}
}

// canReleaseSlots reports whether every bucket can shrink to the given number of slots.
func (c *Controller) canReleaseSlots(now time.Time, slots int) bool {
	fraction := math.Max(0, float64(slots)) / catalog.SlotCount
	for _, b := range c.buckets {
		limits := share.Limits{Rate: b.account.TokensPerSecond * fraction, Cap: b.account.BurstTokens * fraction}
		if !b.bucket.CanShrink(now, limits) {
			return false
		}
	}
	return true
}

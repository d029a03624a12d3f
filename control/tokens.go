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
	// borrowPeriod is the least time between two rounds of asking peers for one account.
	borrowPeriod = 25 * time.Millisecond
	// keepHorizon is how much of its own demand a lender keeps.
	keepHorizon = 500 * time.Millisecond
	// demandGain weighs the newest second of demand.
	demandGain = 0.3
	// maxWaiting bounds the requests of one account that wait for tokens.
	maxWaiting = 1000
)

// accountBucket is this VM's part of one account's rate, with the requests that wait for it.
type accountBucket struct {
	account  resource.ClientAccount
	bucket   *share.Bucket
	waiting  []*tokenWait
	borrowAt time.Time
	loans    uint64
	// demand is the learned use in tokens a second.
	demand   float64
	used     float64
	demandAt time.Time
}

type tokenWait struct {
	tokens   float64
	deadline time.Time
	ctx      context.Context
	answer   chan tokenAnswer
}

type tokenAnswer struct {
	reservation share.Reservation
	err         error
}

// Reservation is a part of an account's rate that one request holds.
type Reservation struct {
	controller *Controller
	account    string
	inner      share.Reservation
}

// Close ends the reservation and gives back what was not used.
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

// Reserve takes tokens from an account's rate. If this VM's part is used up it borrows from peers and
// waits for a short time.
func (c *Controller) Reserve(ctx context.Context, account string, tokens float64) (Reservation, error) {
	wait := &tokenWait{tokens: tokens, deadline: c.now().Add(c.cfg.Timing.TokenWait()), ctx: ctx, answer: make(chan tokenAnswer, 1)}
	c.post(func() { c.takeTokenWait(account, wait) })
	answer := <-wait.answer
	if answer.err != nil {
		return Reservation{}, answer.err
	}
	c.metrics.AdmittedTokens.WithLabelValues(account).Add(tokens)
	return Reservation{controller: c, account: account, inner: answer.reservation}, nil
}

func (c *Controller) takeTokenWait(account string, wait *tokenWait) {
	b := c.buckets[account]
	switch {
	case b == nil:
		wait.answer <- tokenAnswer{err: &Error{Op: "reserve", Kind: ErrOverRate, Err: fmt.Errorf("account %q does not exist", account)}}
		return
	case wait.tokens > b.account.BurstTokens:
		wait.answer <- tokenAnswer{err: &Error{Op: "reserve", Kind: ErrTooLarge,
			Err: fmt.Errorf("%.0f tokens are more than the burst of %.0f", wait.tokens, b.account.BurstTokens)}}
		return
	case len(b.waiting) >= maxWaiting:
		wait.answer <- tokenAnswer{err: b.refusal(c.now(), wait.tokens)}
		return
	}
	b.waiting = append(b.waiting, wait)
	c.serveAccount(c.now(), b)
	if len(b.waiting) > 0 {
		c.busy[account] = b
	}
}

func (b *accountBucket) refusal(now time.Time, tokens float64) error {
	retry, ok := b.bucket.Wait(now, tokens)
	if !ok {
		retry = time.Duration(tokens / b.account.TokensPerSecond * float64(time.Second))
	}
	return &Error{Op: "reserve", Kind: ErrOverRate, RetryAfter: retry, Err: errors.New("the account has used up its rate")}
}

// serveTokenQueues serves or refuses the waiting requests, and ends loans that are not needed. Only
// accounts that wait or have borrowed are visited.
func (c *Controller) serveTokenQueues(now time.Time) {
	for name, b := range c.busy {
		if len(b.waiting) > 0 {
			c.serveAccount(now, b)
		}
		c.endLoans(now, b)
		if len(b.waiting) == 0 && !b.bucket.HasLoans() {
			delete(c.busy, name)
		}
	}
}

func (b *accountBucket) learnDemand(now time.Time) {
	elapsed := now.Sub(b.demandAt)
	if elapsed < time.Second {
		return
	}
	b.demand += demandGain * (b.used/elapsed.Seconds() - b.demand)
	b.used, b.demandAt = 0, now
}

// serveAccount serves waiting requests in order, refuses those whose time is up and asks peers for
// what is missing.
func (c *Controller) serveAccount(now time.Time, b *accountBucket) {
	for len(b.waiting) > 0 {
		wait := b.waiting[0]
		if wait.ctx.Err() != nil {
			wait.answer <- tokenAnswer{err: &Error{Op: "reserve", Kind: ErrStopped, Err: context.Cause(wait.ctx)}}
			b.waiting = b.waiting[1:]
			continue
		}
		reservation, ok := b.bucket.Take(now, wait.tokens)
		if ok {
			b.learnDemand(now)
			b.used += wait.tokens
			wait.answer <- tokenAnswer{reservation: reservation}
			b.waiting = b.waiting[1:]
			continue
		}
		if now.After(wait.deadline) {
			wait.answer <- tokenAnswer{err: b.refusal(now, wait.tokens)}
			b.waiting = b.waiting[1:]
			continue
		}
		c.borrow(now, b)
		return
	}
}

// borrow asks every live peer for what the waiting requests miss.
func (c *Controller) borrow(now time.Time, b *accountBucket) {
	if now.Sub(b.borrowAt) < borrowPeriod {
		return
	}
	b.borrowAt = now
	missing := -b.bucket.Available(now)
	for _, wait := range b.waiting {
		missing += wait.tokens
	}
	term := c.cfg.Timing.Loan()
	for _, vm := range c.roster.Alive(now) {
		link := c.links[vm]
		if link == nil {
			continue
		}
		b.loans++
		id := c.self.VM + "/" + c.self.Incarnation + "/" + b.account.Name + "/" + vm + "/" + strconv.FormatUint(b.loans, 10)
		request := peer.BorrowRequest{ID: id, Account: b.account.Name, Want: missing, Term: term}
		go c.askLoan(link, vm, now.Add(term), request)
	}
}

// askLoan asks one peer for a loan, which ends a term after it was asked for.
func (c *Controller) askLoan(link *peerLink, vm string, until time.Time, request peer.BorrowRequest) {
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
		c.busy[request.Account] = b
		b.bucket.Borrow(now, share.Loan{ID: request.ID, Lender: vm, Amount: amount, Until: until})
		c.serveAccount(now, b)
		c.endLoans(now, b)
	})
}

// endLoans gives back loans that are spent, and all loans when nobody waits.
func (c *Controller) endLoans(now time.Time, b *accountBucket) {
	idle := len(b.waiting) == 0 && now.Sub(b.borrowAt) > 2*borrowPeriod
	for _, r := range b.bucket.EndLoans(now, idle) {
		if link := c.links[r.Lender]; link != nil {
			link.Settle([]peer.Settlement{{ID: r.ID, Account: b.account.Name, Left: r.Left}})
		}
	}
}

// lend answers a peer that asks for a loan. A VM that may not serve the account itself lends nothing.
func (c *Controller) lend(_ peer.Identity, r peer.BorrowRequest) float64 {
	b := c.buckets[r.Account]
	if b == nil || len(b.waiting) > 0 {
		return 0
	}
	b.learnDemand(c.now())
	keep := b.demand * keepHorizon.Seconds()
	amount := b.bucket.Lend(c.now(), r.ID, r.Want, keep, r.Term)
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

// terms returns this VM's part of an account's rate.
func (c *Controller) terms(account resource.ClientAccount) share.Terms {
	part := float64(c.slots.usable()) / catalog.SlotCount
	return share.Terms{Rate: account.TokensPerSecond * part, Cap: account.BurstTokens * part}
}

// configureBuckets brings the buckets in line with the accounts and the slots.
func (c *Controller) configureBuckets(now time.Time) {
	quiet := c.startedAt.Add(c.cfg.Timing.Loan() + clockDriftMargin)
	for name, account := range c.view.Accounts {
		b := c.buckets[name]
		if b == nil {
			b = &accountBucket{bucket: share.NewBucket(c.terms(account), now, share.WithInflowFrom(quiet)), demandAt: now}
			c.buckets[name] = b
		}
		b.account = account
		b.bucket.SetTerms(now, c.terms(account))
	}
	for name, b := range c.buckets {
		if _, exists := c.view.Accounts[name]; exists {
			continue
		}
		for _, wait := range b.waiting {
			wait.answer <- tokenAnswer{err: b.refusal(now, wait.tokens)}
		}
		delete(c.buckets, name)
		delete(c.busy, name)
	}
}

// fillNewAccounts starts the buckets of accounts full that were created while this VM held its slots,
// since nobody can have spent from them before.
func (c *Controller) fillNewAccounts(now time.Time, changes []catalog.Change) {
	if !c.headRead || c.slots.usable() == 0 {
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
		c.buckets[account.Name] = &accountBucket{account: account, demandAt: now,
			bucket: share.NewBucket(c.terms(account), now, share.WithFull())}
	}
}

// canGiveSlots reports whether every bucket can shrink to a number of slots.
func (c *Controller) canGiveSlots(now time.Time, slots int) bool {
	part := math.Max(0, float64(slots)) / catalog.SlotCount
	for _, b := range c.buckets {
		terms := share.Terms{Rate: b.account.TokensPerSecond * part, Cap: b.account.BurstTokens * part}
		if !b.bucket.CanShrink(now, terms) {
			return false
		}
	}
	return true
}

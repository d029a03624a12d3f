// Package service is the client of plain services, which run beside the model engines.
//
// It balances requests over upstreams by requests in flight and average latency, opens a circuit breaker
// on failing upstreams, and keeps retries within a budget.
package service

import (
	"sync"
	"time"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	breakerThreshold  = 3
	breakerOpenPeriod = 2 * time.Second
	latencySmoothing  = 0.2
	// retriesPerCall is the number of retries that each successful call of Pick adds to the budget, up to maxRetryBudget.
	retriesPerCall = 0.1
	maxRetryBudget = 10.0
)

// Balancer selects upstreams. It is safe for concurrent use.
type Balancer struct {
	now func() time.Time

	mu          sync.Mutex
	upstreams   map[string]*upstream
	retryBudget float64
}

type upstream struct {
	inFlight            int
	latency             float64
	consecutiveFailures int
	openUntil           time.Time
}

// NewBalancer returns a Balancer without upstreams and with a full retry budget.
func NewBalancer(now func() time.Time) *Balancer {
	return &Balancer{now: now, upstreams: map[string]*upstream{}, retryBudget: maxRetryBudget}
}

// Pick selects the candidate with the shortest expected wait. It skips those in avoid, those at capacity
// and those whose circuit breaker is open. The caller must call done with the outcome of the request.
func (b *Balancer) Pick(candidates []resource.Upstream, avoid map[string]bool) (chosen resource.Upstream, done func(ok bool), found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var best *upstream
	bestScore := 0.0
	for _, candidate := range candidates {
		u := b.upstream(candidate.Name)
		full := u.inFlight >= candidate.Places
		if avoid[candidate.Name] || now.Before(u.openUntil) || full {
			continue
		}
		score := float64(u.inFlight+1) * (u.latency + 0.001)
		if best == nil || score < bestScore {
			best, bestScore, chosen = u, score, candidate
		}
	}
	if best == nil {
		return chosen, nil, false
	}
	best.inFlight++
	b.retryBudget = min(b.retryBudget+retriesPerCall, maxRetryBudget)
	return chosen, func(ok bool) { b.recordOutcome(best, now, ok) }, true
}

func (b *Balancer) upstream(name string) *upstream {
	u := b.upstreams[name]
	if u == nil {
		u = &upstream{}
		b.upstreams[name] = u
	}
	return u
}

func (b *Balancer) recordOutcome(u *upstream, startedAt time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.inFlight--
	if !ok {
		u.consecutiveFailures++
		if u.consecutiveFailures >= breakerThreshold {
			u.openUntil = b.now().Add(breakerOpenPeriod)
		}
		return
	}
	u.consecutiveFailures = 0
	u.latency += latencySmoothing * (b.now().Sub(startedAt).Seconds() - u.latency)
}

// TakeRetry takes one retry from the budget and reports whether one was left.
func (b *Balancer) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retryBudget < 1 {
		return false
	}
	b.retryBudget--
	return true
}

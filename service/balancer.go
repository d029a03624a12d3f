// Package service calls plain services beside the model engines.
//
// It chooses an upstream by outstanding calls and learned latency, takes failing upstreams out of
// use for a while, and keeps retries within a budget.
package service

import (
	"sync"
	"time"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	failuresToBreak = 3
	breakFor        = 2 * time.Second
	latencyGain     = 0.2
	// retryShare is how many retries each call earns; maxRetryCredit bounds the saved retries.
	retryShare     = 0.1
	maxRetryCredit = 10.0
)

// Balancer chooses upstreams. It is safe for concurrent use.
type Balancer struct {
	now func() time.Time

	mu        sync.Mutex
	upstreams map[string]*upstream
	credit    float64
}

type upstream struct {
	outstanding int
	latency     float64
	failures    int
	brokenUntil time.Time
}

// NewBalancer returns a balancer that knows no upstream yet.
func NewBalancer(now func() time.Time) *Balancer {
	return &Balancer{now: now, upstreams: map[string]*upstream{}, credit: maxRetryCredit}
}

// Pick chooses among candidates the one with the least expected wait, except those to avoid. done
// must be called with the outcome.
func (b *Balancer) Pick(candidates []resource.Upstream, avoid map[string]bool) (chosen resource.Upstream, done func(ok bool), found bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var best *upstream
	bestScore := 0.0
	for _, candidate := range candidates {
		u := b.upstream(candidate.Name)
		full := u.outstanding >= candidate.Places
		if avoid[candidate.Name] || now.Before(u.brokenUntil) || full {
			continue
		}
		score := float64(u.outstanding+1) * (u.latency + 0.001)
		if best == nil || score < bestScore {
			best, bestScore, chosen = u, score, candidate
		}
	}
	if best == nil {
		return chosen, nil, false
	}
	best.outstanding++
	b.credit = min(b.credit+retryShare, maxRetryCredit)
	return chosen, func(ok bool) { b.finish(best, now, ok) }, true
}

func (b *Balancer) upstream(name string) *upstream {
	u := b.upstreams[name]
	if u == nil {
		u = &upstream{}
		b.upstreams[name] = u
	}
	return u
}

func (b *Balancer) finish(u *upstream, began time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u.outstanding--
	if !ok {
		u.failures++
		if u.failures >= failuresToBreak {
			u.brokenUntil = b.now().Add(breakFor)
		}
		return
	}
	u.failures = 0
	u.latency += latencyGain * (b.now().Sub(began).Seconds() - u.latency)
}

// MayRetry takes one retry from the budget.
func (b *Balancer) MayRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credit < 1 {
		return false
	}
	b.credit--
	return true
}

package liveness

import (
	"context"
	"sync"
)

// pendingCheck is a check that has not begun yet, or is under way.
type pendingCheck struct {
	done   chan struct{}
	answer Answer
}

// Checks runs at most one check of each replica at a time. Those who ask meanwhile share the next one: a check that began before an
// answer ended tells nothing of that. The zero value is ready for use.
type Checks struct {
	mu sync.Mutex
	// next holds the check that is to begin after the one under way, or nil if nobody has asked, by address and ID.
	next map[string]*pendingCheck
}

// join returns a check that has not begun yet. start is whether the caller must call run.
func (p *Checks) join(key string) (check *pendingCheck, start bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = map[string]*pendingCheck{}
	}
	next, running := p.next[key]
	if next == nil {
		next = &pendingCheck{done: make(chan struct{})}
		p.next[key] = next
	}
	return next, !running
}

// take returns the next check, or nil if nobody has asked for one.
func (p *Checks) take(key string) *pendingCheck {
	p.mu.Lock()
	defer p.mu.Unlock()
	check := p.next[key]
	if check == nil {
		delete(p.next, key)
		return nil
	}
	p.next[key] = nil
	return check
}

// Ask returns the answer of a check of the replica with this key, which begins after this call, or the cause of ctx's end. check makes one
// check.
func (p *Checks) Ask(ctx context.Context, key string, check func() Answer) Answer {
	pending, start := p.join(key)
	if start {
		go p.run(key, check)
	}
	select {
	case <-pending.done:
		return pending.answer
	case <-ctx.Done():
		return Answer{Err: context.Cause(ctx)}
	}
}

// run runs checks until nobody asks for one.
func (p *Checks) run(key string, ask func() Answer) {
	for check := p.take(key); check != nil; check = p.take(key) {
		check.answer = ask()
		close(check.done)
	}
}

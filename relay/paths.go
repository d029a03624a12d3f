// Package relay opens connections to upstreams through other VMs while a VM has no way of its own.
//
// A Dialer opens a connection directly, and after a short time without an answer through a peer as well; the first one that is open is
// used. What comes of that is evidence, which Paths keeps: an upstream that a peer reaches and this VM does not. From then on the peer
// is asked first. A Server opens connections for peers, in one hop: it never asks another one. A relayed connection carries the bytes
// of one request and its answer as they are, and ends as the upstream ended it, so that all decisions stay with the VM that
// received the request.
package relay

import (
	"sync"
	"time"
)

const (
	// evidencePeriod is how long a failed attempt counts. Without new evidence a path is tried directly again.
	evidencePeriod = 3 * time.Second
	// minLostPaths is the number of upstreams that peers reach and this VM does not from which on it has no way to any.
	minLostPaths = 2
	// minRegainedPaths is the number of connections in a row that it must have opened directly until it has one again.
	minRegainedPaths = 2
	// probeInterval is the minimum time between two attempts to open a connection directly while the path is lost.
	probeInterval = 300 * time.Millisecond
)

// order says which ways are tried for a connection, and in which order.
type order int

const (
	directFirst order = iota
	relayFirst
	// both tries them at the same time.
	both
)

// Paths keeps which upstreams this VM does not reach although a peer does. It is safe for concurrent use.
type Paths struct {
	onChange func(cutOff bool, lost int)

	mu sync.Mutex
	// failedAt is when an attempt to reach an upstream directly last failed, and lostAt when a peer last reached one to which that
	// had happened, by address.
	failedAt, lostAt map[string]time.Time
	// reachedAt is when the last upstream was reached directly, and reached how many attempts in a row have succeeded.
	reachedAt time.Time
	reached   int
	cutOff    bool
	probedAt  time.Time
}

// NewPaths returns Paths without evidence. onChange is called when this VM has lost the way to all upstreams, or has it again, with
// the number of upstreams that only peers reach.
func NewPaths(onChange func(cutOff bool, lost int)) *Paths {
	return &Paths{onChange: onChange, failedAt: map[string]time.Time{}, lostAt: map[string]time.Time{}}
}

// CutOff reports whether this VM has no way of its own to upstreams that peers reach.
func (p *Paths) CutOff() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff
}

// Lost reports whether this VM has no way of its own to the upstream at an address.
func (p *Paths) Lost(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cutOff || p.isLost(now, addr)
}

// Sound reports whether this VM has lately reached an upstream directly, so that what it does not reach is gone.
func (p *Paths) Sound(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.cutOff && !p.reachedAt.IsZero() && now.Sub(p.reachedAt) <= evidencePeriod
}

func (p *Paths) isLost(now time.Time, addr string) bool {
	at, lost := p.lostAt[addr]
	return lost && now.Sub(at) <= evidencePeriod
}

// order returns how to open a connection to an address.
func (p *Paths) order(now time.Time, addr string) order {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.cutOff && !p.isLost(now, addr) {
		return directFirst
	}
	if now.Sub(p.probedAt) < probeInterval {
		return relayFirst
	}
	p.probedAt = now
	return both
}

// recordDirect records whether an attempt to reach an upstream directly has succeeded.
func (p *Paths) recordDirect(now time.Time, addr string, reached bool) {
	if !reached {
		p.recordFailed(now, addr)
		return
	}
	if p.recordReached(now, addr) {
		p.onChange(false, 0)
	}
}

func (p *Paths) recordFailed(now time.Time, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reached = 0
	p.failedAt[addr] = now
}

// recordReached records that an upstream was reached directly, and reports whether this VM has a way of its own again since then.
func (p *Paths) recordReached(now time.Time, addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.failedAt, addr)
	delete(p.lostAt, addr)
	p.reachedAt = now
	p.reached++
	if !p.cutOff || p.reached < minRegainedPaths {
		return false
	}
	clear(p.lostAt)
	p.cutOff = false
	return true
}

// recordRelayed records that a peer has reached an upstream.
func (p *Paths) recordRelayed(now time.Time, addr string) {
	if lost := p.recordLost(now, addr); lost > 0 {
		p.onChange(true, lost)
	}
}

// recordLost records that a peer has reached an upstream, and returns the number of upstreams that only peers reach if this VM counts as
// cut off since then, or else 0.
func (p *Paths) recordLost(now time.Time, addr string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	failedAt, failed := p.failedAt[addr]
	if !failed || now.Sub(failedAt) > evidencePeriod {
		return 0
	}
	p.lostAt[addr] = now
	lost := p.countLost(now)
	if p.cutOff || lost < minLostPaths {
		return 0
	}
	p.reached, p.cutOff = 0, true
	return lost
}

// countLost returns the number of upstreams that were lost since one was last reached directly, and forgets what no longer counts.
func (p *Paths) countLost(now time.Time) int {
	count := 0
	for addr, at := range p.lostAt {
		switch {
		case now.Sub(at) > evidencePeriod:
			delete(p.lostAt, addr)
			delete(p.failedAt, addr)
		case at.After(p.reachedAt):
			count++
		}
	}
	return count
}

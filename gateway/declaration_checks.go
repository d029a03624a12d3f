package gateway

import (
	"time"

	"github.com/cassiabridge/cassiabridge/peer"
)

// declarationsCheckInterval is the interval at which the first VM by rank checks the store for newer declarations. All VMs
// must know them 3 s after the end of an outage, in which one check may have been lost.
const declarationsCheckInterval = time.Second

// WithDeclarationsCheck sets the function that triggers a check of the store for newer declarations. Each VM waits for new
// declarations on a read of its own. If a part of the store loses the answers to all of these reads, nobody is told when it is
// well again, so one VM checks on behalf of all. Without check the Controller triggers no checks.
func WithDeclarationsCheck(check func()) Option {
	return func(c *Controller) { c.checkDeclarations = check }
}

// RecordDeclarationsCheck records that the store has answered a check for newer declarations.
func (c *Controller) RecordDeclarationsCheck() {
	c.post(func() { c.declarationChecks.ranAt = c.now() })
}

// recordPeerCheck records the check that a beacon reports. A VM that leaves no longer checks for the others.
func (c *Controller) recordPeerCheck(now time.Time, b peer.Beacon) {
	if b.CheckAge >= 0 && !b.Leaving {
		c.declarationChecks.recordPeerRun(now.Add(-b.CheckAge))
	}
}

// declarationsCheckDueIn returns the time until this VM should check the store for newer declarations.
func (c *Controller) declarationsCheckDueIn(now time.Time) time.Duration {
	if c.checkDeclarations == nil {
		return declarationsCheckInterval
	}
	return c.declarationChecks.dueIn(now)
}

// checkDeclarationsIfDue triggers a check for newer declarations if one is due.
func (c *Controller) checkDeclarationsIfDue(now time.Time) {
	if c.declarationsCheckDueIn(now) > 0 {
		return
	}
	c.declarationChecks.requestedAt = now
	c.checkDeclarations()
}

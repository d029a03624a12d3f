package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
)

// maxInvalidLimits bounds the invalid limits that are remembered so that each is logged once.
const maxInvalidLimits = 256

// observeLimit records the request limit that an answer of a replica names, or that it names none, and tells the peers if
// it is another one. sentAt is when the request was sent.
func (c *Controller) observeLimit(replica placement.Replica, info ResponseInfo, sentAt time.Time) {
	if info.RequestLimit == 0 && info.InvalidLimit == "" && !c.limitsNamed.Load() {
		return
	}
	c.post(func() {
		c.logInvalidLimit(replica, info.InvalidLimit)
		now := c.now()
		before := c.limits.Limit(now, replica.ID)
		c.limits.Observe(now, replica.ID, info.RequestLimit, sentAt)
		c.limitsNamed.Store(c.limits.Any())
		if c.logLimit(now, replica.ID, before, "") {
			c.beacon.dirty = true
		}
	})
}

// logInvalidLimit logs a limit that could not be used, once for each replica and value.
func (c *Controller) logInvalidLimit(replica placement.Replica, value string) {
	if value == "" || c.invalidLimits[replica.ID] == value {
		return
	}
	if len(c.invalidLimits) >= maxInvalidLimits {
		clear(c.invalidLimits)
	}
	c.invalidLimits[replica.ID] = value
	c.log.Warn("replica-limit-invalid", zap.String("Replica", replica.ID), zap.String("Value", value))
}

// mergeLimits adds what a peer has heard of limits.
func (c *Controller) mergeLimits(b peer.Beacon) {
	if len(b.ReplicaLimits) == 0 && !c.limits.Any() {
		return
	}
	before := map[string]float64{}
	now := c.now()
	for replica := range b.ReplicaLimits {
		before[replica] = c.limits.Limit(now, replica)
	}
	c.limits.SetPeerReports(now, b.VM, b.ReplicaLimits)
	c.limitsNamed.Store(c.limits.Any())
	for replica := range b.ReplicaLimits {
		c.logLimit(now, replica, before[replica], b.VM)
	}
}

// logLimit logs the limit of a replica if it is not the one before, and reports whether it is not. source is the VM that
// told of it, or empty for an answer.
func (c *Controller) logLimit(now time.Time, replica string, before float64, source string) bool {
	limit := c.limits.Limit(now, replica)
	if limit == before {
		return false
	}
	share, _ := c.limits.Share(replica)
	c.log.Info("replica-limit", zap.String("Replica", replica), zap.Float64("Limit", limit), zap.Float64("Share", share), zap.String("Peer", source))
	return true
}

// spendRequest counts a request to a replica that placement did not choose.
func (c *Controller) spendRequest(replica placement.Replica) {
	if c.limitsNamed.Load() {
		c.post(func() { c.limits.Spend(c.now(), replica.ID) })
	}
}

package gateway

import (
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
)

// maxInvalidHeaders bounds the invalid values that are remembered so that each is logged once.
const maxInvalidHeaders = 256

// observeLimit records the request limit that an answer of a replica names, or that it names none, and tells the peers if
// it is another one. sentAt is when the request was sent.
func (c *Controller) observeLimit(replica placement.Replica, info ResponseInfo, sentAt time.Time) {
	if info.RequestLimit == 0 && info.InvalidLimit == "" && !c.limitsNamed.Load() {
		return
	}
	c.post(func() {
		c.logInvalidHeader("replica-limit-invalid", replica, info.InvalidLimit)
		now := c.now()
		before := c.limits.Limit(now, replica.ID)
		c.limits.Observe(now, replica.ID, info.RequestLimit, sentAt)
		c.limitsNamed.Store(c.limits.Any())
		if c.logLimit(now, replica.ID, before, "") {
			c.beacon.dirty = true
		}
	})
}

// logInvalidHeader logs a value of a header that could not be used, once for each event, replica and value.
func (c *Controller) logInvalidHeader(event string, replica placement.Replica, value string) {
	key := event + " " + replica.ID
	if value == "" || c.invalidHeaders[key] == value {
		return
	}
	if len(c.invalidHeaders) >= maxInvalidHeaders {
		clear(c.invalidHeaders)
	}
	c.invalidHeaders[key] = value
	c.log.Warn(event, zap.String("Replica", replica.ID), zap.String("Value", value))
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

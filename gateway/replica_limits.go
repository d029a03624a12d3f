package gateway

import (
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/placement"
)

// observeLimit records the request limit that an answer of a replica names, or 0 if it names none.
func (c *Controller) observeLimit(replica placement.Replica, info ResponseInfo) {
	if info.InvalidLimit != "" {
		c.log.Warn("replica-limit-invalid", zap.String("Replica", replica.ID), zap.String("Value", info.InvalidLimit))
	}
	if info.RequestLimit == 0 && !c.limitsNamed.Load() {
		return
	}
	c.limitsNamed.Store(true)
	c.post(func() {
		if c.namedLimits[replica.ID] == info.RequestLimit {
			return
		}
		c.namedLimits[replica.ID] = info.RequestLimit
		c.log.Info("replica-limit", zap.String("Replica", replica.ID), zap.String("Address", replica.Address), zap.Float64("Limit", info.RequestLimit))
	})
}

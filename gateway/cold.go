package gateway

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quota"
)

const (
	// maxColdMillis bounds what is read of a period for which an upstream says that it is cold.
	maxColdMillis = 600_000
	// coldSendPoll is how often a request that waits to be sent to a cold engine tries again, and coldSendWait how long it
	// does so. The result of its prefill is retained longer.
	coldSendPoll = 20 * time.Millisecond
	coldSendWait = 200 * time.Millisecond
)

// defaultColdTolerance holds if the settings name none: no more than the declared rate in any second.
var defaultColdTolerance = quota.ColdTolerance{Overrun: 1}

// WithColdTolerance sets how many requests cold upstreams tolerate beyond the rate that is declared for them.
func WithColdTolerance(tolerance quota.ColdTolerance) Option {
	return func(c *Controller) { c.cold.SetTolerance(tolerance) }
}

// ColdPeriod returns a number of milliseconds as a period, bounded to what a replica may reasonably say. A negative number
// is 0.
func ColdPeriod(millis float64) time.Duration {
	if math.IsNaN(millis) {
		return 0
	}
	return time.Duration(min(max(millis, 0), maxColdMillis) * float64(time.Millisecond))
}

// observeCold records that an answer says that its upstream is cold.
func (c *Controller) observeCold(replica placement.Replica, info ResponseInfo) {
	if info.ColdFor > 0 {
		c.post(func() { c.recordCold(c.now(), replica, info.ColdFor, "answer") })
	}
}

// recordCold records that a replica is cold for a further period. source says who told of it.
func (c *Controller) recordCold(now time.Time, replica placement.Replica, remaining time.Duration, source string) {
	table := c.table.Load()
	if table == nil || remaining <= 0 {
		return
	}
	pool, exists := table.Pool(replica.Pool)
	if !exists || !c.cold.Observe(now, replica.ID, remaining, pool.ColdRequestsPerSecond) {
		return
	}
	share, _ := c.cold.Share(now, replica.ID)
	c.beacon.dirty = true
	c.metrics.ColdReplicas.Inc()
	c.log.Info("replica-cold", zap.String("Replica", replica.ID), zap.String("Zone", replica.Zone), zap.Duration("For", remaining),
		zap.Float64("Tolerated", pool.ColdRequestsPerSecond), zap.Float64("Share", share), zap.String("Source", source))
}

// mergeCold adds the cold replicas of which a peer knows.
func (c *Controller) mergeCold(b peer.Beacon) {
	if len(b.ColdReplicas) == 0 {
		return
	}
	now := c.now()
	for id, remaining := range b.ColdReplicas {
		if replica, listed := c.scheduler.Replica(id); listed {
			c.recordCold(now, replica, remaining, b.VM)
		}
	}
}

// expireCold drops the replicas that are no longer cold.
func (c *Controller) expireCold(now time.Time) {
	for _, id := range c.cold.Expire(now) {
		c.metrics.ColdReplicas.Dec()
		c.log.Info("replica-warm", zap.String("Replica", id))
	}
}

package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	eventQueueCapacity = 4096
	// maxEventDelay is the time for which an event may wait before that is logged, eventDelayLogInterval the minimum time
	// between two such lines.
	maxEventDelay         = 300 * time.Millisecond
	eventDelayLogInterval = time.Second
)

// event is a function that waits for the control goroutine since postedAt.
type event struct {
	run      func()
	postedAt time.Time
}

// post queues a function to run on the control goroutine. It blocks while the queue is full.
func (c *Controller) post(run func()) { c.events <- event{run, c.now()} }

// recordEventDelay records how long an event has waited, and logs it if that is long.
func (c *Controller) recordEventDelay(now time.Time, e event) {
	delay := now.Sub(e.postedAt)
	c.metrics.EventDelay.Observe(delay.Seconds())
	if delay > maxEventDelay && now.Sub(c.delayLoggedAt) >= eventDelayLogInterval {
		c.delayLoggedAt = now
		c.log.Warn("events-delayed", zap.Duration("Delay", delay), zap.Int("Waiting", len(c.events)))
	}
}

// ask runs f on the control goroutine and waits for its result.
func ask[T any](c *Controller, f func() T) T {
	answer := make(chan T, 1)
	c.post(func() { answer <- f() })
	return <-answer
}

// askUntilDone is ask for tasks that end together with the control goroutine: it waits until ctx is done at most, and reports whether f
// has run.
func askUntilDone[T any](ctx context.Context, c *Controller, f func() T) (result T, ok bool) {
	answer := make(chan T, 1)
	select {
	case <-ctx.Done():
		return result, false
	case c.events <- event{func() { answer <- f() }, c.now()}:
	}
	select {
	case <-ctx.Done():
		return result, false
	case result = <-answer:
		return result, true
	}
}

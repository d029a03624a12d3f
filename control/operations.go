package control

import (
	"context"
	"errors"
	"time"

	"github.com/cassiabridge/cassiabridge/catalog"
)

// endRetry is the period at which an outcome that is not in the log is appended again.
const endRetry = 2 * time.Second

// Begin claims an operation. On success, and only then, the caller may forward it. If the outcome of
// the append is unknown, the operation is recorded as not run should the claim turn out to have won.
func (c *Controller) Begin(ctx context.Context, begin catalog.Begin) error {
	record := c.stamp(catalog.Record{Begin: &begin})
	_, err := c.Append(ctx, record)
	var controlErr *Error
	if errors.As(err, &controlErr) && controlErr.Kind == ErrUnknown {
		c.abandon(record)
	}
	return err
}

// abandon records an operation as not run when its Begin is read back after the caller was refused.
func (c *Controller) abandon(record catalog.Record) {
	notRun := catalog.End{Operation: record.Begin.Operation, Attempt: record.Begin.Attempt, Outcome: catalog.OutcomeNotRun}
	c.post(func() {
		c.waiters[record.ID] = func(v catalog.Verdict) {
			if v.Accepted {
				c.appendLater(catalog.Record{End: &notRun}, nil)
			}
		}
		state, _ := c.replay.State()
		c.answerWaiters(state)
	})
}

// End records the outcome of an operation and waits for it for a while. If the log does not take it in
// time, it is appended again in the background until it is read back.
func (c *Controller) End(ctx context.Context, end catalog.End) {
	record := c.stamp(catalog.Record{End: &end})
	if _, err := c.Append(ctx, record); err != nil {
		c.retryEnd(record)
	}
}

// EndLater records the outcome of an operation in the background.
func (c *Controller) EndLater(end catalog.End) {
	go c.End(context.Background(), end)
}

// retryEnd appends a record again and again until it is read back. The record keeps its ID and a
// second copy of it is rejected by every reader.
func (c *Controller) retryEnd(record catalog.Record) {
	go func() {
		for tries := 0; tries < maxEndRetries; tries++ {
			time.Sleep(endRetry)
			if _, seen := c.Snapshot().State.Verdict(record.ID); seen {
				return
			}
			_, err := c.Append(context.Background(), record)
			var controlErr *Error
			settled := err == nil || errors.As(err, &controlErr) && controlErr.Kind == ErrRejected
			if settled {
				return
			}
		}
	}()
}

// maxEndRetries covers an outage of the log of about a day.
const maxEndRetries = 43_200

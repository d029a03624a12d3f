package control

import (
	"context"
	"errors"
	"time"

	"github.com/cassiabridge/cassiabridge/catalog"
)

// endRetryInterval is the time between attempts to append an outcome.
const endRetryInterval = 2 * time.Second

// Begin claims an operation in the log. The caller may forward the operation only if Begin returns
// nil. If the outcome of the append is unknown and the claim is read back later, the operation is
// recorded as not run.
func (c *Controller) Begin(ctx context.Context, begin catalog.Begin) error {
	record := c.withOrigin(catalog.Record{Begin: &begin})
	_, err := c.Append(ctx, record)
	var controlErr *Error
	if errors.As(err, &controlErr) && controlErr.Kind == ErrUnknown {
		c.endIfBegun(record)
	}
	return err
}

// endIfBegun records an operation as not run if its Begin record is read back as accepted. The
// caller has been refused by then.
func (c *Controller) endIfBegun(record catalog.Record) {
	notRun := catalog.End{Operation: record.Begin.Operation, Attempt: record.Begin.Attempt, Outcome: catalog.OutcomeNotRun}
	c.post(func() {
		c.waiters[record.ID] = func(v catalog.Verdict) {
			if v.Accepted {
				c.appendAsync(catalog.Record{End: &notRun}, nil)
			}
		}
		state, _ := c.replay.State()
		c.notifyWaiters(state)
	})
}

// End records the outcome of an operation and waits until it is in the log. If that times out or
// fails, it is retried in the background.
func (c *Controller) End(ctx context.Context, end catalog.End) {
	record := c.withOrigin(catalog.Record{End: &end})
	if _, err := c.Append(ctx, record); err != nil {
		c.retryEnd(record)
	}
}

// EndAsync records the outcome of an operation in the background.
func (c *Controller) EndAsync(end catalog.End) {
	go c.End(context.Background(), end)
}

// retryEnd appends a record periodically until it is read back. The record keeps its ID, under which its first
// verdict is kept. Every reader rejects duplicates, because the attempt is settled by then.
func (c *Controller) retryEnd(record catalog.Record) {
	go func() {
		for tries := 0; tries < maxEndRetries; tries++ {
			time.Sleep(endRetryInterval)
			if _, seen := c.Snapshot().State.Verdict(record.ID); seen {
				return
			}
			_, err := c.Append(context.Background(), record)
			var controlErr *Error
			done := err == nil || errors.As(err, &controlErr) && controlErr.Kind == ErrRejected
			if done {
				return
			}
		}
	}()
}

// maxEndRetries covers an outage of the log of about one day.
const maxEndRetries = 43_200

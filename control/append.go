package control

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/ledger"
)

// maxGroup bounds how many records one append carries.
const maxGroup = 256

type pendingAppend struct {
	data []byte
	// failed is told when the record is certainly not in the log. It may be nil.
	failed chan<- error
}

// Append adds a record to the log and waits until it was read back at its offset. The Error kinds
// are ErrUnavailable when the record is certainly not in the log, ErrUnknown when that cannot be
// told, and ErrRejected when its precondition failed.
func (c *Controller) Append(ctx context.Context, record catalog.Record) (catalog.Verdict, error) {
	record = c.stamp(record)
	data, err := record.Encode()
	if err != nil {
		return catalog.Verdict{}, &Error{Op: "append", Kind: ErrUnavailable, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Append())
	defer cancel()
	answer := make(chan catalog.Verdict, 1)
	failed := make(chan error, 1)
	c.post(func() { c.waiters[record.ID] = func(v catalog.Verdict) { answer <- v } })
	c.queueAppend(data, failed)
	select {
	case verdict := <-answer:
		if !verdict.Accepted {
			return verdict, &Error{Op: "append", Kind: ErrRejected, Err: errors.New(verdict.Reason)}
		}
		return verdict, nil
	case err := <-failed:
		c.forget(record.ID)
		return catalog.Verdict{}, &Error{Op: "append", Kind: ErrUnavailable, RetryAfter: time.Second, Err: err}
	case <-ctx.Done():
		c.forget(record.ID)
		return catalog.Verdict{}, &Error{Op: "append", Kind: ErrUnknown, Err: fmt.Errorf("record %s was not read back: %w", record.ID, ctx.Err())}
	}
}

func (c *Controller) stamp(record catalog.Record) catalog.Record {
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	record.VM = c.self.VM
	if record.Actor == "" {
		record.Actor = c.self.VM
	}
	return record
}

func (c *Controller) forget(id string) {
	c.post(func() { delete(c.waiters, id) })
}

// appendLater adds a record without waiting. settled is called on the control goroutine when it was
// read back; it may never be.
func (c *Controller) appendLater(record catalog.Record, settled func(catalog.Verdict)) {
	record = c.stamp(record)
	data, err := record.Encode()
	if err != nil {
		return
	}
	if settled != nil {
		c.waiters[record.ID] = settled
	}
	c.queueAppend(data, nil)
}

// queueAppend hands a record to the appender. When its queue is full the record is not sent.
func (c *Controller) queueAppend(data []byte, failed chan<- error) {
	select {
	case c.appends <- pendingAppend{data: data, failed: failed}:
	default:
		if failed != nil {
			failed <- errors.New("too many appends wait")
		}
	}
}

// sendAppends sends waiting records in groups, one append at a time.
func (c *Controller) sendAppends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.appends:
			c.sendGroup(ctx, c.gather(first))
		}
	}
}

func (c *Controller) gather(first pendingAppend) []pendingAppend {
	group := []pendingAppend{first}
	for len(group) < maxGroup {
		select {
		case next := <-c.appends:
			group = append(group, next)
		default:
			return group
		}
	}
	return group
}

// sendGroup appends records. An append whose outcome is unknown is not repeated: whoever waits reads
// for the record's ID.
func (c *Controller) sendGroup(ctx context.Context, group []pendingAppend) {
	var records [][]byte
	for _, pending := range group {
		records = append(records, pending.data)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Append())
	defer cancel()
	_, err := c.ledger.Append(callCtx, records)
	if err == nil {
		c.metrics.Appends.WithLabelValues("ok").Inc()
		return
	}
	var platformErr *ledger.Error
	known := errors.As(err, &platformErr) && platformErr.Kind != ledger.ErrUnknown
	if !known {
		c.metrics.Appends.WithLabelValues("unknown").Inc()
		return
	}
	c.metrics.Appends.WithLabelValues("failed").Inc()
	for _, pending := range group {
		if pending.failed != nil {
			pending.failed <- err
		}
	}
}

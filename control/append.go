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

// maxAppendBatch is the maximum number of records in one append.
const maxAppendBatch = 256

type pendingAppend struct {
	data []byte
	// failed receives the error when the record is certainly not in the log. It may be nil.
	failed chan<- error
}

// Append adds a record to the log and waits until the record has been read back from it. On failure
// the kind of the Error is ErrUnavailable if the record is certainly not in the log, ErrUnknown if
// the outcome is unknown, and ErrRejected if the precondition of the record failed.
func (c *Controller) Append(ctx context.Context, record catalog.Record) (catalog.Verdict, error) {
	record = c.withOrigin(record)
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
		c.removeWaiter(record.ID)
		return catalog.Verdict{}, &Error{Op: "append", Kind: ErrUnavailable, RetryAfter: time.Second, Err: err}
	case <-ctx.Done():
		c.removeWaiter(record.ID)
		return catalog.Verdict{}, &Error{Op: "append", Kind: ErrUnknown, Err: fmt.Errorf("record %s was not read back: %w", record.ID, ctx.Err())}
	}
}

func (c *Controller) withOrigin(record catalog.Record) catalog.Record {
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	record.VM = c.self.VM
	if record.Actor == "" {
		record.Actor = c.self.VM
	}
	return record
}

func (c *Controller) removeWaiter(id string) {
	c.post(func() { delete(c.waiters, id) })
}

// appendAsync appends a record without waiting. It runs on the control goroutine. onVerdict, which
// may be nil, is called on the control goroutine once the record has been read back, which may
// never happen.
func (c *Controller) appendAsync(record catalog.Record, onVerdict func(catalog.Verdict)) {
	record = c.withOrigin(record)
	data, err := record.Encode()
	if err != nil {
		return
	}
	if onVerdict != nil {
		c.waiters[record.ID] = onVerdict
	}
	c.queueAppend(data, nil)
}

// queueAppend puts a record into the append queue. If the queue is full, the record is dropped.
func (c *Controller) queueAppend(data []byte, failed chan<- error) {
	select {
	case c.appends <- pendingAppend{data: data, failed: failed}:
	default:
		if failed != nil {
			failed <- errors.New("too many appends wait")
		}
	}
}

// sendAppends sends queued records in batches, one append at a time.
func (c *Controller) sendAppends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.appends:
			c.sendBatch(ctx, c.collectBatch(first))
		}
	}
}

func (c *Controller) collectBatch(first pendingAppend) []pendingAppend {
	batch := []pendingAppend{first}
	for len(batch) < maxAppendBatch {
		select {
		case next := <-c.appends:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// sendBatch appends a batch of records. An append whose outcome is unknown is not retried: the
// waiters learn the outcome when the records are read back by ID.
func (c *Controller) sendBatch(ctx context.Context, batch []pendingAppend) {
	var records [][]byte
	for _, pending := range batch {
		records = append(records, pending.data)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.cfg.Timing.Append())
	defer cancel()
	_, err := c.ledger.Append(callCtx, records)
	if err == nil {
		c.metrics.LogAppends.WithLabelValues("ok").Inc()
		return
	}
	var ledgerErr *ledger.Error
	notAppended := errors.As(err, &ledgerErr) && ledgerErr.Kind != ledger.ErrUnknown
	if !notAppended {
		c.metrics.LogAppends.WithLabelValues("unknown").Inc()
		return
	}
	c.metrics.LogAppends.WithLabelValues("failed").Inc()
	for _, pending := range batch {
		if pending.failed != nil {
			pending.failed <- err
		}
	}
}

package gateway

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/resumption"
)

const (
	// minStreamWriteInterval is the minimum time between two writes of a VM's streams. What began since the last write is not known
	// if all VMs are killed. streamWritesPerSecond bounds the writes of all VMs together.
	minStreamWriteInterval = 100 * time.Millisecond
	streamWritesPerSecond  = 200
	// maxStreamsWritten bounds the streams in a record: the store takes records of 256 KiB.
	maxStreamsWritten = 8000
	// streamStoreTimeout is the timeout of one store call, and streamReadRetry the pause before a failed read is tried again.
	streamStoreTimeout = 1500 * time.Millisecond
	streamReadRetry    = 300 * time.Millisecond
	// streamCleanInterval is how often a VM whose record holds streams looks whether they can still be resumed.
	streamCleanInterval = 10 * time.Second
)

// StreamStore gives access to the records of the streams that VMs have begun. Put replaces the record of a VM, and removes it if the
// value is empty; Newest returns the record of each VM.
type StreamStore struct {
	Put    func(ctx context.Context, vm string, value []byte) error
	Newest func(ctx context.Context) ([]follow.Record, error)
}

// MaintainStreams reads where the streams of all VMs began, and then writes those of this VM while several software versions are in
// play, so that callers can take them up after all VMs were killed. It returns when ctx is done.
func (c *Controller) MaintainStreams(ctx context.Context, store StreamStore) {
	written := c.restoreStreams(ctx, store)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.recordsWanted:
			c.readStreams(ctx, store)
			continue
		case <-c.streamsBegun:
		case <-cleanTimer(written):
		}
		written = c.writeStreams(ctx, store, written)
		interval, _ := askUntilDone(ctx, c, c.streamWriteInterval)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// cleanTimer returns a channel that fires when a record is due to be cleaned, or nil if there is none.
func cleanTimer(written string) <-chan time.Time {
	if written == "" {
		return nil
	}
	return time.After(streamCleanInterval)
}

// restoreStreams reads the records of all VMs, retries until it can, and returns that of this VM.
func (c *Controller) restoreStreams(ctx context.Context, store StreamStore) string {
	for {
		callCtx, cancel := context.WithTimeout(ctx, streamStoreTimeout)
		records, err := store.Newest(callCtx)
		cancel()
		if err == nil {
			return c.applyStreamRecords(records)
		}
		c.log.Info("streams-not-read", zap.Error(err))
		select {
		case <-ctx.Done():
			return ""
		case <-time.After(streamReadRetry):
		}
	}
}

// readStreams reads the records of all VMs' streams again: their owners may have ended before they told of them.
func (c *Controller) readStreams(ctx context.Context, store StreamStore) {
	sentAt := c.now()
	callCtx, cancel := context.WithTimeout(ctx, streamStoreTimeout)
	defer cancel()
	records, err := store.Newest(callCtx)
	if err != nil {
		c.log.Info("streams-not-read", zap.Error(err))
		return
	}
	c.eachStreamRecord(records, func(_ follow.Record, report resumption.Report) {
		c.post(func() { c.streams.RecordFound(c.now(), report) })
	})
	c.post(func() { c.recordsReadAt = sentAt })
	c.log.Info("streams-read", zap.Int("VMs", len(records)))
}

// eachStreamRecord decodes the records of VMs' streams, and calls apply with each that is readable.
func (c *Controller) eachStreamRecord(records []follow.Record, apply func(follow.Record, resumption.Report)) {
	for _, record := range records {
		var report resumption.Report
		if err := json.Unmarshal(record.Value, &report); err != nil {
			c.log.Warn("streams-unreadable", zap.String("Peer", record.Key), zap.Error(err))
			continue
		}
		apply(record, report)
	}
}

// applyStreamRecords remembers the streams of all VMs, and returns the record of this VM.
func (c *Controller) applyStreamRecords(records []follow.Record) (own string) {
	c.eachStreamRecord(records, func(record follow.Record, report resumption.Report) {
		if record.Key == c.self.VM {
			own = string(record.Value)
			c.post(func() { c.streams.RestoreOwn(c.now(), report) })
			return
		}
		c.post(func() { c.streams.RecordPeer(c.now(), report) })
	})
	c.log.Info("streams-adopted", zap.Int("VMs", len(records)))
	return own
}

// writeStreams writes this VM's streams if they differ from what was written, and returns what is written then.
func (c *Controller) writeStreams(ctx context.Context, store StreamStore, written string) string {
	report, ok := askUntilDone(ctx, c, func() resumption.Report { return c.streams.Own(c.now(), c.poolsOfSeveralVersions(), maxStreamsWritten) })
	if !ok {
		return written
	}
	value := ""
	if len(report) > 0 {
		data, err := json.Marshal(report)
		if err != nil {
			c.log.Error("streams-not-written", zap.Error(err))
			return written
		}
		value = string(data)
	}
	if value == written {
		return written
	}
	callCtx, cancel := context.WithTimeout(ctx, streamStoreTimeout)
	defer cancel()
	if err := store.Put(callCtx, c.self.VM, []byte(value)); err != nil {
		c.log.Info("streams-not-written", zap.Error(err))
		return written
	}
	return value
}

// streamWriteInterval returns the minimum time between two writes of this VM's streams.
func (c *Controller) streamWriteInterval() time.Duration {
	return max(minStreamWriteInterval, time.Duration(c.listSchedule.vmCount)*time.Second/streamWritesPerSecond)
}

// announceStreams has this VM's streams written if callers may need that.
func (c *Controller) announceStreams() {
	if len(c.poolsOfSeveralVersions()) == 0 {
		return
	}
	follow.Notify(c.streamsBegun)
}

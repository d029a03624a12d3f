// Package follow reads topics of a store that keeps the newest record of each key.
//
// A Follower first reads a snapshot of the newest records and then the records that are appended after it. It retries
// while the store is unavailable, reads a new snapshot if the store has dropped records that it had not read yet, and
// reports with each batch how long the store had been unavailable. An offset holds in the era in which it was read: if the
// store comes back from an older copy, a new snapshot is read too.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

const (
	// callTimeout is how long a call may go without progress, in addition to the time it waits for records. A slow store takes
	// up to 0.4 s to respond. maxCallDuration is how long it may take in all.
	callTimeout     = 1500 * time.Millisecond
	maxCallDuration = 12 * time.Second
	// checkTimeout is the timeout of a call that does not wait for records and that is repeated after a second.
	checkTimeout = time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after a failed call, before a jitter of 50 %. A change must be
	// in force within 2 s of its acknowledgment, even right after an outage.
	minRetryDelay = 60 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
)

// errRestored means that a read was answered in another era than the snapshot, so that the offset named other records.
var errRestored = errors.New("the store has come back from an older copy")

// errNoSnapshot means that the topic has not been read yet.
var errNoSnapshot = errors.New("no snapshot of the topic has been read yet")

// errWokenUp is the cancellation cause of a waiting read that was interrupted by a wakeup.
var errWokenUp = errors.New("read interrupted by a wakeup")

// errPaused is the cancellation cause of a waiting read that was interrupted since the follower pauses.
var errPaused = errors.New("read interrupted by a pause")

// Record is a record of a topic. A record without a value marks its key as deleted.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Range is a part of a topic that was read.
type Range struct {
	Records []Record
	// Next is the offset of the first record after the range.
	Next uint64
	// Era is the era in which the offsets hold, or 0 if the store names none.
	Era uint64
	// Partial is whether the topic has more records after the range.
	Partial bool
}

// Topic holds the functions that read one topic.
type Topic struct {
	Name string
	// Newest returns the newest record of each key.
	Newest func(ctx context.Context) (Range, error)
	// Read returns the records from offset from onward. At the end of the topic it waits up to wait for a record.
	Read func(ctx context.Context, from uint64, wait time.Duration) (Range, error)
}

// Batch is the result of one read.
type Batch struct {
	Records []Record
	// Snapshot is set if Records is a snapshot of all keys.
	Snapshot bool
	// NextOffset is the offset of the next record to read.
	NextOffset uint64
	// Era is the era in which the offsets hold, or 0 if the store names none.
	Era uint64
	// SentAt is when the read was sent, and Partial whether the topic had more records after the batch when it was answered. A batch that is
	// not partial holds all that was written before SentAt.
	SentAt  time.Time
	Partial bool
	// Restored is set if the store has come back from an older copy since the last snapshot. Records may then be older
	// than those read before, and newer ones missing until their writers write them again.
	Restored bool
	// Outage is the time since the last successful read, or since Run was called, if calls have failed since then.
	// Otherwise it is 0.
	Outage time.Duration
}

// Follower reads one topic and passes its records to a function.
type Follower struct {
	topic     Topic
	apply     func(Batch)
	isExpired func(error) bool
	wait      time.Duration
	interval  time.Duration
	log       *zap.Logger
	// observe is told whenever the topic becomes available or unavailable.
	observe func(available bool)
	now     func() time.Time
	wakeups <-chan struct{}
	// waitFirst is whether the first read waits for a wakeup.
	waitFirst bool
	// advanced is the position of Advance that has not been taken over yet.
	advanced atomic.Pointer[position]
	// paused is whether the follower reads at wakeups only. signals tells Run that paused or advanced has changed.
	paused  atomic.Bool
	signals chan struct{}

	nextOffset   uint64
	haveSnapshot bool
	// era is the era of the last snapshot, and everRead whether there was one.
	era         uint64
	everRead    bool
	lastSuccess time.Time
	unavailable bool
	// position is the position up to which the topic has been read, for callers of UpToDate. It is nil before the first
	// snapshot.
	position atomic.Pointer[position]
}

// position is an offset that holds in an era.
type position struct {
	offset, era uint64
}

// Option configures a Follower.
type Option func(*Follower)

// WithWait sets how long a read waits for new records at the end of the topic.
func WithWait(wait time.Duration) Option { return func(f *Follower) { f.wait = wait } }

// WithInterval sets the pause between two reads, for topics to which records are appended all the time.
func WithInterval(interval time.Duration) Option { return func(f *Follower) { f.interval = interval } }

// WithExpired sets the function that reports whether an error means that the store no longer has the records to be
// read. The follower then reads a new snapshot.
func WithExpired(isExpired func(error) bool) Option {
	return func(f *Follower) { f.isExpired = isExpired }
}

// WithWakeups sets the channel on which newer records are announced. A wakeup ends a pause, and it
// interrupts a waiting read whose answer has not begun to arrive, and makes the follower read a new snapshot.
func WithWakeups(wakeups <-chan struct{}) Option { return func(f *Follower) { f.wakeups = wakeups } }

// WithFirstReadOnWakeup makes the first read wait for a wakeup: the content of the topic may come from elsewhere.
func WithFirstReadOnWakeup() Option { return func(f *Follower) { f.waitFirst = true } }

// WithAvailabilityObserver sets a function that is told when a read has failed after one that was answered, and the other way round.
func WithAvailabilityObserver(observe func(available bool)) Option {
	return func(f *Follower) { f.observe = observe }
}

// WithLogger sets the logger for outages of the store and for expired records.
func WithLogger(log *zap.Logger) Option { return func(f *Follower) { f.log = log } }

// New returns a Follower that calls apply with each batch it reads.
func New(topic Topic, apply func(Batch), opts ...Option) *Follower {
	f := &Follower{topic: topic, apply: apply, isExpired: func(error) bool { return false }, log: zap.NewNop(), observe: func(bool) {}, now: time.Now, signals: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// UpToDate asks the store in a call of its own whether it has records that have not been read yet. A waiting read does not
// show them if its answer is lost. It may be called while Run runs.
func (f *Follower) UpToDate(ctx context.Context) (bool, error) {
	read := f.position.Load()
	if read == nil {
		return false, errNoSnapshot
	}
	callCtx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	found, err := f.topic.Read(callCtx, read.offset, 0)
	switch {
	case f.isExpired(err):
		return false, nil
	case err != nil:
		return false, err
	case f.position.Load() != read:
		// The waiting read has been answered meanwhile.
		return true, nil
	}
	return len(found.Records) == 0 && found.Era == read.era, nil
}

// Advance tells the follower that the topic up to an offset, which holds in an era, is known from elsewhere, so that the next
// read begins there. It may be called while Run runs.
func (f *Follower) Advance(offset, era uint64) {
	f.advanced.Store(&position{offset, era})
	Notify(f.signals)
}

// SetPaused sets whether the follower reads at wakeups only, since what is appended becomes known from elsewhere. A pause ends a
// waiting read. It may be called while Run runs.
func (f *Follower) SetPaused(paused bool) {
	if f.paused.Swap(paused) != paused {
		Notify(f.signals)
	}
}

// Notify sends to a channel of capacity 1 without blocking. If a signal is pending already, it does nothing.
func Notify(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// takeAdvance takes over the position of Advance if it is further than what has been read.
func (f *Follower) takeAdvance() {
	to := f.advanced.Swap(nil)
	if to == nil || f.everRead && (to.era != f.era || to.offset <= f.nextOffset) {
		return
	}
	f.haveSnapshot, f.everRead, f.nextOffset, f.era = true, true, to.offset, to.era
	f.position.Store(to)
}

// waitWhilePaused returns once the follower may read. A wakeup during a pause asks for a new snapshot.
func (f *Follower) waitWhilePaused(ctx context.Context) {
	for f.paused.Load() && f.haveSnapshot && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-f.wakeups:
			f.haveSnapshot = false
		case <-f.signals:
			f.takeAdvance()
		}
		f.lastSuccess = f.now()
	}
}

// Run reads the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minRetryDelay, maxRetryDelay
	f.lastSuccess = f.now()
	if f.waitFirst {
		select {
		case <-ctx.Done():
		case <-f.wakeups:
		}
		f.lastSuccess = f.now()
	}
	for ctx.Err() == nil {
		f.takeAdvance()
		f.waitWhilePaused(ctx)
		batch, err := f.fetch(ctx)
		switch {
		case err == nil:
			retry.Reset()
			f.deliver(batch)
			if !batch.Partial || len(batch.Records) == 0 {
				f.sleep(ctx, f.jitteredInterval())
			}
		case ctx.Err() != nil, errors.Is(err, errWokenUp), errors.Is(err, errPaused):
		case f.isExpired(err), errors.Is(err, errRestored):
			f.log.Info("topic-reread", zap.String("Topic", f.topic.Name), zap.Uint64("From", f.nextOffset), zap.Uint64("Era", f.era), zap.Error(err))
			f.haveSnapshot = false
		default:
			f.recordFailure(err)
			f.sleep(ctx, retry.NextBackOff())
		}
	}
}

// jitteredInterval returns the interval with a jitter of 10 %, so that VMs that started at the same time do not read at
// the same time.
func (f *Follower) jitteredInterval() time.Duration {
	return time.Duration(float64(f.interval) * (0.9 + 0.2*rand.Float64()))
}

// fetch reads a snapshot if the follower has no valid one, and the next records otherwise.
func (f *Follower) fetch(ctx context.Context) (Batch, error) {
	sentAt := f.now()
	batch, err := f.read(ctx)
	batch.SentAt = sentAt
	return batch, err
}

// read is fetch without the time.
func (f *Follower) read(ctx context.Context) (Batch, error) {
	if !f.haveSnapshot {
		callCtx, cancel := withProgressTimeout(ctx, callTimeout)
		defer cancel()
		found, err := f.topic.Newest(callCtx)
		if err != nil {
			return Batch{}, err
		}
		restored := f.everRead && found.Era != f.era
		f.haveSnapshot, f.everRead, f.nextOffset, f.era = true, true, found.Next, found.Era
		return Batch{Records: found.Records, Snapshot: true, NextOffset: found.Next, Era: found.Era, Restored: restored}, nil
	}
	if f.wait == 0 {
		callCtx, cancel := withProgressTimeout(ctx, callTimeout)
		defer cancel()
		return f.readNext(callCtx)
	}
	wakeCtx, cancelOnWakeup := context.WithCancelCause(ctx)
	defer cancelOnWakeup(nil)
	callCtx, cancel := withProgressTimeout(wakeCtx, f.wait+callTimeout)
	defer cancel()
	go f.interrupt(callCtx, cancelOnWakeup)
	batch, err := f.readNext(callCtx)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		// The read timed out, so the connection may be dead, or a wakeup reported newer records that the read has not
		// returned. In both cases a new snapshot is read.
		err = context.Cause(callCtx)
		f.haveSnapshot = errors.Is(err, errPaused)
	}
	return batch, err
}

// interrupt cancels a waiting read when there is a wakeup or a pause begins, until ctx is done. An answer that arrives is not given up.
func (f *Follower) interrupt(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		select {
		case <-f.wakeups:
			if !arrives(ctx) {
				cancel(errWokenUp)
			}
		case <-f.signals:
			if f.paused.Load() && !arrives(ctx) {
				cancel(errPaused)
			}
		case <-ctx.Done():
			return
		}
	}
}

// readNext reads the records from nextOffset onward.
func (f *Follower) readNext(ctx context.Context) (Batch, error) {
	found, err := f.topic.Read(ctx, f.nextOffset, f.wait)
	switch {
	case err != nil:
		return Batch{}, err
	case found.Era != f.era:
		return Batch{}, errRestored
	}
	f.nextOffset = found.Next
	return Batch{Records: found.Records, NextOffset: found.Next, Era: found.Era, Partial: found.Partial}, nil
}

// deliver passes a batch to apply and ends an outage.
func (f *Follower) deliver(batch Batch) {
	now := f.now()
	if f.unavailable {
		batch.Outage = now.Sub(f.lastSuccess)
		f.observe(true)
		f.log.Info("store-regained", zap.String("Topic", f.topic.Name), zap.Duration("Outage", batch.Outage))
	}
	f.unavailable, f.lastSuccess = false, now
	f.position.Store(&position{f.nextOffset, f.era})
	f.apply(batch)
}

// recordFailure marks the store as unavailable and logs it, unless it is marked already.
func (f *Follower) recordFailure(err error) {
	if f.unavailable {
		return
	}
	f.unavailable = true
	f.observe(false)
	f.log.Warn("store-lost", zap.String("Topic", f.topic.Name), zap.Duration("LastAnswer", f.now().Sub(f.lastSuccess)), zap.Error(err))
}

// sleep waits for d, until a wakeup or until ctx is done.
func (f *Follower) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wakeups:
	case <-timer.C:
	}
}

// Package follow keeps up with topics of a store that holds the newest record of each key.
//
// A Follower first takes the newest records, and then reads what comes after them. It outlasts outages of the
// store and the loss of old records, and says of each batch how long the store had been away.
package follow

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"
)

const (
	// callTimeout is how long a call may take besides its own wait. A slow store takes up to 0.4 s.
	callTimeout = 1500 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call. A change must be in force 2 s after it was
	// acknowledged, also right after an outage.
	firstRetry   = 60 * time.Millisecond
	longestRetry = 700 * time.Millisecond
)

// errNudged ends a waiting read because there is something newer.
var errNudged = errors.New("there is something newer")

// Record is the newest record of a key. A record without a value says that the key was removed.
type Record struct {
	Key    string
	Value  []byte
	Offset uint64
}

// Topic is how one topic is read.
type Topic struct {
	Name string
	// Newest returns the newest record of each key, and the offset from which to read on.
	Newest func(ctx context.Context) ([]Record, uint64, error)
	// Read returns the records from an offset on. At the end it waits for one.
	Read func(ctx context.Context, from uint64, wait time.Duration) ([]Record, error)
}

// Batch is what one call brought.
type Batch struct {
	Records []Record
	// Whole says that Records are all keys that there are.
	Whole bool
	// Next is the offset after the last record that was read.
	Next uint64
	// Outage is how long the store had not answered before.
	Outage time.Duration
}

// Follower reads one topic for as long as it runs.
type Follower struct {
	topic   Topic
	apply   func(Batch)
	expired func(error) bool
	wait    time.Duration
	pace    time.Duration
	log     *zap.Logger
	now     func() time.Time
	nudges  <-chan struct{}

	next       uint64
	whole      bool
	answeredAt time.Time
	lost       bool
}

// Option changes a new Follower.
type Option func(*Follower)

// WithWait sets how long a read waits at the end of the topic.
func WithWait(wait time.Duration) Option { return func(f *Follower) { f.wait = wait } }

// WithPace sets the pause between two reads, for topics in which records come all the time.
func WithPace(pace time.Duration) Option { return func(f *Follower) { f.pace = pace } }

// WithExpired sets how an error is told that says that old records are no longer kept.
func WithExpired(expired func(error) bool) Option { return func(f *Follower) { f.expired = expired } }

// WithNudges sets a channel whose signals make the follower read at once, because there seems to be something newer. A
// read that waits is ended for it.
func WithNudges(nudges <-chan struct{}) Option { return func(f *Follower) { f.nudges = nudges } }

// WithLogger sets where the loss and the return of the store are logged.
func WithLogger(log *zap.Logger) Option { return func(f *Follower) { f.log = log } }

// New returns a follower that passes what it reads to apply.
func New(topic Topic, apply func(Batch), opts ...Option) *Follower {
	f := &Follower{topic: topic, apply: apply, expired: func(error) bool { return false }, log: zap.NewNop(), now: time.Now}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Run reads until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstRetry, longestRetry
	f.answeredAt = f.now()
	for ctx.Err() == nil {
		batch, err := f.step(ctx)
		switch {
		case err == nil:
			retry.Reset()
			f.take(batch)
			f.pause(ctx, f.paceWithJitter())
		case ctx.Err() != nil, errors.Is(err, errNudged):
		case f.expired(err):
			f.log.Info("topic-reread", zap.String("Topic", f.topic.Name), zap.Uint64("From", f.next), zap.Error(err))
			f.whole = false
		default:
			f.noteLoss(err)
			f.pause(ctx, retry.NextBackOff())
		}
	}
}

// paceWithJitter keeps VMs that started together from reading together.
func (f *Follower) paceWithJitter() time.Duration {
	return time.Duration(float64(f.pace) * (0.9 + 0.2*rand.Float64()))
}

func (f *Follower) step(ctx context.Context) (Batch, error) {
	if !f.whole {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		records, next, err := f.topic.Newest(callCtx)
		if err != nil {
			return Batch{}, err
		}
		f.whole, f.next = true, next
		return Batch{Records: records, Whole: true, Next: next}, nil
	}
	if f.wait == 0 {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return f.read(callCtx)
	}
	nudgeCtx, cancelNudge := context.WithCancelCause(ctx)
	defer cancelNudge(nil)
	callCtx, cancel := context.WithTimeout(nudgeCtx, f.wait+callTimeout)
	defer cancel()
	go func() {
		select {
		case <-f.nudges:
			cancelNudge(errNudged)
		case <-callCtx.Done():
		}
	}()
	batch, err := f.read(callCtx)
	if err != nil && callCtx.Err() != nil && ctx.Err() == nil {
		// The connection may have gone silent, or there is news elsewhere: the newest records tell.
		f.whole = false
		err = context.Cause(callCtx)
	}
	return batch, err
}

// read reads on from the last record.
func (f *Follower) read(ctx context.Context) (Batch, error) {
	records, err := f.topic.Read(ctx, f.next, f.wait)
	f.next += uint64(len(records))
	return Batch{Records: records, Next: f.next}, err
}

func (f *Follower) take(batch Batch) {
	now := f.now()
	if f.lost {
		batch.Outage = now.Sub(f.answeredAt)
		f.log.Info("store-regained", zap.String("Topic", f.topic.Name), zap.Duration("Outage", batch.Outage))
	}
	f.lost, f.answeredAt = false, now
	f.apply(batch)
}

func (f *Follower) noteLoss(err error) {
	if f.lost {
		return
	}
	f.lost = true
	f.log.Warn("store-lost", zap.String("Topic", f.topic.Name), zap.Duration("LastAnswer", f.now().Sub(f.answeredAt)), zap.Error(err))
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.nudges:
	case <-timer.C:
	}
}

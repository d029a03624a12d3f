package follow

import (
	"context"
	"sync/atomic"
	"time"
)

// progressKey is the key of the progress of a call.
type progressKey struct{}

// progress is that of the answer to one call.
type progress struct {
	// begun is whether a part of the answer has arrived.
	begun atomic.Bool
	idle  *time.Timer
}

// withProgressTimeout returns a context that is canceled with context.DeadlineExceeded as its cause if timeout passes, then
// callTimeout after each progress, or maxCallDuration after timeout. A long answer over a busy link is not given up, and asked for
// again, while it arrives: what is given up has filled the link for nothing.
func withProgressTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	expire := func() { cancel(context.DeadlineExceeded) }
	idle, total := time.AfterFunc(timeout, expire), time.AfterFunc(timeout+maxCallDuration, expire)
	ctx = context.WithValue(ctx, progressKey{}, &progress{idle: idle})
	return ctx, func() {
		idle.Stop()
		total.Stop()
		cancel(nil)
	}
}

// RecordProgress tells the follower whose call this is that a part of the answer has arrived.
func RecordProgress(ctx context.Context) {
	if p, ok := ctx.Value(progressKey{}).(*progress); ok {
		p.begun.Store(true)
		p.idle.Reset(callTimeout)
	}
}

// arrives reports whether a part of the answer to the call has arrived.
func arrives(ctx context.Context) bool {
	p, ok := ctx.Value(progressKey{}).(*progress)
	return ok && p.begun.Load()
}

package follow

import (
	"context"
	"time"
)

// progressKey is the key of the function that RecordProgress calls.
type progressKey struct{}

// withProgressTimeout returns a context that is canceled with context.DeadlineExceeded as its cause if timeout passes, then
// callTimeout after each progress, or maxCallDuration after timeout. A long answer over a busy link is not given up, and asked for
// again, while it arrives: what is given up has filled the link for nothing.
func withProgressTimeout(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	expire := func() { cancel(context.DeadlineExceeded) }
	idle, total := time.AfterFunc(timeout, expire), time.AfterFunc(timeout+maxCallDuration, expire)
	ctx = context.WithValue(ctx, progressKey{}, func() { idle.Reset(callTimeout) })
	return ctx, func() {
		idle.Stop()
		total.Stop()
		cancel(nil)
	}
}

// RecordProgress tells the follower whose call this is that a part of the answer has arrived.
func RecordProgress(ctx context.Context) {
	if record, ok := ctx.Value(progressKey{}).(func()); ok {
		record()
	}
}

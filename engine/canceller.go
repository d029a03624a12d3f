package engine

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	cancelTimeout = time.Second
	// cancelRetryPeriod limits how long a cancel is retried. Attempts that are held longer are found in the
	// reports of the engine and released then.
	cancelRetryPeriod = 30 * time.Second
	// requiredNotHeldReplies is the number of replies without a held attempt after which a cancel counts as
	// confirmed. One is not enough, since a cancel may overtake the request of its attempt.
	requiredNotHeldReplies = 2
)

// Canceller retries cancels in the background until the engine confirms them. It is safe for concurrent
// use.
type Canceller struct {
	client *Client
	ctx    context.Context

	mu       sync.Mutex
	inFlight map[string]bool
	wg       sync.WaitGroup
}

// NewCanceller returns a Canceller and a function that shuts it down. The function waits up to grace for
// cancels in flight and then aborts them.
func NewCanceller(client *Client, grace time.Duration) (*Canceller, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Canceller{client: client, ctx: ctx, inFlight: map[string]bool{}}
	return c, func() {
		timer := time.AfterFunc(grace, cancel)
		c.wg.Wait()
		timer.Stop()
		cancel()
	}
}

// Cancel starts releasing the resources of an attempt on an engine and returns immediately. The
// connection of the attempt's own request must already be closed.
func (c *Canceller) Cancel(addr, attempt string) {
	key := addr + " " + attempt
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[key] || c.ctx.Err() != nil {
		return
	}
	c.inFlight[key] = true
	c.wg.Go(func() {
		c.cancelWithRetry(addr, attempt)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.inFlight, key)
	})
}

func (c *Canceller) cancelWithRetry(addr, attempt string) {
	ctx, cancel := context.WithTimeout(c.ctx, cancelRetryPeriod)
	defer cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = time.Second
	for notHeldReplies := 0; notHeldReplies < requiredNotHeldReplies; {
		held, err := c.cancelOnce(ctx, addr, attempt)
		var engineErr *Error
		switch {
		case err == nil && held:
			return
		case err == nil:
			notHeldReplies++
		case errors.As(err, &engineErr) && engineErr.Kind == ErrUnsent:
			// An engine that refuses connections holds nothing. Retry in case it is only slow to accept.
			notHeldReplies++
		}
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (c *Canceller) cancelOnce(ctx context.Context, addr, attempt string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return c.client.Cancel(ctx, addr, attempt)
}

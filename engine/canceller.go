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
	// cancelFor is how long a cancel is repeated. Reports release what is still held then.
	cancelFor = 30 * time.Second
	// settleAnswers is how many answers in a row must say that nothing is held, since a cancel may
	// overtake its request.
	settleAnswers = 2
)

// Canceller repeats cancels until the engine has confirmed them.
type Canceller struct {
	client *Client
	ctx    context.Context

	mu   sync.Mutex
	busy map[string]bool
	wg   sync.WaitGroup
}

// NewCanceller returns a canceller, and a function that waits a little for cancels under way and
// then stops them.
func NewCanceller(client *Client, grace time.Duration) (*Canceller, func()) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Canceller{client: client, ctx: ctx, busy: map[string]bool{}}
	return c, func() {
		timer := time.AfterFunc(grace, cancel)
		c.wg.Wait()
		timer.Stop()
		cancel()
	}
}

// Cancel releases what an attempt holds on an engine. It returns at once. The connection of the
// attempt's own request must be closed already.
func (c *Canceller) Cancel(addr, attempt string) {
	key := addr + " " + attempt
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy[key] || c.ctx.Err() != nil {
		return
	}
	c.busy[key] = true
	c.wg.Go(func() {
		c.repeat(addr, attempt)
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.busy, key)
	})
}

func (c *Canceller) repeat(addr, attempt string) {
	ctx, cancel := context.WithTimeout(c.ctx, cancelFor)
	defer cancel()
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = 50 * time.Millisecond
	retry.MaxInterval = time.Second
	for absent := 0; absent < settleAnswers; {
		held, err := c.once(ctx, addr, attempt)
		var engineErr *Error
		switch {
		case err == nil && held:
			return
		case err == nil:
			absent++
		case errors.As(err, &engineErr) && engineErr.Kind == ErrUnsent:
			// Nothing listens, so nothing is held; asked again in case the engine is only slow.
			absent++
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

func (c *Canceller) once(ctx context.Context, addr, attempt string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	return c.client.Cancel(ctx, addr, attempt)
}

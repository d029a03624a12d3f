package app

import (
	"context"
	"errors"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// portRetryInterval is the time between two tries to listen on a port that is in use.
const portRetryInterval = 50 * time.Millisecond

// whenPortFree calls listen, which listens on addr, until the port is free or ctx is done. A predecessor that is still stopping
// or a connection of another program may use it for a while. Any other error is returned at once.
func whenPortFree[T any](ctx context.Context, log *zap.Logger, addr string, listen func() (T, error)) (T, error) {
	since := time.Time{}
	for {
		listener, err := listen()
		switch {
		case !errors.Is(err, syscall.EADDRINUSE):
			if !since.IsZero() {
				log.Info("port-free", zap.String("Address", addr), zap.Duration("Waited", time.Since(since)), zap.Error(err))
			}
			return listener, err
		case since.IsZero():
			since = time.Now()
			log.Warn("port-in-use", zap.String("Address", addr), zap.Error(err))
		}
		select {
		case <-ctx.Done():
			return listener, err
		case <-time.After(portRetryInterval):
		}
	}
}

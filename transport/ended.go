package transport

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// endCheckDelay is how long a killed process may still accept connections after others of it have ended.
	endCheckDelay = 5 * time.Millisecond
	// endCheckTimeout bounds the check whether a process has ended. A connection through a peer may take as long.
	endCheckTimeout = 600 * time.Millisecond
)

// Dial opens a connection to an address, an IP address and port.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// HasEnded reports whether the process at addr, which has just closed a connection, may have ended: it accepts no others. The kernel ends
// the connections of a killed process in an orderly way, so that a body without framing looks complete. A process of which nothing is
// heard in time counts as ended.
func HasEnded(ctx context.Context, dial Dial, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	select {
	case <-time.After(endCheckDelay):
	case <-ctx.Done():
		return true
	}
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		// A process that has enough connections accepts others and resets them.
		return !errors.Is(err, syscall.ECONNRESET)
	}
	conn.Close()
	return false
}

// Refuses reports whether connections to addr are refused, which means that no process listens there. It returns false if no answer
// arrives in time.
func Refuses(ctx context.Context, dial Dial, addr string) bool {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}

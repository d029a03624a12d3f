package service

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/cassiabridge/cassiabridge/transport"
)

// maxCloseSpread is the longest time between the ends of two connections of a process that is killed, on a busy machine.
const maxCloseSpread = 100 * time.Millisecond

// livenessConn is a connection to an upstream that is opened while a response of it arrives, and on which nothing is sent. The kernel ends
// all connections of a killed process in an orderly way: one that ends together with the response tells of that, also if another process
// accepts connections at the address since then.
type livenessConn struct {
	// closed receives the connection's lifetime once the upstream has ended it.
	closed chan lifetime
}

// lifetime is when a connection was opened and when its upstream ended it.
type lifetime struct {
	openedAt, endedAt time.Time
}

// openLivenessConn starts opening a connection to addr. The returned function closes it.
func openLivenessConn(ctx context.Context, dial transport.Dial, addr string) (*livenessConn, func()) {
	ctx, cancel := context.WithCancel(ctx)
	l := &livenessConn{closed: make(chan lifetime, 1)}
	go l.watch(ctx, dial, addr)
	return l, cancel
}

func (l *livenessConn) watch(ctx context.Context, dial transport.Dial, addr string) {
	conn, err := dial(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	c := lifetime{openedAt: time.Now()}
	_, err = conn.Read(make([]byte, 1))
	c.endedAt = time.Now()
	// A process that has enough connections resets others at once.
	surplus := !errors.Is(err, io.EOF) && c.endedAt.Sub(c.openedAt) < maxCloseSpread
	if err != nil && ctx.Err() == nil && !surplus {
		l.closed <- c
	}
}

// endedWith reports whether the upstream has ended the connection together with a response whose end was read at a time. A connection that
// was opened later, or that the upstream ended long before the response, tells nothing.
func (l *livenessConn) endedWith(responseEnd time.Time) bool {
	select {
	case c := <-l.closed:
		return c.openedAt.Before(responseEnd) && responseEnd.Sub(c.endedAt) < maxCloseSpread
	default:
		return false
	}
}

package relay

import (
	"errors"
	"io"
	"net"
	"time"
)

// writeEndDelay is how long a write to an upstream that has ended its answer may take to return.
const writeEndDelay = 50 * time.Millisecond

// errRequestNotWritten means that an upstream ended its connection before the request was written.
var errRequestNotWritten = errors.New("the upstream ended the connection before it had read the request")

// tunnel relays bytes between a peer, which calls an upstream, and the upstream.
type tunnel struct {
	caller, upstream net.Conn
}

// run relays in both directions until one side has ended its connection. An upstream's end or reset reaches the caller as what it
// was: an answer that only the end of its connection completes must not look complete after a reset, nor if this process is killed. run
// returns nil if the upstream's end was regular, or the caller ended its connection first.
func (t tunnel) run() error {
	// The kernel ends the connections of a killed process in an orderly way, unless this is set.
	setResetOnClose(t.caller, true)
	toUpstream := newTrackedWriter(t.upstream)
	upstreamEnded := make(chan struct{})
	var upstreamErr error
	go func() {
		defer close(upstreamEnded)
		upstreamErr = copyBytes(t.caller, t.upstream)
		if upstreamErr == nil && !toUpstream.succeedsWithin(writeEndDelay) {
			upstreamErr = errRequestNotWritten
		}
		if upstreamErr != nil {
			reset(t.caller)
			return
		}
		setResetOnClose(t.caller, false)
		if half, ok := t.caller.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
	}()
	// The caller ends its connection when it has the answer, or when nobody waits for it any more: work on it stops then.
	_ = copyBytes(toUpstream, t.caller)
	t.upstream.Close()
	<-upstreamEnded
	t.caller.Close()
	if errors.Is(upstreamErr, net.ErrClosed) {
		return nil
	}
	return upstreamErr
}

// trackedWriter writes to a connection and knows whether all writes have succeeded. A reset of the connection is reported once: if a write
// meets it, a read finds what looks like an orderly end.
type trackedWriter struct {
	dst io.Writer
	// idle holds one element while no write is under way: whether all writes have succeeded.
	idle chan bool
}

func newTrackedWriter(dst io.Writer) *trackedWriter {
	w := &trackedWriter{dst: dst, idle: make(chan bool, 1)}
	w.idle <- true
	return w
}

// Write implements io.Writer.
func (w *trackedWriter) Write(p []byte) (int, error) {
	succeeded := <-w.idle
	n, err := w.dst.Write(p)
	w.idle <- succeeded && err == nil
	return n, err
}

// succeedsWithin reports whether all writes have succeeded, also one that is under way and returns within a period.
func (w *trackedWriter) succeedsWithin(period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case succeeded := <-w.idle:
		w.idle <- succeeded
		return succeeded
	case <-timer.C:
		return false
	}
}

// copyBytes copies from src to dst until src ends. It returns nil only if that was its regular end.
func copyBytes(dst io.Writer, src io.Reader) error {
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := src.Read(buffer)
		if n > 0 {
			if _, writeErr := dst.Write(buffer[:n]); writeErr != nil {
				return writeErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// setResetOnClose sets whether the end of a connection, also by the end of the process, is a reset. Otherwise it is an orderly close.
func setResetOnClose(conn net.Conn, enabled bool) {
	seconds := -1
	if enabled {
		seconds = 0
	}
	if c, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(seconds)
	}
}

// reset closes a connection so that its other end reads a reset.
func reset(conn net.Conn) {
	setResetOnClose(conn, true)
	conn.Close()
}

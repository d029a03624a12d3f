package relay

import (
	"errors"
	"io"
	"net"
)

// tunnel relays bytes between a peer, which calls an upstream, and the upstream.
type tunnel struct {
	caller, upstream net.Conn
}

// run relays in both directions until one side has ended its connection. An upstream's end or reset reaches the caller as what it
// was: an answer that only the end of its connection completes must not look complete after a reset, nor if this process is killed. run
// returns nil if the upstream's end was regular.
func (t tunnel) run() error {
	// The kernel ends the connections of a killed process in an orderly way, unless this is set.
	setResetOnClose(t.caller, true)
	upstreamEnded := make(chan struct{})
	var upstreamErr error
	go func() {
		defer close(upstreamEnded)
		if upstreamErr = copyBytes(t.caller, t.upstream); upstreamErr != nil {
			reset(t.caller)
			return
		}
		setResetOnClose(t.caller, false)
		if half, ok := t.caller.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
	}()
	// The caller ends its connection when it has the answer, or when nobody waits for it any more: work on it stops then.
	_ = copyBytes(t.upstream, t.caller)
	t.upstream.Close()
	<-upstreamEnded
	t.caller.Close()
	return upstreamErr
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

package exchange

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

const (
	// readBufferBytes holds the head of an answer and some of its body.
	readBufferBytes = 4 << 10
	// inlineWriteBytes fits the send buffer of an idle connection, so that writing does not wait.
	inlineWriteBytes = 8 << 10
	// keepAliveIdle, keepAliveInterval and keepAliveProbes end a connection that has gone silent within 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// conn is one connection to an upstream. One request is under way on it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usableUntil is when the upstream may close the idle connection.
	usableUntil time.Time
	idleSince   time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferBytes)}
}

// quiet reports whether the idle connection is still open and no bytes wait on it. Bytes that come
// without a request belong to no answer.
func (c *conn) quiet() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peek [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, readErr := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// write is the sending of one request. Long requests are written beside the reading of the answer, which
// may come before the upstream has read them.
type write struct {
	done chan struct{}
	sent int
	err  error
}

// startWrite hands a request to the network. It returns when a short request is written.
func startWrite(to net.Conn, data []byte) *write {
	w := &write{done: make(chan struct{})}
	run := func() {
		defer close(w.done)
		w.sent, w.err = to.Write(data)
	}
	if len(data) > inlineWriteBytes {
		go run()
	} else {
		run()
	}
	return w
}

// ended reports whether the write has ended, well or not.
func (w *write) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// failedUnsent reports whether the write has ended before any byte was handed over.
func (w *write) failedUnsent() bool { return w.ended() && w.err != nil && w.sent == 0 }

// whole reports whether the whole request was handed over.
func (w *write) whole() bool { return w.ended() && w.err == nil }

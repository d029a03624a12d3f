package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// readBufferBytes fits the headers of a response and the start of its body.
	readBufferBytes = 4 << 10
	// maxInlineWriteBytes fits the send buffer of an idle connection, so that the write does not block.
	maxInlineWriteBytes = 8 << 10
	// With these TCP keep-alive settings, a connection whose peer stops responding is closed within 3 s.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// errHeadTooLong means that an upstream sent more than the limit without completing the headers of a response.
var errHeadTooLong = errors.New("the upstream sent too many bytes before the headers of its response were complete")

// conn is a connection to an upstream. It has at most one request in flight.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// limit bounds what reader takes from the connection.
	limit *limitedReader
	// usableUntil is the time after which the idle connection is not reused, because the upstream may close it.
	usableUntil time.Time
	idleSince   time.Time
	// openedAt is a time after which the connection was opened.
	openedAt time.Time
}

func newConn(raw net.Conn, openedAt time.Time) *conn {
	limit := &limitedReader{src: raw, remaining: noLimit}
	return &conn{Conn: raw, openedAt: openedAt, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes)}
}

// noLimit is the value of limitedReader.remaining for an unlimited reader.
const noLimit = -1

// limitedReader reads from src, and fails with errHeadTooLong once remaining bytes have been read.
type limitedReader struct {
	src       io.Reader
	remaining int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining == noLimit {
		return l.src.Read(p)
	}
	if l.remaining == 0 {
		return 0, errHeadTooLong
	}
	n, err := l.src.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// healthy reports whether the idle connection is still open and has no unread data. Data that arrives while no
// request is in flight does not belong to any response.
func (c *conn) healthy() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rawConn, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	healthy := false
	var peek [1]byte
	err = rawConn.Read(func(fd uintptr) bool {
		_, _, readErr := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		healthy = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && healthy
}

// requestWrite is the write of one request. A request longer than maxInlineWriteBytes is written in a goroutine
// while the response is read, because the upstream may respond before it has read the whole request.
type requestWrite struct {
	done    chan struct{}
	written int
	err     error
}

// startWrite writes an encoded request to dst. A request longer than maxInlineWriteBytes is written in the background.
func startWrite(dst net.Conn, data []byte) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	run := func() {
		defer close(w.done)
		w.written, w.err = dst.Write(data)
	}
	if len(data) > maxInlineWriteBytes {
		go run()
	} else {
		run()
	}
	return w
}

// finished reports whether the write has returned, with or without an error.
func (w *requestWrite) finished() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// failedUnsent reports whether the write failed before any byte was written.
func (w *requestWrite) failedUnsent() bool { return w.finished() && w.err != nil && w.written == 0 }

// succeedsWithin reports whether the whole request is written, or will be within a period.
func (w *requestWrite) succeedsWithin(period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// succeeded reports whether the whole request was written.
func (w *requestWrite) succeeded() bool { return w.finished() && w.err == nil }

package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
)

// copyBufferBytes is the size of the buffer for copying response bodies.
const copyBufferBytes = 16 << 10

// responseWriter relays a response to a caller and records its status and size.
type responseWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	// started is set once the status and headers have been written, which is when the body begins or is found to be empty.
	started bool
	// answering is started, for other goroutines.
	answering atomic.Bool
	status    int
	// setResetOnClose sets whether the caller's connection ends with a reset. It may be nil.
	setResetOnClose func(reset bool)
	// chunks is whether the caller understands bodies in chunks.
	chunks bool
	// confirmsEnds is whether the end of a body that only the upstream's connection ends is confirmed before it counts.
	confirmsEnds bool
	// upstreamFraming says what ends the body of the first upstream, and framing what ends the one that the caller receives.
	upstreamFraming, framing exchange.Framing
	// bytes counts the body bytes written so far.
	bytes int64
	// firstByteAt is when the first byte of the body was written, by the clock now.
	firstByteAt time.Time
	now         func() time.Time
	// onFirstByte is called before the first write of the body. It may be nil.
	onFirstByte func()
	// onWrite is called after each write of the body. It may be nil.
	onWrite func()
}

// setWriteDeadline sets the time until which the response may be written to the caller.
func (w *responseWriter) setWriteDeadline(deadline time.Time) {
	_ = w.controller.SetWriteDeadline(deadline)
}

// prepare sets the status and headers of an upstream's response, which are written when its body begins. Until then, an error or another
// response can take its place. length is the length of the body in bytes, or -1 if unknown. A body that only the end of the upstream's
// connection ends gets chunks if its end is confirmed: whatever lies between caller and VM may turn a reset into an orderly end. Otherwise
// it gets no other framing, which would claim that it is complete.
func (w *responseWriter) prepare(status int, h http.Header, upstream exchange.Framing, length int64) {
	header := w.Header()
	closing := header["Connection"]
	clear(header)
	if closing != nil {
		header["Connection"] = closing
	}
	for name, values := range h {
		header[name] = values
	}
	if _, named := header["Content-Type"]; !named {
		// A nil entry keeps net/http from sniffing the content type.
		header["Content-Type"] = nil
	}
	header.Del("Content-Length")
	w.upstreamFraming, w.framing = upstream, w.callerFraming(upstream, length)
	switch {
	case w.framing == exchange.FramedByLength:
		header.Set("Content-Length", strconv.FormatInt(length, 10))
	case w.framing == exchange.FramedByConn && w.chunks:
		// This keeps net/http from sending chunks.
		header.Set("Transfer-Encoding", "identity")
	}
	w.status = status
}

// start writes the status and headers that prepare has set.
func (w *responseWriter) start() {
	if w.started {
		return
	}
	w.started = true
	w.answering.Store(true)
	w.protectEnd(true)
	w.WriteHeader(w.status)
}

// callerFraming returns what ends the body that the caller receives.
func (w *responseWriter) callerFraming(upstream exchange.Framing, length int64) exchange.Framing {
	switch {
	case length >= 0:
		return exchange.FramedByLength
	case w.chunks && (upstream != exchange.FramedByConn || w.confirmsEnds):
		return exchange.FramedByChunks
	}
	return exchange.FramedByConn
}

// finish marks the response as complete.
func (w *responseWriter) finish() {
	w.start()
	w.protectEnd(false)
}

// protectEnd makes the connection of a body that it ends close with a reset until the body is complete, so that the
// caller can tell a truncated body from a complete one.
func (w *responseWriter) protectEnd(truncated bool) {
	if w.framing == exchange.FramedByConn && w.setResetOnClose != nil {
		w.setResetOnClose(truncated)
	}
}

// writeAndFlush writes a part of the body and flushes it, so that streams are not delayed by buffering. If that fails it
// returns an Error of kind ErrCallerGone.
func (w *responseWriter) writeAndFlush(p []byte) error {
	w.start()
	if w.bytes == 0 {
		w.noteFirstByte()
	}
	n, err := w.Write(p)
	w.bytes += int64(n)
	if err == nil {
		err = w.controller.Flush()
	}
	if err != nil {
		return &Error{Op: "write response", Kind: ErrCallerGone, Err: err}
	}
	if w.onWrite != nil {
		w.onWrite()
	}
	return nil
}

// noteFirstByte records that the body begins.
func (w *responseWriter) noteFirstByte() {
	if w.now != nil {
		w.firstByteAt = w.now()
	}
	if w.onFirstByte != nil {
		w.onFirstByte()
	}
}

// copyBody streams the body of a response to the caller. If writing fails it returns an Error of kind ErrCallerGone;
// read errors are returned as they are.
func (w *responseWriter) copyBody(resp *exchange.Response) error {
	return w.copyWith(resp, func([]byte) error { return nil })
}

// copyStream is copyBody for a stream, which may be truncated although its end is orderly. events follows its events if they are in order,
// and may be nil; the stream ends before one that is not.
func (w *responseWriter) copyStream(resp *exchange.Response, events *eventstream.Sequence) error {
	var tail eventstream.Tail
	err := w.copyWith(resp, func(p []byte) error {
		complete := tail.Add(p)
		if events == nil {
			return nil
		}
		_, err := events.Add(complete)
		return err
	})
	if err == nil && w.framing != exchange.FramedByLength && isTruncated(resp, tail.Started(), tail.Rest()) {
		return resp.TruncatedError()
	}
	return err
}

// copyWith copies the body of a response to the caller and calls check with each part before it is written. It ends with the first error.
func (w *responseWriter) copyWith(resp *exchange.Response, check func([]byte) error) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Read(buffer)
		if n > 0 {
			if err := check(buffer[:n]); err != nil {
				return err
			}
			if err := w.writeAndFlush(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// bodyLength returns the length of the body of a response to announce to the caller, in bytes, or -1 for none. That of a route's event stream
// is not announced, since the stream may turn out to end inside an event, and would be complete with its length.
func bodyLength(resp *exchange.Response, streamRoute bool) int64 {
	if streamRoute && isEventStream(resp.Header) {
		return -1
	}
	return resp.Length
}

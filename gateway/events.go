package gateway

import (
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/cassiabridge/cassiabridge/eventstream"
	"github.com/cassiabridge/cassiabridge/exchange"
)

// maxEventBytes bounds the size of one event of a stream. Each stream in flight may keep one.
const maxEventBytes = 64 << 10

// errEventTooLong means that an upstream sent more than maxEventBytes without ending an event.
var errEventTooLong = errors.New("an event of the stream is too long")

// errNoResumption means that the answer to a request to resume a stream holds no event.
var errNoResumption = errors.New("the answer does not resume the stream")

// errEndUnknown means that a stream in chunks goes on with an answer that only the end of its connection ends: the last chunk would claim that
// the stream is whole.
var errEndUnknown = errors.New("nothing but the end of the connection says that the stream is whole")

// isEventStream reports whether a response says that its body is an event stream.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// isEncoded reports whether a response says that its body is compressed or otherwise encoded, so that its events cannot be read.
func isEncoded(h http.Header) bool {
	encoding := h.Get("Content-Encoding")
	return encoding != "" && encoding != "identity"
}

// copyEvents relays a stream in complete events, so that another upstream can resume it after any of them. events follows what the caller
// gets: an answer that does not go on after its last event ends before the caller sees that.
func (w *responseWriter) copyEvents(resp *exchange.Response, events *eventstream.Sequence) error {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	started := false
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := eventstream.CompleteLen(pending); end > 0 {
			started = true
			if err := w.writeEvents(pending[:end], events); err != nil {
				return err
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF:
			return w.endEvents(resp, events, started, pending)
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errEventTooLong
		}
	}
}

// endEvents ends a stream whose upstream has ended its answer with rest after the last complete event. started is whether the answer has had
// a complete event.
func (w *responseWriter) endEvents(resp *exchange.Response, events *eventstream.Sequence, started bool, rest []byte) error {
	switch {
	case isTruncated(resp, started, rest):
		return resp.TruncatedError()
	case events.Joining():
		return errNoResumption
	case w.started && w.framing != exchange.FramedByConn && w.upstreamFraming != exchange.FramedByConn && resp.Framing == exchange.FramedByConn:
		return errEndUnknown
	case len(rest) > 0:
		return w.writeAndFlush(rest)
	}
	return nil
}

// writeEvents writes those of complete events that follow the ones before them.
func (w *responseWriter) writeEvents(complete []byte, events *eventstream.Sequence) error {
	length, orderErr := events.Add(complete)
	if length > 0 {
		if err := w.writeAndFlush(complete[:length]); err != nil {
			return err
		}
	}
	return orderErr
}

// isTruncated reports whether a stream that has ended with rest after its last complete event is truncated. started is whether it has had
// a complete event. Nothing but its events says that a stream without framing is whole. One in chunks or of an announced length may have been
// ended by an upstream that broke off in the middle of an event.
func isTruncated(resp *exchange.Response, started bool, rest []byte) bool {
	if resp.Framing == exchange.FramedByConn {
		return !started || eventstream.HoldsEvent(rest)
	}
	return isEventStream(resp.Header) && eventstream.HoldsEvent(rest)
}

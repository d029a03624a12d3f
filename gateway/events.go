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

// isEventStream reports whether a response says that its body is an event stream.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// copyEvents relays a stream in complete events, so that another upstream can resume it after any of them. events follows what the caller
// gets: an answer that does not go on after its last event ends before that is seen.
func (w *responseWriter) copyEvents(resp *exchange.Response, events *eventstream.Sequence) error {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	resumes, started := w.bytes > 0 && events.Joining(), false
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
		case err == io.EOF && isTruncated(resp, started, pending):
			return resp.TruncatedError()
		case err == io.EOF && resumes && events.Joining():
			return errNoResumption
		case err == io.EOF && len(pending) > 0:
			// The upstream's response is complete, so its unterminated last event is relayed too.
			return w.writeAndFlush(pending)
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case len(pending) > maxEventBytes:
			return errEventTooLong
		}
	}
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
// a complete event. Nothing but its events says that a stream without framing is whole; one in chunks may have been ended by an upstream
// that broke off in the middle of an event.
func isTruncated(resp *exchange.Response, started bool, rest []byte) bool {
	switch resp.Framing {
	case exchange.FramedByConn:
		return !started || eventstream.HoldsEvent(rest)
	case exchange.FramedByChunks:
		return isEventStream(resp.Header) && eventstream.HoldsEvent(rest)
	}
	return false
}

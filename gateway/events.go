package gateway

import (
	"bytes"
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

// errNoResumption means that the answer to a request to resume a stream does not begin with an event that has an ID.
var errNoResumption = errors.New("the answer does not resume the stream")

// isEventStream reports whether a response says that its body is an event stream.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// copyEvents relays a stream in complete events, so that another upstream can resume it after any of them. lastID is
// the ID of the last event that the caller already has. copyEvents returns the ID of the last event that it relayed, or
// lastID if there was none. If the caller has got events with IDs, the answer must go on with such an event: anything else would
// stand in the middle of the stream. observe is called with the events before they are relayed.
func (w *responseWriter) copyEvents(resp *exchange.Response, lastID string, observe func(events []byte)) (string, error) {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	started, resumes := false, w.bytes > 0 && lastID != ""
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := eventstream.CompleteLen(pending); end > 0 {
			complete := pending[:end]
			observe(complete)
			if _, found := lastEventID(complete); resumes && !started && !found {
				return lastID, errNoResumption
			}
			started = true
			if writeErr := w.writeAndFlush(complete); writeErr != nil {
				return lastID, writeErr
			}
			if id, found := lastEventID(complete); found {
				lastID = id
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && resp.Framing == exchange.FramedByConn && (!started || eventstream.HoldsEvent(pending)):
			return lastID, resp.TruncatedError()
		case err == io.EOF && resumes && !started && len(pending) > 0:
			return lastID, errNoResumption
		case err == io.EOF && len(pending) > 0:
			// The upstream's response is complete, so its unterminated last event is relayed too.
			return lastID, w.writeAndFlush(pending)
		case err == io.EOF:
			return lastID, nil
		case err != nil:
			return lastID, err
		case len(pending) > maxEventBytes:
			return lastID, errEventTooLong
		}
	}
}

// lastEventID returns the ID of the last event that has one, and false if none has.
func lastEventID(events []byte) (string, bool) {
	for len(events) > 0 {
		start := 1 + bytes.LastIndexAny(events, "\r\n")
		if id, found := bytes.CutPrefix(events[start:], []byte("id:")); found {
			return string(bytes.TrimSpace(id)), true
		}
		events = events[:max(start-1, 0)]
	}
	return "", false
}

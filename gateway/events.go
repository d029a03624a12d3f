package gateway

import (
	"bytes"
	"errors"
	"io"
	"mime"
	"net/http"

	"github.com/cassiabridge/cassiabridge/exchange"
)

// maxEventBytes bounds the size of one event of a stream. Each stream in flight may keep one.
const maxEventBytes = 64 << 10

// errEventTooLong means that an upstream sent more than maxEventBytes without ending an event.
var errEventTooLong = errors.New("an event of the stream is too long")

// errNoResumption means that the answer to a request to resume a stream does not begin with an event that has an ID.
var errNoResumption = errors.New("the answer does not resume the stream")

// eventTerminators are the byte sequences that end a server-sent event: the end of the last line and an empty line. A line
// ends with LF, CRLF or CR.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r"), []byte("\r\r\n")}

// isEventStream reports whether a response says that its body is an event stream.
func isEventStream(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// eventTail follows the end of an event stream that only its connection ends, to tell whether the stream is truncated.
type eventTail struct {
	// started is whether an event has been complete, and rest holds the bytes after the last complete event.
	started bool
	rest    []byte
}

// add adds the next bytes of the stream.
func (t *eventTail) add(p []byte) {
	t.rest = append(t.rest, p...)
	if end := completeEventsLen(t.rest); end > 0 {
		t.started = true
		t.rest = t.rest[end:]
	}
	// The start of a longer event tells as much as all of it.
	t.rest = t.rest[:min(len(t.rest), maxEventBytes)]
}

// truncated reports whether the stream would be truncated if it ended here: inside an event, or before its first one.
func (t *eventTail) truncated() bool { return !t.started || holdsEvent(t.rest) }

// holdsEvent reports whether the bytes after the last complete event of a stream hold a part of another event. Whole
// lines that are comments or set the retry time are not part of an event.
func holdsEvent(rest []byte) bool {
	for len(rest) > 0 {
		end := bytes.IndexAny(rest, "\r\n")
		if end < 0 {
			return true
		}
		line := rest[:end]
		if len(line) > 0 && !bytes.HasPrefix(line, []byte(":")) && !bytes.HasPrefix(line, []byte("retry:")) {
			return true
		}
		rest = rest[end+1:]
	}
	return false
}

// completeEventsLen returns the length in bytes of the complete events at the start of stream.
func completeEventsLen(stream []byte) int {
	end := 0
	for _, terminator := range eventTerminators {
		if i := bytes.LastIndex(stream, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// copyEvents relays a stream in complete events, so that another upstream can resume it after any of them. lastID is
// the ID of the last event that the caller already has. copyEvents returns the ID of the last event that it relayed, or
// lastID if there was none. If the caller has got events with IDs, the answer must go on with such an event: anything else would
// stand in the middle of the stream.
func (w *responseWriter) copyEvents(resp *exchange.Response, lastID string) (string, error) {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	started, resumes := false, w.bytes > 0 && lastID != ""
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := completeEventsLen(pending); end > 0 {
			complete := pending[:end]
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
		case err == io.EOF && resp.Framing == exchange.FramedByConn && (!started || holdsEvent(pending)):
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

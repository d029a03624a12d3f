package gateway

import (
	"bytes"
	"io"
	"slices"

	"github.com/cassiabridge/cassiabridge/exchange"
)

// maxEventBytes bounds the size of one event of a stream.
const maxEventBytes = 1 << 20

// eventTerminators are the byte sequences that end a server-sent event: the line feed of the last line and an empty
// line. A line ends with LF or CRLF.
var eventTerminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

// eventTail follows the end of a stream, to tell whether it is between two events.
type eventTail struct {
	last []byte
}

// add adds the next bytes of the stream.
func (t *eventTail) add(p []byte) {
	longest := len(eventTerminators[len(eventTerminators)-1])
	t.last = append(t.last, p[max(0, len(p)-longest):]...)
	t.last = t.last[max(0, len(t.last)-longest):]
}

// insideEvent reports whether the stream ends inside an event, or before its first one.
func (t *eventTail) insideEvent() bool {
	return !slices.ContainsFunc(eventTerminators, func(terminator []byte) bool { return bytes.HasSuffix(t.last, terminator) })
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
// lastID if there was none.
func (w *responseWriter) copyEvents(resp *exchange.Response, lastID string) (string, error) {
	buffer := make([]byte, copyBufferBytes)
	var pending []byte
	started := false
	for {
		n, err := resp.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if end := completeEventsLen(pending); end > 0 {
			started = true
			complete := pending[:end]
			if writeErr := w.writeAndFlush(complete); writeErr != nil {
				return lastID, &Error{Op: "write response", Kind: ErrCallerGone, Err: writeErr}
			}
			if id, found := lastEventID(complete); found {
				lastID = id
			}
			pending = append(pending[:0], pending[end:]...)
		}
		switch {
		case err == io.EOF && resp.Framing == exchange.FramedByConn && (len(pending) > 0 || !started):
			return lastID, resp.TruncatedError()
		case err == io.EOF && len(pending) > 0:
			// The upstream's response is complete, so its unterminated last event is relayed too.
			return lastID, w.writeAndFlush(pending)
		case err == io.EOF:
			return lastID, nil
		case err != nil:
			return lastID, err
		case len(pending) > maxEventBytes:
			return lastID, &Error{Op: "read event", Kind: ErrUpstream, Err: io.ErrShortBuffer}
		}
	}
}

// lastEventID returns the ID of the last event that has one, and false if none has.
func lastEventID(events []byte) (string, bool) {
	lines := bytes.Split(events, []byte("\n"))
	for i := len(lines) - 1; i >= 0; i-- {
		if id, found := bytes.CutPrefix(bytes.TrimSuffix(lines[i], []byte("\r")), []byte("id:")); found {
			return string(bytes.TrimSpace(id)), true
		}
	}
	return "", false
}

// Package eventstream reads streams of server-sent events: where their events end, which IDs the events have, and whether the events
// that several upstreams have sent for one stream follow each other. It performs no I/O.
//
// The format is that of the WHATWG HTML standard, section "Server-sent events".
package eventstream

import "bytes"

// terminators are the byte sequences that end an event: the end of its last line and an empty line. A line ends with LF, CRLF or CR.
var terminators = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r"), []byte("\r\r\n")}

// CompleteLen returns the length in bytes of the complete events at the start of stream.
func CompleteLen(stream []byte) int {
	end := 0
	for _, terminator := range terminators {
		if i := bytes.LastIndex(stream, terminator); i >= 0 {
			end = max(end, i+len(terminator))
		}
	}
	return end
}

// HoldsEvent reports whether the bytes after the last complete event of a stream hold a part of another event. Whole lines that are
// comments or set the retry time are not part of an event.
func HoldsEvent(rest []byte) bool {
	for len(rest) > 0 {
		line, n := cutLine(rest)
		if n == 0 {
			return true
		}
		if len(line) > 0 && isField(line) {
			return true
		}
		rest = rest[n:]
	}
	return false
}

// isField reports whether a line is a part of an event: no comment, and not the retry time.
func isField(line []byte) bool {
	return !bytes.HasPrefix(line, []byte(":")) && !bytes.HasPrefix(line, []byte("retry:"))
}

// event is what is known of one event.
type event struct {
	// id is its ID, or empty.
	id string
	// hasFields is whether it has lines that are no comments and do not set the retry time, and hasData whether it has data. A block of
	// lines without data is no event for its receiver.
	hasFields, hasData bool
}

// cutEvent returns the first event of complete events, and its length in bytes.
func cutEvent(events []byte) (event, int) {
	var e event
	length := 0
	for length < len(events) {
		line, n := cutLine(events[length:])
		if n == 0 {
			return e, len(events)
		}
		length += n
		if len(line) == 0 {
			break
		}
		e.addLine(line)
	}
	return e, length
}

// addLine adds a line of an event.
func (e *event) addLine(line []byte) {
	if !isField(line) {
		return
	}
	e.hasFields = true
	field, value, _ := bytes.Cut(line, []byte(":"))
	switch string(field) {
	case "id":
		e.id = string(bytes.TrimSpace(value))
	case "data":
		e.hasData = true
	}
}

// cutLine returns the first line of text without its end, and its length in bytes with it, which is 0 if the line does not end.
func cutLine(text []byte) ([]byte, int) {
	end := bytes.IndexAny(text, "\r\n")
	switch {
	case end < 0:
		return text, 0
	case text[end] == '\r' && end+1 < len(text) && text[end+1] == '\n':
		return text[:end], end + 2
	}
	return text[:end], end + 1
}

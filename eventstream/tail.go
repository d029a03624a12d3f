package eventstream

const (
	// maxTailBytes bounds what a Tail keeps: the start of a longer event tells as much as all of it.
	maxTailBytes = 64 << 10
	// maxTerminatorBytes is the length of the longest terminator.
	maxTerminatorBytes = 3
)

// Tail splits a stream into complete events and the bytes after them, which tell whether it is truncated. The zero value is a stream of no
// bytes. It is not safe for concurrent use.
type Tail struct {
	started bool
	// length is the length of the complete events at the start of rest, which the last Add has returned.
	length int
	rest   []byte
}

// Add adds the next bytes of the stream. It returns the events that they complete, which are valid until the next Add. Of an event that is
// longer than maxTailBytes, only the start and the end are returned.
func (t *Tail) Add(p []byte) []byte {
	t.rest = append(t.rest[:0], t.rest[t.length:]...)
	// A terminator may have begun in what was there before.
	searched := max(0, len(t.rest)-maxTerminatorBytes+1)
	t.rest = append(t.rest, p...)
	t.length = 0
	if end := CompleteLen(t.rest[searched:]); end > 0 {
		t.length = searched + end
		t.started = true
		return t.rest[:t.length]
	}
	t.shorten()
	return nil
}

// shorten leaves out the middle of a long event, but keeps its end, which may be the start of a terminator.
func (t *Tail) shorten() {
	if len(t.rest) <= maxTailBytes {
		return
	}
	end := t.rest[len(t.rest)-maxTerminatorBytes:]
	// The byte before the end keeps it from completing a line end before it.
	start := append(t.rest[:maxTailBytes-maxTerminatorBytes-1], '.')
	t.rest = append(start, end...)
}

// Started reports whether an event has been complete.
func (t *Tail) Started() bool { return t.started }

// Rest returns the bytes after the last complete event, without the middle of a long one. They are valid until the next Add.
func (t *Tail) Rest() []byte { return t.rest[t.length:] }

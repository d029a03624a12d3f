package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"
)

// prompt is what a caller asks of a replica. It is the body of the request, in its String form, but for plain answers.
type prompt struct {
	// Name identifies the stream.
	Name string
	// Events is the number of its events, and EventBytes the size of their padding, or 0 where that depends on their number.
	Events, EventBytes int
	// Gap is the time between two writes of the replica.
	Gap time.Duration
}

// String returns the body of a request.
func (p prompt) String() string {
	return fmt.Sprintf("%s %d %d %s", p.Name, p.Events, p.EventBytes, p.Gap)
}

func parsePrompt(text string) (prompt, error) {
	var p prompt
	var gap string
	if _, err := fmt.Sscanf(text, "%s %d %d %s", &p.Name, &p.Events, &p.EventBytes, &gap); err != nil {
		return p, &Error{"parse prompt", err}
	}
	var err error
	p.Gap, err = time.ParseDuration(gap)
	return p, err
}

// event is what an event's data says of itself.
type event struct {
	name, version string
	number        int
	// padding is the size of the padding, or 0 where it depends on the number.
	padding int
}

// maxPadding is the highest number of bytes that an event has beside what it says of itself.
const maxPadding = 40

// encode returns an event on the wire. Line ends and padding depend on the stream and the number only.
func (e event) encode() []byte {
	end := "\n"
	if len(e.name)%2 == 0 {
		end = "\r\n"
	}
	padding := strings.Repeat("x", cmp.Or(e.padding, 1+e.number*7%maxPadding))
	text := fmt.Sprintf("id: %d%sdata: %s %s %d %s%s%s", e.number, end, e.name, e.version, e.number, padding, end, end)
	if e.number%commentedEvents == 0 {
		text = ": comment" + end + text
	}
	return []byte(text)
}

// commentedEvents is one in how many events is preceded by a comment.
const commentedEvents = 20

// framing is how the end of an answer's body can be told.
type framing int

const (
	inChunks framing = iota
	byLength
	untilClose
)

const (
	lengthShare   = 8
	unframedShare = 6
	// oddShare is one in how many answers disregard the protocol where replicas do so.
	oddShare = 5
	// maxWriteEvents is the highest number of events in one write.
	maxWriteEvents = 6
)

// oddity is how an answer disregards the protocol.
type oddity int

const (
	regular oddity = iota
	// beginsAnew ignores Last-Event-Id.
	beginsAnew
	// repeatsLast begins with the last event again.
	repeatsLast
	// leavesOut begins with the event after the next one.
	leavesOut
	// isEmpty has no event though some are left.
	isEmpty
	// endsInside ends in an orderly way inside an event.
	endsInside
	// endsInsideByLength does so and announces the length.
	endsInsideByLength
	// truncatesUnframed ends in an orderly way between two events, where the answer has no framing.
	truncatesUnframed
	// repeatsLater sends an event twice.
	repeatsLater
)

// odditiesOf returns how answers disregard the protocol with the given kinds of faults.
func odditiesOf(faults Kinds) []oddity {
	var odd []oddity
	if faults.Has(Joints) {
		odd = append(odd, beginsAnew, repeatsLast, leavesOut)
	}
	if faults.Has(Empty) {
		odd = append(odd, isEmpty)
	}
	if faults.Has(Repeats) {
		odd = append(odd, repeatsLater)
	}
	if faults.Has(Ends) {
		odd = append(odd, endsInside)
	}
	if faults.Has(Lengths) {
		odd = append(odd, endsInsideByLength)
	}
	if faults.Has(Truncates) {
		odd = append(odd, truncatesUnframed)
	}
	return odd
}

// streamAnswer is the body of an answer.
type streamAnswer struct {
	framing framing
	events  [][]byte
	gap     time.Duration
	rng     *rand.Rand
}

// newStreamAnswer returns the answer of a replica to a request whose caller has the events up to number last.
func newStreamAnswer(c replicaConfig, wanted prompt, last int, rng *rand.Rand) *streamAnswer {
	a := &streamAnswer{gap: wanted.Gap, rng: rng, framing: drawFraming(c, rng, lengthShare)}
	odd := regular
	if len(c.Odd) > 0 && rng.IntN(oddShare) == 0 {
		odd = c.Odd[rng.IntN(len(c.Odd))]
	}
	for n := firstNumber(odd, last, wanted.Events); n <= wanted.Events; n++ {
		a.events = append(a.events, event{wanted.Name, c.Version, n, wanted.EventBytes}.encode())
	}
	a.applyOddity(odd, last)
	return a
}

// closeField is the header field of answers that end with their connection.
const closeField = "Connection: close\r\n"

// drawFraming draws how an answer ends. One in lengthShare has a length.
func drawFraming(c replicaConfig, rng *rand.Rand, lengthShare int) framing {
	switch {
	case c.Unframed && rng.IntN(unframedShare) == 0:
		return untilClose
	case rng.IntN(lengthShare) == 0:
		return byLength
	}
	return inChunks
}

// firstNumber returns the number of the first event of an answer. One that leaves an event out has another one after that.
func firstNumber(odd oddity, last, events int) int {
	switch {
	case last == 0:
		return 1
	case odd == beginsAnew:
		return 1
	case odd == repeatsLast:
		return last
	case odd == leavesOut && last+2 <= events:
		return last + 2
	}
	return last + 1
}

func (a *streamAnswer) applyOddity(odd oddity, last int) {
	if len(a.events) == 0 {
		return
	}
	n := a.rng.IntN(len(a.events))
	switch {
	case odd == isEmpty && last > 0:
		a.events = nil
	case odd == endsInside && a.framing != byLength, odd == endsInsideByLength && a.framing == byLength:
		a.events = a.events[:n+1]
		a.events[n] = a.events[n][:1+a.rng.IntN(len("id: 1"))]
	case odd == truncatesUnframed && a.framing == untilClose:
		a.events = a.events[:n]
	case odd == repeatsLater:
		a.events = append(a.events[:n+1], a.events[n:]...)
	}
}

func (a *streamAnswer) framingFields() string {
	switch a.framing {
	case byLength:
		return fmt.Sprintf("Content-Length: %d\r\n", len(bytes.Join(a.events, nil)))
	case untilClose:
		return closeField
	}
	return "Transfer-Encoding: chunked\r\n"
}

// write writes the events, some at once, with a gap after each write, and counts them in written.
func (a *streamAnswer) write(w io.Writer, written *atomic.Int64) error {
	for events := a.events; len(events) > 0; {
		n := min(len(events), 1+a.rng.IntN(maxWriteEvents))
		if _, err := w.Write(a.frame(bytes.Join(events[:n], nil))); err != nil {
			return err
		}
		events = events[n:]
		written.Add(int64(n))
		time.Sleep(a.gap)
	}
	if a.framing == inChunks {
		_, err := io.WriteString(w, "0\r\n\r\n")
		return err
	}
	return nil
}

// frame returns data as it is written, in chunks that begin and end anywhere in an event.
func (a *streamAnswer) frame(data []byte) []byte {
	if a.framing != inChunks {
		return data
	}
	var framed bytes.Buffer
	for len(data) > 0 {
		n := 1 + a.rng.IntN(len(data))
		fmt.Fprintf(&framed, "%x\r\n%s\r\n", n, data[:n])
		data = data[n:]
	}
	return framed.Bytes()
}

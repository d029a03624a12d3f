package soak

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
)

// BreachKind is how an answer that a caller got breaks a rule.
type BreachKind string

// Kinds of breaches.
const (
	Twice          BreachKind = "Twice"
	Missing        BreachKind = "Missing"
	OutOfOrder     BreachKind = "OutOfOrder"
	JoinedVersions BreachKind = "JoinedVersions"
	OtherRequest   BreachKind = "OtherRequest"
	// Damaged is an event that no replica has sent.
	Damaged BreachKind = "Damaged"
	// EndsEarly is a stream that ends as complete between two events, before its last one, and EndsInside one that ends inside an event.
	EndsEarly  BreachKind = "EndsEarly"
	EndsInside BreachKind = "EndsInside"
	// Unsigned is a success without the signature of a replica.
	Unsigned BreachKind = "Unsigned"
)

// checker judges the events of one stream, which may come in several answers.
type checker struct {
	name               string
	events, eventBytes int
	// last is the number of the last event, and version the software version that sent the first one.
	last    int
	version string
	// seen holds the numbers of all events.
	seen map[int]bool
	// pending is the beginning of an event that has not ended.
	pending []byte
}

func newChecker(p prompt) *checker {
	return &checker{name: p.Name, events: p.Events, eventBytes: p.EventBytes, seen: map[int]bool{}}
}

var (
	eventPattern   = regexp.MustCompile(`^(?:: comment\r?\n)?id: (\d+)\r?\ndata: (\S+) (\S+) (\d+) x+\r?\n\r?\n$`)
	commentPattern = regexp.MustCompile(`^: comment\r?\n`)
	eventEnds      = [][]byte{[]byte("\r\n\r\n"), []byte("\n\n")}
)

// beginAnswer begins the next answer. A part of an event at the end of the last one is dropped, as callers do.
func (c *checker) beginAnswer() { c.pending = nil }

// add judges the next bytes of an answer, and returns what is wrong and the event, or empty texts.
func (c *checker) add(data []byte) (BreachKind, string) {
	c.pending = append(c.pending, data...)
	for {
		n := eventLength(c.pending)
		if n == 0 {
			return "", ""
		}
		text := c.pending[:n]
		c.pending = c.pending[n:]
		if kind := c.judge(text); kind != "" {
			return kind, fmt.Sprintf("%s (%s): %q", c.state(), c.version, text)
		}
	}
}

// eventLength returns the length of the first event of data, or 0 if it has not ended.
func eventLength(data []byte) int {
	length := 0
	for _, end := range eventEnds {
		if n := bytes.Index(data, end); n >= 0 && (length == 0 || n+len(end) < length) {
			length = n + len(end)
		}
	}
	return length
}

func (c *checker) judge(text []byte) BreachKind {
	fields := eventPattern.FindSubmatch(text)
	if fields == nil || !bytes.Equal(fields[1], fields[4]) {
		return Damaged
	}
	name, version := string(fields[2]), string(fields[3])
	number, err := strconv.Atoi(string(fields[1]))
	switch {
	case err != nil:
		return Damaged
	case name != c.name:
		return OtherRequest
	case !bytes.Equal(text, event{name, version, number, c.eventBytes}.encode()):
		return Damaged
	case c.seen[number]:
		return Twice
	case number > c.last+1:
		return Missing
	case number < c.last+1:
		return OutOfOrder
	case c.version != "" && version != c.version:
		return JoinedVersions
	}
	c.last, c.version, c.seen[number] = number, version, true
	return ""
}

// end judges the end of an answer that looks complete. A whole line of comment is no part of an event.
func (c *checker) end() BreachKind {
	switch {
	case len(commentPattern.ReplaceAll(c.pending, nil)) > 0:
		return EndsInside
	case c.last < c.events:
		return EndsEarly
	}
	return ""
}

// state describes how far the stream has come.
func (c *checker) state() string {
	return fmt.Sprintf("after %d of %d of %s, rest %q", c.last, c.events, c.name, c.pending)
}

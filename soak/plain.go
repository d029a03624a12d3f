package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

const (
	// plainLengthShare is one in how many plain answers has a length.
	plainLengthShare = 2
	// plainPartBytes is the size of the largest part in which a plain answer is written, and plainGap the time between two parts.
	plainPartBytes = 300
	plainGap       = 4 * time.Millisecond
	// maxPlainWork is the longest time before a plain answer.
	maxPlainWork = 40 * time.Millisecond
)

// plainPath returns the path under a route's prefix of a request for a plain answer, whose body has the given size.
func plainPath(name string, size int) string { return fmt.Sprint(name, "/", size) }

// parsePlainPath returns the name of a request for a plain answer and the size of the body.
func parsePlainPath(path string) (string, int, error) {
	fields := strings.Split(path, "/")
	if len(fields) < 2 {
		return "", 0, &Error{"parse path", fmt.Errorf("%q names no request", path)}
	}
	size, err := strconv.Atoi(fields[len(fields)-1])
	if err != nil {
		return "", 0, &Error{"parse path", err}
	}
	return fields[len(fields)-2], size, nil
}

// plainBody returns the body of a plain answer. Each part of it says where it stands.
func plainBody(name string, size int) []byte {
	var b bytes.Buffer
	for b.Len() < size {
		fmt.Fprintf(&b, "%s %d ", name, b.Len())
	}
	return b.Bytes()[:size]
}

// newPlainAnswer returns a plain answer, after the time that the work takes.
func newPlainAnswer(c replicaConfig, name string, size int, rng *rand.Rand) *streamAnswer {
	time.Sleep(randomDuration(rng, 0, maxPlainWork))
	a := &streamAnswer{gap: plainGap, rng: rng, framing: drawFraming(c, rng, plainLengthShare)}
	for body := plainBody(name, size); len(body) > 0; {
		n := min(len(body), 1+rng.IntN(plainPartBytes))
		a.events = append(a.events, body[:n])
		body = body[n:]
	}
	return a
}

// plainChecker judges the plain answers to one request, each of which must be whole.
type plainChecker struct {
	name string
	size int
	// rest is what has not come yet.
	rest []byte
}

// beginAnswer begins the next answer.
func (c *plainChecker) beginAnswer() { c.rest = plainBody(c.name, c.size) }

// add judges the next bytes of the answer, and returns what is wrong and where, or empty texts.
func (c *plainChecker) add(data []byte) (BreachKind, string) {
	rest, found := bytes.CutPrefix(c.rest, data)
	if !found {
		return Damaged, fmt.Sprintf("%q in place of %q", data, c.rest)
	}
	c.rest = rest
	return "", ""
}

// end judges the end of an answer that looks complete.
func (c *plainChecker) end() BreachKind {
	if len(c.rest) > 0 {
		return EndsEarly
	}
	return ""
}

// state describes how far the answer has come.
func (c *plainChecker) state() string {
	return fmt.Sprintf("after %d of %d bytes of %s", c.size-len(c.rest), c.size, c.name)
}

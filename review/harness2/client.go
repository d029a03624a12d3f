package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

// callDeadline is the time limit of a caller that states none.
const callDeadline = 4 * time.Second

// lastAttempt numbers the attempts of all callers.
var lastAttempt atomic.Int64

func newAttempt() string { return fmt.Sprintf("attempt-%04d", lastAttempt.Add(1)) }

// call is a request of a caller.
type call struct {
	method, path, attempt string
	header                map[string]string
	body                  string
	timeout               time.Duration
}

// answer is what a caller got.
type answer struct {
	attempt string
	status  int
	header  http.Header
	body    string
	// whole is whether the answer ended as its framing says.
	whole bool
	err   error
}

// String describes an answer in one line.
func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer: %v", a.err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, whole %t, error %v", a.status, a.header.Get(standin.HeaderSignature), len(a.body), a.whole, a.err)
}

// channel is a connection of a caller.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

// openChannel opens a connection to a router.
func openChannel(v *vm) (*channel, error) {
	conn, err := net.DialTimeout("tcp", v.callers, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// encode returns the head of a request, and its body as it is sent.
func (c call) encode() (head, body string) {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n", c.method, c.path, hostName, standin.HeaderAttempt, c.attempt, apiKey)
	fmt.Fprintf(&b, "%s: %d\r\n", standin.HeaderTimeout, c.timeout.Milliseconds())
	for name, value := range c.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if c.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.body))
	}
	b.WriteString("\r\n")
	return b.String(), c.body
}

// do sends a request on the connection and reads its answer.
func (ch *channel) do(c call) answer {
	if c.attempt == "" {
		c.attempt = newAttempt()
	}
	if c.timeout == 0 {
		c.timeout = callDeadline
	}
	a := answer{attempt: c.attempt}
	_ = ch.SetDeadline(time.Now().Add(c.timeout))
	head, body := c.encode()
	if _, a.err = io.WriteString(ch, head+body); a.err != nil {
		return a
	}
	return ch.read(c, a)
}

// read reads the answer to a request.
func (ch *channel) read(c call, a answer) answer {
	resp, err := http.ReadResponse(ch.reader, &http.Request{Method: c.method})
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.whole, a.err = resp.StatusCode, resp.Header, string(data), err == nil, err
	return a
}

// send sends a request on a connection of its own.
func (s *site) send(v *vm, c call) answer {
	ch, err := openChannel(v)
	if err != nil {
		return answer{attempt: c.attempt, err: err}
	}
	defer ch.Close()
	return ch.do(c)
}

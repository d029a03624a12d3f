package site

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Call is a request of a client. Its attempt ID is its own.
type Call struct {
	Method, Path, Attempt string
	// Key is the client's key, or empty for the constant Key.
	Key    string
	Header map[string]string
	Body   []byte
	// Chunked sends the body in chunks, without its length.
	Chunked bool
	// Deadline is how long the client waits.
	Deadline time.Duration
}

// Reply is what a client received.
type Reply struct {
	Status    int
	Signature string
	Body      []byte
	// RetryAfter is the delay that the answer asks for, or 0.
	RetryAfter time.Duration
	// Complete is whether the whole answer arrived.
	Complete bool
	Err      error
}

func (r Reply) String() string {
	if r.Err != nil {
		return fmt.Sprintf("status %d, signature %q, %d bytes, cut: %v", r.Status, r.Signature, len(r.Body), r.Err)
	}
	return fmt.Sprintf("status %d, signature %q, %d bytes, whole", r.Status, r.Signature, len(r.Body))
}

// ClientChannel is a channel of a client to a router, which carries one request at a time.
type ClientChannel struct {
	conn   net.Conn
	reader *bufio.Reader
	closed bool
}

// Dial opens a channel to a router.
func Dial(addr string) (*ClientChannel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &ClientChannel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// Close closes the channel.
func (c *ClientChannel) Close() { c.conn.Close() }

// Usable reports whether the channel can carry another request.
func (c *ClientChannel) Usable() bool { return !c.closed }

// Do sends a request and reads its answer.
func (c *ClientChannel) Do(call Call) Reply {
	_ = c.conn.SetDeadline(time.Now().Add(call.Deadline))
	if _, err := c.conn.Write(call.encode()); err != nil {
		c.closed = true
		return Reply{Err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: call.Method})
	if err != nil {
		c.closed = true
		return Reply{Err: err}
	}
	body, err := io.ReadAll(resp.Body)
	c.closed = c.closed || err != nil || resp.Close
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return Reply{Status: resp.StatusCode, Signature: resp.Header.Get("Response-Signature"), Body: body, Complete: err == nil, Err: err,
		RetryAfter: time.Duration(seconds * float64(time.Second))}
}

// encode returns the bytes of the request.
func (c Call) encode() []byte {
	var b bytes.Buffer
	key := c.Key
	if key == "" {
		key = Key
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\n", c.Method, c.Path, Host, c.Attempt,
		c.Deadline.Milliseconds(), key)
	for name, value := range c.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	switch {
	case c.Chunked:
		fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(c.Body))
		b.Write(c.Body)
		b.WriteString("\r\n0\r\n\r\n")
	case c.Method != http.MethodGet:
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(c.Body))
		b.Write(c.Body)
	default:
		b.WriteString("\r\n")
	}
	return b.Bytes()
}

// Send sends a request on a channel of its own.
func Send(addr string, call Call) Reply {
	channel, err := Dial(addr)
	if err != nil {
		return Reply{Err: err}
	}
	defer channel.Close()
	return channel.Do(call)
}

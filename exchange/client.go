// Package exchange sends single HTTP/1.1 requests to upstreams and says truthfully whether they were sent.
//
// net/http's transport sends some requests again by itself on a broken connection, and hides which bytes
// left the process. Here one request is one write on one connection: an Error of kind ErrUnsent means that
// no byte was handed to the network. Messages are written and parsed by net/http.
package exchange

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
	"unicode"
)

const (
	defaultDialTimeout = 300 * time.Millisecond
	// defaultIdle is how long a connection without a stated limit may be idle and be used again.
	defaultIdle = 800 * time.Millisecond
	// idleMargin is how long before the stated limit a connection is no longer used.
	idleMargin = 250 * time.Millisecond
	// maxIdle bounds the idle connections for one address.
	maxIdle = 16
	// maxStrayAnswers is how many answers of other requests are passed over before the own one.
	maxStrayAnswers = 2
	// drainBytes is how much of an unread body is read to keep its connection.
	drainBytes = 4 << 10
	// headBytes is room for the head of a usual request.
	headBytes = 1 << 10
)

// Request is one request to one upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle bounds how long a connection may have been idle to carry the request. 0 means that only
	// the upstream's own limit counts, negative that a new connection is opened.
	MaxIdle time.Duration
	// Accept reports whether an answer with this header belongs to the request. Nil accepts all.
	Accept func(http.Header) bool
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is not known.
	Length  int64
	body    io.ReadCloser
	conn    *conn
	client  *Client
	addr    string
	stop    func() bool
	writing *write
	whole   bool
	keep    bool
	closed  bool
	// cause turns an error of the connection into the reason for which the request was abandoned, if it was.
	cause func(error) error
}

// Client keeps connections to upstreams. It is safe for concurrent use.
type Client struct {
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	dialTimeout time.Duration
	now         func() time.Time
	onDial      func(addr string)

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option changes a new Client.
type Option func(*Client)

// WithDialTimeout sets how long opening a connection may take.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// WithDialObserver sets a function that is told of each new connection.
func WithDialObserver(f func(addr string)) Option { return func(c *Client) { c.onDial = f } }

// NewClient returns a client, and a function that closes its idle connections.
func NewClient(opts ...Option) (*Client, func()) {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	c := &Client{dial: dialer.DialContext, dialTimeout: defaultDialTimeout, now: time.Now, onDial: func(string) {}, idle: map[string][]*conn{}}
	for _, opt := range opts {
		opt(c)
	}
	return c, c.closeIdle
}

func (c *Client) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		for _, idle := range conns {
			idle.Close()
		}
		delete(c.idle, addr)
	}
}

// take returns an idle connection that may carry a request, or nil.
func (c *Client) take(addr string, maxIdleTime time.Duration) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	conns := c.idle[addr]
	for len(conns) > 0 {
		last := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		tooOld := maxIdleTime < 0 || maxIdleTime > 0 && now.Sub(last.idleSince) > maxIdleTime
		if now.Before(last.usableUntil) && !tooOld && last.quiet() {
			c.idle[addr] = conns
			return last
		}
		last.Close()
	}
	delete(c.idle, addr)
	return nil
}

func (c *Client) put(addr string, used *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	used.idleSince = now
	conns := c.idle[addr]
	for len(conns) > 0 && !now.Before(conns[0].usableUntil) {
		conns[0].Close()
		conns = conns[1:]
	}
	if len(conns) >= maxIdle {
		used.Close()
		return
	}
	c.idle[addr] = append(conns, used)
}

// Forget closes the idle connections to an address.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle[addr] {
		idle.Close()
	}
	delete(c.idle, addr)
}

func (c *Client) connect(ctx context.Context, addr string, maxIdleTime time.Duration) (*conn, error) {
	if idle := c.take(addr, maxIdleTime); idle != nil {
		return idle, nil
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	c.onDial(addr)
	raw, err := c.dial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// Do sends a request once and returns the head of its answer. The request is abandoned, and its
// connection closed, when ctx is done, even while the body is read.
func (c *Client) Do(ctx context.Context, addr string, r Request) (*Response, error) {
	op := r.Method + " " + addr
	connection, err := c.connect(ctx, addr, r.MaxIdle)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	message, head, err := encode(r)
	if err != nil {
		stop()
		connection.Close()
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	writing := startWrite(connection.Conn, head)
	if writing.failedUnsent() {
		stop()
		connection.Close()
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: cause(ctx, writing.err)}
	}
	// A failed write may still be answered: an upstream may refuse a body before it has read it.
	resp, readErr := readOwn(connection, message, r.Accept)
	if readErr != nil {
		stop()
		connection.Close()
		return nil, &Error{Op: op, Kind: ErrInDoubt, Err: cause(ctx, readErr)}
	}
	answer := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		body: resp.Body, conn: connection, client: c, addr: addr, stop: stop, writing: writing,
		cause: func(err error) error { return cause(ctx, err) }}
	answer.keep = !resp.Close && connection.limitIdle(c.now(), resp.Header)
	return answer, nil
}

func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// encode returns the bytes of a request, and the message that its answer is parsed against.
func encode(r Request) (*http.Request, []byte, error) {
	message, err := http.NewRequest(r.Method, "http://upstream/", nil)
	if err != nil {
		return nil, nil, err
	}
	out := bytes.NewBuffer(make([]byte, 0, headBytes+len(r.Body)))
	fmt.Fprintf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(out); err != nil {
		return nil, nil, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		out.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(r.Body)
	return message, out.Bytes(), nil
}

// readOwn reads the head of the answer, past interim answers and late answers of other requests.
func readOwn(connection *conn, message *http.Request, accept func(http.Header) bool) (*http.Response, error) {
	for stray := 0; ; {
		resp, err := http.ReadResponse(connection.reader, message)
		if err != nil {
			return nil, err
		}
		if strings.ContainsFunc(resp.Status, unicode.IsControl) {
			// Stray bytes before a line end can look like the beginning of an answer.
			return nil, fmt.Errorf("the status line %q is no answer", resp.Status)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if accept == nil || accept(resp.Header) {
			return resp, nil
		}
		stray++
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || stray > maxStrayAnswers || resp.Close {
			return nil, errors.New("the answer belongs to another request")
		}
	}
}

// limitIdle notes until when the connection may be used again, and reports whether it may be at all.
func (c *conn) limitIdle(now time.Time, header http.Header) bool {
	idle := defaultIdle
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return false
		}
		idle = time.Duration(seconds)*time.Second - idleMargin
	}
	c.usableUntil = now.Add(idle)
	return true
}

// Read reads the body. It returns io.EOF only when the body is whole.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err == io.EOF {
		r.whole = true
		return n, err
	}
	if err != nil {
		return n, &Error{Op: "read answer of " + r.addr, Kind: ErrBroken, Err: r.cause(err)}
	}
	return n, nil
}

// ReadAll reads a body of at most limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &Error{Op: "read answer of " + r.addr, Kind: ErrBroken, Err: fmt.Errorf("the body is longer than %d bytes", limit)}
	}
	return data, nil
}

// Close ends the exchange. The connection is kept only if the answer was read to its end and nothing
// follows it.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.whole && r.keep && r.Length >= 0 && r.Length <= drainBytes {
		_, err := io.Copy(io.Discard, r)
		r.keep = err == nil
	}
	reusable := r.whole && r.keep && r.writing.whole()
	if !r.stop() || !reusable || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.client.put(r.addr, r.conn)
}

// Package exchange is an HTTP/1.1 client that sends each request to an upstream once and reports whether it
// may have been sent.
//
// net/http.Transport retries some requests on its own when a connection breaks, and does not report whether any
// byte left the process. This client writes each request once, on one connection: an Error of kind ErrUnsent
// means that no byte was written to the network. Headers are written and responses parsed by net/http.
package exchange

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cassiabridge/cassiabridge/transport"
)

const (
	defaultDialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is reused if its upstream sent no Keep-Alive timeout.
	defaultIdleTimeout = 800 * time.Millisecond
	// idleTimeoutMargin is subtracted from the Keep-Alive timeout of the upstream, so that a connection is not
	// reused just as the upstream closes it.
	idleTimeoutMargin = 250 * time.Millisecond
	// maxIdleConnsPerAddr is the maximum number of idle connections kept for one address.
	maxIdleConnsPerAddr = 16
	// maxMismatchedResponses is how many responses to other requests are skipped before the request fails.
	maxMismatchedResponses = 2
	// maxHeadBytes bounds what is read from an upstream until the headers of the final response are complete, including
	// 1xx responses. maxSkippedBytes bounds the body of a response to another request.
	maxHeadBytes    = 32 << 10
	maxSkippedBytes = 1 << 20
	// maxDrainBytes is the length of the longest body that Close drains so that the connection can be reused.
	maxDrainBytes = 4 << 10
	// writeEndDelay is how long a request that its upstream has read may take to return from its write.
	writeEndDelay = 50 * time.Millisecond
	// headSizeHint is the initial buffer capacity for a request line and headers.
	headSizeHint = 1 << 10
)

// Request describes an HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the path and query, written to the upstream unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MaxIdle is the longest time that a reused connection may have been idle. 0 means no limit besides the
	// idle timeout of the upstream; a negative value forces a new connection.
	MaxIdle time.Duration
	// History holds the connections that earlier tries of the same request have used, which this one does not reuse. Nil
	// means that there were none.
	History *History
	// OnRead is called with the number of bytes whenever a part of the response body has been read. It may be nil.
	OnRead func(bytes int)
	// ConfirmEnd is called once when a body that only its connection ends has ended in an orderly way, with a time after which the
	// connection was opened. An error means that the body is truncated. If it is nil, the body is truncated if the upstream refuses
	// connections after that.
	ConfirmEnd func(ctx context.Context, openedAt time.Time) error
	// AcceptResponse reports whether a response with this header belongs to the request. Nil accepts every response.
	AcceptResponse func(http.Header) bool
}

// Client sends requests to upstreams and reuses idle connections. It is safe for concurrent use.
type Client struct {
	dial        Dial
	dialTimeout time.Duration
	now         func() time.Time
	onDial      func(addr string)

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option configures a Client.
type Option func(*Client)

// WithDialTimeout sets the timeout for opening a connection.
func WithDialTimeout(d time.Duration) Option { return func(c *Client) { c.dialTimeout = d } }

// Dial opens a connection to an address, an IP address and port.
type Dial = transport.Dial

// DirectDial opens a connection whose peer is given up within seconds once it stops responding.
func DirectDial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}}
	return dialer.DialContext(ctx, network, addr)
}

// SingleUse is implemented by connections that carry one request only.
type SingleUse interface{ SingleUse() }

// WithDial sets the function that opens connections. The default is DirectDial.
func WithDial(dial Dial) Option { return func(c *Client) { c.dial = dial } }

// WithDialObserver sets a function that is called before each attempt to open a connection.
func WithDialObserver(f func(addr string)) Option { return func(c *Client) { c.onDial = f } }

// NewClient returns a Client and a function that closes its idle connections.
func NewClient(opts ...Option) (*Client, func()) {
	c := &Client{dial: DirectDial, dialTimeout: defaultDialTimeout, now: time.Now, onDial: func(string) {}, idle: map[string][]*conn{}}
	for _, opt := range opts {
		opt(c)
	}
	return c, c.CloseIdle
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		for _, idle := range conns {
			idle.Close()
		}
		delete(c.idle, addr)
	}
}

// takeIdle removes and returns the most recently used idle connection to addr that can be reused and is not in history, or
// nil if there is none. It closes the connections that it finds unusable.
func (c *Client) takeIdle(addr string, maxIdleTime time.Duration, history *History) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	for i := len(c.idle[addr]) - 1; i >= 0; i-- {
		candidate := c.idle[addr][i]
		if history.contains(candidate) {
			continue
		}
		c.removeIdle(addr, i)
		tooOld := maxIdleTime > 0 && now.Sub(candidate.idleSince) > maxIdleTime
		if now.Before(candidate.usableUntil) && !tooOld && candidate.healthy() {
			return candidate
		}
		candidate.Close()
	}
	return nil
}

// removeIdle removes the idle connection to addr with index i. The caller must hold c.mu.
func (c *Client) removeIdle(addr string, i int) {
	c.idle[addr] = slices.Delete(c.idle[addr], i, i+1)
	if len(c.idle[addr]) == 0 {
		delete(c.idle, addr)
	}
}

// putIdle adds a connection to the idle connections of addr, or closes it if there are maxIdleConnsPerAddr already.
// It closes the oldest connections that have passed usableUntil.
func (c *Client) putIdle(addr string, used *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	used.idleSince = now
	if _, single := used.Conn.(SingleUse); single {
		used.Close()
		return
	}
	conns := c.idle[addr]
	for len(conns) > 0 && !now.Before(conns[0].usableUntil) {
		conns[0].Close()
		conns = conns[1:]
	}
	if len(conns) >= maxIdleConnsPerAddr {
		used.Close()
		return
	}
	c.idle[addr] = append(conns, used)
}

// CloseIdleConns closes the idle connections to addr.
func (c *Client) CloseIdleConns(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle[addr] {
		idle.Close()
	}
	delete(c.idle, addr)
}

// getConn returns an idle connection to addr, or opens a new one.
func (c *Client) getConn(ctx context.Context, addr string, maxIdleTime time.Duration, history *History) (*conn, error) {
	if maxIdleTime >= 0 {
		if idle := c.takeIdle(addr, maxIdleTime, history); idle != nil {
			return idle, nil
		}
	}
	dialCtx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	openedAt := c.now()
	raw, err := c.observedDial(dialCtx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, openedAt), nil
}

// Do sends a request once and returns its response as soon as the headers are read. When ctx is done, also while
// the body is read, the request is canceled by closing its connection. Errors are of type *Error, with the kind
// ErrUnsent or ErrInDoubt.
func (c *Client) Do(ctx context.Context, addr string, r Request) (*Response, error) {
	op := r.Method + " " + addr
	connection, err := c.getConn(ctx, addr, r.MaxIdle, r.History)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	r.History.add(connection)
	stop := context.AfterFunc(ctx, func() { connection.Close() })
	req, data, err := encodeRequest(r)
	if err != nil {
		stop()
		connection.Close()
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	write := startWrite(connection.Conn, data)
	if write.failedUnsent() {
		stop()
		connection.Close()
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: cause(ctx, write.err)}
	}
	// The response is read even if the write failed midway: an upstream may reject a request before it has read the
	// whole body.
	httpResp, readErr := readResponse(connection, req, r.AcceptResponse)
	if readErr != nil {
		stop()
		connection.Close()
		return nil, &Error{Op: op, Kind: ErrInDoubt, Err: cause(ctx, readErr)}
	}
	resp := &Response{Status: httpResp.StatusCode, Header: httpResp.Header, Length: httpResp.ContentLength,
		Framing: framingOf(httpResp),
		body:    httpResp.Body, onRead: r.OnRead, conn: connection, client: c, addr: addr, stop: stop, write: write,
		cause: func(err error) error { return cause(ctx, err) }, confirmEnd: func() error { return c.confirmEnd(ctx, addr, connection.openedAt, r) }}
	resp.keepAlive = !httpResp.Close && connection.applyKeepAlive(c.now(), httpResp.Header)
	return resp, nil
}

// confirmEnd returns an error if a body without framing that has ended in an orderly way is truncated.
func (c *Client) confirmEnd(ctx context.Context, addr string, openedAt time.Time, r Request) error {
	switch {
	case r.ConfirmEnd != nil:
		return r.ConfirmEnd(ctx, openedAt)
	case transport.HasEnded(ctx, c.observedDial, addr):
		return io.ErrUnexpectedEOF
	}
	return nil
}

// Refuses reports whether connections to addr are refused, which means that the process of the upstream has ended. It
// returns false if no answer arrives in time.
func (c *Client) Refuses(ctx context.Context, addr string) bool {
	dialCtx, cancel := context.WithTimeout(ctx, c.dialTimeout)
	defer cancel()
	return transport.Refuses(dialCtx, c.observedDial, addr)
}

// observedDial opens a connection and tells the observer of it.
func (c *Client) observedDial(ctx context.Context, network, addr string) (net.Conn, error) {
	c.onDial(addr)
	return c.dial(ctx, network, addr)
}

// cause returns the cancellation cause of ctx if ctx is done, and err otherwise.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// encodeRequest returns the encoded request, and the http.Request that http.ReadResponse needs to parse its response.
func encodeRequest(r Request) (*http.Request, []byte, error) {
	req, err := http.NewRequest(r.Method, "http://upstream/", nil)
	if err != nil {
		return nil, nil, err
	}
	buf := bytes.NewBuffer(make([]byte, 0, headSizeHint+len(r.Body)))
	fmt.Fprintf(buf, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	if err := r.Header.Write(buf); err != nil {
		return nil, nil, err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		buf.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(r.Body)
	return req, buf.Bytes(), nil
}

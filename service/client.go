package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/transport"
)

const (
	idleConnections = 32
	// HeaderOperation names the operation of a call that must not run twice.
	HeaderOperation = "Operation-Id"
)

// Call is one call to forward.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	// Header holds only what the service may see.
	Header http.Header
	Body   []byte
	// Operation names a call that must not run twice. Empty means that it may be repeated.
	Operation string
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client calls plain services. It is safe for concurrent use.
type Client struct {
	shared *http.Client
	// fresh opens a connection for each call: on a reused one net/http may send a call again.
	fresh    *http.Client
	balancer *Balancer
	maxBytes int64
}

// NewClient returns a client for answers up to maxBytes, and a function that closes its connections.
func NewClient(maxBytes int) (*Client, func()) {
	shared, fresh := transport.New(idleConnections), transport.New(0)
	fresh.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c := &Client{
		shared:   &http.Client{Transport: shared, CheckRedirect: noRedirect},
		fresh:    &http.Client{Transport: fresh, CheckRedirect: noRedirect},
		balancer: NewBalancer(time.Now), maxBytes: int64(maxBytes),
	}
	return c, shared.CloseIdleConnections
}

// Do sends a call to one of the upstreams that candidates returns at the time of sending. A call that
// may be repeated is sent again elsewhere after a failure, within the retry budget. A call that may
// not is sent again only if nothing of it was sent.
func (c *Client) Do(ctx context.Context, candidates func() []resource.Upstream, call Call) (Answer, error) {
	avoid := map[string]bool{}
	var doubt error
	for {
		upstream, done, found := c.balancer.Pick(candidates(), avoid)
		if !found && doubt != nil {
			return Answer{}, doubt
		}
		if !found {
			return Answer{}, &Error{Op: "pick upstream", Kind: ErrNone, Err: errors.New("no upstream can be used")}
		}
		answer, err := c.send(ctx, upstream, call)
		done(err == nil && answer.Status < http.StatusInternalServerError)
		if err == nil {
			return answer, nil
		}
		avoid[upstream.Name] = true
		var serviceErr *Error
		unsent := errors.As(err, &serviceErr) && serviceErr.Kind == ErrUnsent
		if !unsent {
			doubt = err
		}
		again := ctx.Err() == nil && (unsent || call.Operation == "") && c.balancer.MayRetry()
		switch {
		case again:
		case doubt != nil:
			return Answer{}, doubt
		default:
			return Answer{}, err
		}
	}
}

func (c *Client) send(ctx context.Context, upstream resource.Upstream, call Call) (Answer, error) {
	op := call.Method + " " + upstream.Name
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+upstream.Address+call.Target, transport.Body(call.Body))
	if err != nil {
		return Answer{}, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header.Clone()
	client := c.shared
	if call.Operation != "" {
		req.Header.Set(HeaderOperation, call.Operation)
		client = c.fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{}, &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBytes+1))
	if err != nil {
		return Answer{}, &Error{Op: op, Kind: ErrInDoubt, Err: err}
	}
	if int64(len(body)) > c.maxBytes {
		return Answer{}, &Error{Op: op, Kind: ErrInDoubt, Err: fmt.Errorf("the answer is longer than %d bytes", c.maxBytes)}
	}
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func kindOf(err error) ErrorKind {
	if transport.Unsent(err) {
		return ErrUnsent
	}
	return ErrInDoubt
}

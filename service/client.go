package service

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/transport"
)

const (
	maxIdleConnections = 32
	// HeaderOperation is the request header with the operation ID of a call that must not run twice.
	HeaderOperation = "Operation-Id"
)

// Call is a request to forward to a service.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	// Header holds only headers that may be forwarded to the service.
	Header http.Header
	Body   []byte
	// Operation is the ID of an operation that must not run twice. If it is empty, the call may be
	// repeated.
	Operation string
}

// Response is the response of a service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Unframed is whether only the end of the connection ended the body, so that it may be truncated.
	Unframed bool
}

// Client sends requests to plain services. It is safe for concurrent use.
type Client struct {
	pooled *http.Client
	// unpooled opens a connection for each call, since net/http may resend a request by itself on a reused
	// connection.
	unpooled         *http.Client
	balancer         *Balancer
	maxResponseBytes int64
}

// NewClient returns a Client that accepts responses of up to maxResponseBytes, and a function that closes
// its idle connections.
func NewClient(maxResponseBytes int) (*Client, func()) {
	pooled, unpooled := transport.New(maxIdleConnections), transport.New(0)
	unpooled.DisableKeepAlives = true
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	c := &Client{
		pooled:   &http.Client{Transport: pooled, CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: unpooled, CheckRedirect: noRedirect},
		balancer: NewBalancer(time.Now), maxResponseBytes: int64(maxResponseBytes),
	}
	return c, pooled.CloseIdleConnections
}

// Do sends a call to one of the upstreams that candidates returns. candidates is called again for each
// retry. A failed call is retried on another upstream within the retry budget. A call with an Operation
// is retried only if no part of it was sent.
func (c *Client) Do(ctx context.Context, candidates func() []resource.Upstream, call Call) (Response, error) {
	avoid := map[string]bool{}
	var inDoubtErr error
	for {
		upstream, done, found := c.balancer.Pick(candidates(), avoid)
		if !found && inDoubtErr != nil {
			return Response{}, inDoubtErr
		}
		if !found {
			return Response{}, &Error{Op: "pick upstream", Kind: ErrNone, Err: errors.New("no upstream is available")}
		}
		response, err := c.send(ctx, upstream, call)
		done(err == nil && response.Status < http.StatusInternalServerError)
		if err == nil {
			return response, nil
		}
		avoid[upstream.Name] = true
		var serviceErr *Error
		unsent := errors.As(err, &serviceErr) && serviceErr.Kind == ErrUnsent
		if !unsent {
			inDoubtErr = err
		}
		retry := ctx.Err() == nil && (unsent || call.Operation == "") && c.balancer.TakeRetry()
		switch {
		case retry:
		case inDoubtErr != nil:
			return Response{}, inDoubtErr
		default:
			return Response{}, err
		}
	}
}

func (c *Client) send(ctx context.Context, upstream resource.Upstream, call Call) (Response, error) {
	op := call.Method + " " + upstream.Name
	ctx, write := transport.WithRequestWrite(ctx)
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+upstream.Address+call.Target, transport.NonRewindableBody(call.Body))
	if err != nil {
		return Response{}, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	req.ContentLength = int64(len(call.Body))
	req.Header = call.Header.Clone()
	client := c.pooled
	if call.Operation != "" {
		req.Header.Set(HeaderOperation, call.Operation)
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, &Error{Op: op, Kind: transportErrorKind(err), Err: err}
	}
	defer resp.Body.Close()
	if !transport.IsFinalStatus(resp.StatusCode) {
		return Response{}, &Error{Op: op, Kind: ErrInDoubt, Err: fmt.Errorf("the status line %q is no answer to a request", resp.Status)}
	}
	body, err := c.readBody(ctx, upstream.Address, resp, write)
	if err != nil {
		return Response{}, &Error{Op: op, Kind: ErrInDoubt, Err: err}
	}
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Unframed: isUnframed(resp)}, nil
}

// isUnframed reports whether only the end of the connection ends the body of a response.
func isUnframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// readBody reads the body of a response of the upstream at addr. An unframed one that may have broken off is an error.
func (c *Client) readBody(ctx context.Context, addr string, resp *http.Response, write *transport.RequestWrite) ([]byte, error) {
	if !isUnframed(resp) {
		return c.readAll(resp.Body)
	}
	dial := (&net.Dialer{}).DialContext
	liveness, closeLiveness := openLivenessConn(ctx, dial, addr)
	defer closeLiveness()
	body, err := c.readAll(resp.Body)
	if err != nil {
		return nil, err
	}
	endedAt := time.Now()
	if !write.Succeeded() || transport.HasEnded(ctx, dial, addr) || liveness.endedWith(endedAt) {
		return nil, io.ErrUnexpectedEOF
	}
	return body, nil
}

func (c *Client) readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, c.maxResponseBytes+1))
	if err == nil && int64(len(body)) > c.maxResponseBytes {
		err = fmt.Errorf("response is longer than %d bytes", c.maxResponseBytes)
	}
	return body, err
}

func transportErrorKind(err error) ErrorKind {
	if transport.Unsent(err) {
		return ErrUnsent
	}
	return ErrInDoubt
}

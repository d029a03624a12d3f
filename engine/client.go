// Package engine is the client of the model engines: prefill, decode, cancel, reports and orders.
//
// The wire format is in docs/PROTOCOLS.md. No other package depends on it.
package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/cassiabridge/cassiabridge/transport"
)

const (
	maxIdleConnections    = 64
	maxResponseBytes      = 16 << 20
	statusEvicted         = http.StatusGone
	statusStaleFence      = http.StatusPreconditionFailed
	statusAttemptCanceled = http.StatusNotFound
)

// Client sends requests to engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a Client and a function that closes its idle connections.
func NewClient() (*Client, func()) {
	connections := transport.New(maxIdleConnections)
	return &Client{http: &http.Client{Transport: connections}}, connections.CloseIdleConnections
}

// send sends a POST request with a JSON body, or a GET request if body is nil. The caller must close the
// body of the response. Any status other than 200 is returned as an error.
func (c *Client) send(ctx context.Context, op, url string, body any) (*http.Response, error) {
	method, payload := http.MethodGet, transport.NonRewindableBody(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
		}
		method, payload = http.MethodPost, transport.NonRewindableBody(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: transportErrorKind(err), Err: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	resp.Body.Close()
	return nil, &Error{Op: op, Kind: statusErrorKind(resp.StatusCode), Err: fmt.Errorf("status %d", resp.StatusCode)}
}

func transportErrorKind(err error) ErrorKind {
	if transport.Unsent(err) {
		return ErrUnsent
	}
	return ErrBroken
}

func statusErrorKind(status int) ErrorKind {
	switch status {
	case statusEvicted:
		return ErrEvicted
	case statusStaleFence:
		return ErrFenced
	case statusAttemptCanceled:
		return ErrCanceled
	}
	return ErrRefused
}

// call sends a request as send does and decodes the JSON response into out.
func (c *Client) call(ctx context.Context, op, url string, body, out any) error {
	resp, err := c.send(ctx, op, url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return &Error{Op: op, Kind: ErrBroken, Err: err}
	}
	return nil
}

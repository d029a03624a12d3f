// Package engine speaks to the model engines: prefill, decode, cancel, reports and orders.
//
// The wire format is in docs/PROTOCOLS.md. Nothing outside this package depends on it.
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
	idleConnections  = 64
	maxAnswerBytes   = 16 << 20
	statusEvicted    = http.StatusGone
	statusOldFence   = http.StatusPreconditionFailed
	statusNoAttempts = http.StatusNotFound
)

// Client calls engines. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// NewClient returns a client, and a function that closes its connections.
func NewClient() (*Client, func()) {
	connections := transport.New(idleConnections)
	return &Client{http: &http.Client{Transport: connections}}, connections.CloseIdleConnections
}

// send posts a JSON body, or gets when body is nil, and returns the open answer.
func (c *Client) send(ctx context.Context, op, url string, body any) (*http.Response, error) {
	method, payload := http.MethodGet, transport.Body(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
		}
		method, payload = http.MethodPost, transport.Body(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	resp.Body.Close()
	return nil, &Error{Op: op, Kind: kindOfStatus(resp.StatusCode), Err: fmt.Errorf("status %d", resp.StatusCode)}
}

func kindOf(err error) ErrorKind {
	if transport.Unsent(err) {
		return ErrUnsent
	}
	return ErrBroken
}

func kindOfStatus(status int) ErrorKind {
	switch status {
	case statusEvicted:
		return ErrEvicted
	case statusOldFence:
		return ErrFenced
	case statusNoAttempts:
		return ErrCanceled
	}
	return ErrRefused
}

// call sends a JSON body and decodes the JSON answer.
func (c *Client) call(ctx context.Context, op, url string, body, out any) error {
	resp, err := c.send(ctx, op, url, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return &Error{Op: op, Kind: ErrBroken, Err: err}
	}
	return nil
}

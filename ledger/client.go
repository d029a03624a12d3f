// Package ledger is an HTTP client for the platform's append-only log and its list of VMs.
//
// The wire format is described in docs/PROTOCOLS.md and is private to this package.
package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cassiabridge/cassiabridge/transport"
)

const (
	maxAnswerBytes      = 64 << 20
	maxIdleConnsPerHost = 4
)

type client struct {
	base string
	http *http.Client
}

func newClient(base string) client {
	return client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport.New(maxIdleConnsPerHost)}}
}

func (c client) close() { c.http.CloseIdleConnections() }

// call sends body as JSON, if it is not nil, and decodes the JSON response into out.
func (c client) call(ctx context.Context, op, method, path string, body, out any) error {
	payload := transport.NonRewindableBody(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: op, Kind: ErrUnsent, Err: err}
		}
		payload = transport.NonRewindableBody(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: errorKind(err), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: op, Kind: statusErrorKind(resp.StatusCode), Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return &Error{Op: op, Kind: ErrUnknown, Err: err}
	}
	return nil
}

func errorKind(err error) ErrorKind {
	if transport.Unsent(err) {
		return ErrUnsent
	}
	return ErrUnknown
}

// statusErrorKind classifies a response status. Only 4xx, including 429, and 503 prove that the request had no effect.
func statusErrorKind(status int) ErrorKind {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status/100 == 4 {
		return ErrRejected
	}
	return ErrUnknown
}

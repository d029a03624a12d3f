// Package ledger speaks to the platform's append-only log and to its list of VMs.
//
// The wire format is in docs/PROTOCOLS.md. Nothing outside this package depends on it.
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
	maxAnswerBytes  = 64 << 20
	idleConnections = 4
)

type client struct {
	base string
	http *http.Client
}

func newClient(base string) client {
	return client{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport.New(idleConnections)}}
}

func (c client) close() { c.http.CloseIdleConnections() }

// call sends a JSON body, if any, and decodes the JSON answer into out.
func (c client) call(ctx context.Context, op, method, path string, body, out any) error {
	payload := transport.Body(nil)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return &Error{Op: op, Kind: ErrUnsent, Err: err}
		}
		payload = transport.Body(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return &Error{Op: op, Kind: ErrUnsent, Err: err}
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &Error{Op: op, Kind: kindOfStatus(resp.StatusCode), Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(out); err != nil {
		return &Error{Op: op, Kind: ErrUnknown, Err: err}
	}
	return nil
}

func kindOf(err error) ErrorKind {
	if transport.Unsent(err) {
		return ErrUnsent
	}
	return ErrUnknown
}

// kindOfStatus trusts only those answers that say that nothing was done.
func kindOfStatus(status int) ErrorKind {
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests || status/100 == 4 {
		return ErrRejected
	}
	return ErrUnknown
}

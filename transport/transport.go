// Package transport provides the HTTP client settings shared by all clients whose requests must not be sent twice.
package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// maxHeadBytes bounds the headers of a response, including 1xx responses before it.
	maxHeadBytes = 32 << 10
	// maxStatus is the highest status of HTTP.
	maxStatus = 599
)

// IsFinalStatus reports whether an upstream may end its answer to a request with a status.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// New returns a transport with a dial timeout of one second that keeps up to idleConnections idle connections
// for each host. It closes the connection of an upstream that sends headers without end.
func New(idleConnections int) *http.Transport {
	return &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    idleConnections,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
	}
}

// Unsent reports whether err, returned by http.Client.Do, is a dial error, which means that no part of the request
// was sent.
func Unsent(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr) && netErr.Op == "dial"
}

// NonRewindableBody returns a request body that net/http cannot rewind, so that the transport never retries the request
// on its own.
func NonRewindableBody(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(data))
}

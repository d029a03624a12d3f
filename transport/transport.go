// Package transport holds what the HTTP adapters share about requests that must not be sent twice.
package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

const dialTimeout = time.Second

// New returns a transport that gives up dialing after a second and keeps idle connections for each host.
func New(idleConnections int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
}

// Unsent reports whether an error of http.Client.Do says that nothing of the request left this process.
func Unsent(err error) bool {
	var netErr *net.OpError
	return errors.As(err, &netErr) && netErr.Op == "dial"
}

// Body returns a request body that net/http cannot rewind, so that it never sends the request again by
// itself.
func Body(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(data))
}

// Package transport provides the HTTP client settings shared by all clients whose requests must not be sent twice.
package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	dialTimeout = time.Second
	// maxHeadBytes bounds the headers of a response, including 1xx responses before it.
	maxHeadBytes = 32 << 10
	// writeEndDelay is how long a request that its upstream has read may take to return from its write.
	writeEndDelay = 50 * time.Millisecond
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

// RequestWrite is the write of one request.
type RequestWrite struct {
	once sync.Once
	done chan struct{}
	err  error
}

// WithRequestWrite returns a context for one request, and the write of that request.
func WithRequestWrite(ctx context.Context) (context.Context, *RequestWrite) {
	w := &RequestWrite{done: make(chan struct{})}
	wrote := func(info httptrace.WroteRequestInfo) {
		w.once.Do(func() {
			w.err = info.Err
			close(w.done)
		})
	}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: wrote}), w
}

// Succeeded reports whether the whole request was written, once the body of its response has ended. If it was not, an upstream that
// closed the connection has reset it, and a body that only the end of the connection ends may have broken off there.
func (w *RequestWrite) Succeeded() bool {
	timer := time.NewTimer(writeEndDelay)
	defer timer.Stop()
	select {
	case <-w.done:
		return w.err == nil
	case <-timer.C:
		return false
	}
}

// NonRewindableBody returns a request body that net/http cannot rewind, so that the transport never retries the request
// on its own.
func NonRewindableBody(data []byte) io.ReadCloser {
	if len(data) == 0 {
		return http.NoBody
	}
	return io.NopCloser(bytes.NewReader(data))
}

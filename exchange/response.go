package exchange

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cassiabridge/cassiabridge/transport"
)

// Response is the response to a Request. The body is read with Read or ReadAll, and the caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known.
	Length int64
	// Framing says what ends the body.
	Framing Framing

	body      io.ReadCloser
	conn      *conn
	client    *Client
	addr      string
	stop      func() bool
	write     *requestWrite
	sawEOF    bool
	keepAlive bool
	closed    bool
	onRead    func(bytes int)
	// confirmEnd returns an error if a body that has ended in an orderly way is truncated.
	confirmEnd func() error
	// endErr is set once a body that seemed to end turned out to be truncated.
	endErr error
	// cause replaces an error of the connection by the cancellation cause of the request's context, if it is done.
	cause func(error) error
}

// readResponse reads the headers of the final response. It skips 1xx responses, and up to maxMismatchedResponses
// late responses to other requests. It stops reading from an upstream that sends bytes without end.
func readResponse(connection *conn, req *http.Request, accept func(http.Header) bool) (*http.Response, error) {
	connection.limit.remaining = maxHeadBytes
	defer func() { connection.limit.remaining = noLimit }()
	for mismatched := 0; ; {
		resp, err := http.ReadResponse(connection.reader, req)
		if err != nil {
			return nil, err
		}
		if strings.ContainsFunc(resp.Status, unicode.IsControl) {
			// Stray bytes on the connection, up to the next line end, can parse as a status line.
			return nil, fmt.Errorf("the status line %q is no answer", resp.Status)
		}
		if !isKnownStatus(resp.StatusCode) {
			return nil, fmt.Errorf("the status line %q is no answer to a request", resp.Status)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if accept == nil || accept(resp.Header) {
			return resp, nil
		}
		mismatched++
		connection.limit.remaining = maxSkippedBytes
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || mismatched > maxMismatchedResponses || resp.Close {
			return nil, errors.New("the answer belongs to another request")
		}
		connection.limit.remaining = maxHeadBytes
	}
}

// isKnownStatus reports whether an upstream may answer a request with a status. A switch of protocols is never asked for.
func isKnownStatus(status int) bool {
	return transport.IsFinalStatus(status) || status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// applyKeepAlive sets usableUntil from the Keep-Alive timeout in a response header. It reports whether the
// connection may be reused at all.
func (c *conn) applyKeepAlive(now time.Time, header http.Header) bool {
	timeout := defaultIdleTimeout
	for _, field := range strings.Split(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds <= 0 {
			return false
		}
		timeout = time.Duration(seconds)*time.Second - idleTimeoutMargin
	}
	c.usableUntil = now.Add(timeout)
	return true
}

// Read reads the body. It returns io.EOF only after the complete body, and an *Error of kind ErrBroken if the body
// is truncated.
func (r *Response) Read(p []byte) (int, error) {
	if r.endErr != nil {
		return 0, r.endErr
	}
	n, err := r.body.Read(p)
	if n > 0 && r.onRead != nil {
		r.onRead(n)
	}
	if err == io.EOF && !r.sawEOF && r.Framing == FramedByConn {
		r.endErr = r.checkEnd()
	}
	if r.endErr != nil {
		return n, r.endErr
	}
	if err == io.EOF {
		r.sawEOF = true
		return n, err
	}
	if err != nil {
		return n, &Error{Op: "read answer of " + r.addr, Kind: ErrBroken, Err: r.cause(err)}
	}
	return n, nil
}

// checkEnd returns an error if what looks like the end of a body without framing is where it broke off. An upstream that closes the
// connection before it has read the request resets it, and the write may have met the reset; the kernel ends the connections of a killed
// process in an orderly way.
func (r *Response) checkEnd() error {
	if !r.write.succeedsWithin(writeEndDelay) {
		return r.TruncatedError()
	}
	if err := r.confirmEnd(); err != nil {
		return &Error{Op: "confirm end of answer of " + r.addr, Kind: ErrBroken, Err: err}
	}
	return nil
}

// TruncatedError returns the error for a body that turns out to be truncated although it ended with io.EOF.
func (r *Response) TruncatedError() error {
	return &Error{Op: "read answer of " + r.addr, Kind: ErrBroken, Err: io.ErrUnexpectedEOF}
}

// ReadAll reads the whole body. It returns an *Error of kind ErrBroken if the body is truncated or longer than limit
// bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &Error{Op: "read answer of " + r.addr, Kind: ErrBroken, Err: fmt.Errorf("the body is longer than %d bytes", limit)}
	}
	return data, nil
}

// Close releases the connection. It is reused only if the request was written in full, the response was read to its
// end and no bytes follow it; otherwise it is closed. Close first drains a body of at most maxDrainBytes.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	if !r.sawEOF && r.keepAlive && r.Length >= 0 && r.Length <= maxDrainBytes {
		_, err := io.Copy(io.Discard, r)
		r.keepAlive = err == nil
	}
	reusable := r.sawEOF && r.keepAlive && r.write.succeeded()
	if !r.stop() || !reusable || r.conn.reader.Buffered() > 0 {
		r.conn.Close()
		return
	}
	r.client.putIdle(r.addr, r.conn)
}

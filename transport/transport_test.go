package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// maxReadBytes is what a client may take from an upstream whose headers never end: the limit and a buffer.
const maxReadBytes = 64 << 10

// TestEndlessHeadersFillMemory guards against headers without end that are kept until the process is out of memory.
func TestEndlessHeadersFillMemory(t *testing.T) {
	clientEnd, upstreamEnd := net.Pipe()
	sent := make(chan int, 1)
	go func() {
		total := 0
		n, err := io.WriteString(upstreamEnd, "HTTP/1.1 200 OK\r\nEndless: ")
		for ; err == nil && total <= 4*maxReadBytes; n, err = io.WriteString(upstreamEnd, strings.Repeat("x", 512)) {
			total += n
		}
		upstreamEnd.Close()
		sent <- total
	}()
	connections := New(1)
	connections.DialContext = func(context.Context, string, string) (net.Conn, error) { return clientEnd, nil }
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://upstream/", nil)
	require.NoError(t, err)
	go func() { _, _ = io.CopyN(io.Discard, upstreamEnd, 1) }()
	resp, err := connections.RoundTrip(req)
	if assert.Error(t, err) {
		assert.NoError(t, ctx.Err(), "the call ends before its deadline")
	} else {
		resp.Body.Close()
	}
	assert.LessOrEqual(t, <-sent, maxReadBytes)
}

// TestUpstreamWithEnoughConnectionsCountsAsEnded guards against a whole body that counts as truncated because its upstream resets further
// connections.
func TestUpstreamWithEnoughConnectionsCountsAsEnded(t *testing.T) {
	for name, scenario := range map[string]struct {
		err   error
		ended bool
	}{
		"accepts":              {nil, false},
		"resets":               {syscall.ECONNRESET, false},
		"refuses":              {syscall.ECONNREFUSED, true},
		"cannot be reached":    {syscall.EHOSTUNREACH, true},
		"says nothing in time": {context.DeadlineExceeded, true},
	} {
		t.Run(name, func(t *testing.T) {
			dial := func(context.Context, string, string) (net.Conn, error) {
				conn, other := net.Pipe()
				other.Close()
				if scenario.err != nil {
					return nil, &net.OpError{Op: "dial", Err: scenario.err}
				}
				return conn, nil
			}
			assert.Equal(t, scenario.ended, HasEnded(t.Context(), dial, "upstream"))
		})
	}
}

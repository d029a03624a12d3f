package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
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

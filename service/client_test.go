package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
)

// newUpstream returns an upstream that answers each connection.
func newUpstream(t *testing.T, answer func(conn net.Conn, reader *bufio.Reader)) func() []resource.Upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				answer(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return func() []resource.Upstream {
		return []resource.Upstream{{Name: "a", Address: listener.Addr().String(), Places: 4}}
	}
}

// TestStatusOfNoKnownKindIsAResponse guards against a status that HTTP does not have, or that was not asked for, which is passed on or
// panics.
func TestStatusOfNoKnownKindIsAResponse(t *testing.T) {
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			candidates := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err == nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok")
				}
			})
			client, closeClient := NewClient(1 << 20)
			defer closeClient()
			_, err := client.Do(t.Context(), candidates, Call{Method: http.MethodPost, Target: "/", Header: http.Header{}, Operation: "op"})
			var serviceErr *Error
			if assert.ErrorAs(t, err, &serviceErr) {
				assert.Equal(t, ErrInDoubt, serviceErr.Kind)
			}
		})
	}
}

// TestEarlyResponseCutWhileTheCallIsWritten guards against a response without a length whose connection is reset while a long call is
// still being written, and that looks complete.
func TestEarlyResponseCutWhileTheCallIsWritten(t *testing.T) {
	for n := range 40 {
		candidates := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
			_, _ = reader.Peek(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the ")
			time.Sleep(time.Duration(n%8) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
		})
		client, closeClient := NewClient(1 << 20)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		response, err := client.Do(ctx, candidates, Call{Method: http.MethodPost, Target: "/", Header: http.Header{}, Operation: "op", Body: make([]byte, 8<<20)})
		assert.Error(t, err, "play %d: %q", n, response.Body)
		cancel()
		closeClient()
	}
}

// TestResponseOfAKilledUpstreamLooksComplete guards against a response without a length that looks complete when its upstream is killed:
// the kernel ends its connections in an orderly way.
func TestResponseOfAKilledUpstreamLooksComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		defer listener.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the ")
		}
	}()
	candidates := func() []resource.Upstream {
		return []resource.Upstream{{Name: "a", Address: listener.Addr().String(), Places: 4}}
	}
	client, closeClient := NewClient(1 << 20)
	defer closeClient()
	response, err := client.Do(t.Context(), candidates, Call{Method: http.MethodPost, Target: "/", Header: http.Header{}, Operation: "op"})
	assert.Error(t, err, "%q", response.Body)
}

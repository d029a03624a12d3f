package exchange

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestStatusOfNoKnownKindIsAnAnswer guards against a status line with a status that HTTP does not have, or that was not asked for, which
// is passed on or panics.
func TestStatusOfNoKnownKindIsAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "042", "099", "101", "600", "777", "999"} {
		t.Run(status, func(t *testing.T) {
			addr, _ := startUpstream(t, respondWith("HTTP/1.1 "+status+" Odd\r\nContent-Length: 2\r\n\r\nok"))
			client, closeClient := NewClient()
			defer closeClient()
			resp, err := client.Do(t.Context(), addr, Request{Method: http.MethodGet, Target: "/", Host: addr, Header: http.Header{}})
			if err == nil {
				resp.Close()
			}
			assertKind(t, err, ErrInDoubt)
		})
	}
}

// TestEarlyAnswerCutWhileTheRequestIsWritten guards against an answer without a length whose connection is reset while a long request is
// still being written, and that looks complete since the write has met the reset first.
func TestEarlyAnswerCutWhileTheRequestIsWritten(t *testing.T) {
	for n := range 40 {
		addr, _ := startUpstream(t, func(_ *testing.T, conn net.Conn, reader *bufio.Reader) {
			_, _ = reader.Peek(1)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\na part of the ")
			time.Sleep(time.Duration(n%8) * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		})
		client, closeClient := NewClient()
		resp, err := client.Do(t.Context(), addr, Request{Method: http.MethodPost, Target: "/", Host: addr, Header: http.Header{}, Body: make([]byte, 8<<20)})
		if err == nil {
			time.Sleep(time.Duration(n%5) * 2 * time.Millisecond)
			_, err = resp.ReadAll(1 << 20)
			resp.Close()
		}
		assert.Error(t, err, "play %d", n)
		closeClient()
	}
}

// FuzzUpstreamBytes guards against bytes of an upstream that end the process, or that a caller could be answered with although they are no
// answer.
func FuzzUpstreamBytes(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 000 \r\n\r\n", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", "HTTP/1.1 999 Odd\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nTrailer: x\r\n\r\n", "HTTP/0.9 200\r\n\r\n", "\x00\xff"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		client, closeClient := NewClient(WithDial(func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				go func() { _, _ = io.Copy(io.Discard, far) }()
				_, _ = far.Write(data)
			}()
			return near, nil
		}))
		defer closeClient()
		resp, err := client.Do(t.Context(), "upstream", Request{Method: http.MethodGet, Target: "/", Host: "upstream", Header: http.Header{}})
		if err != nil {
			return
		}
		defer resp.Close()
		_, _ = resp.ReadAll(1 << 16)
		assert.True(t, resp.Status >= 200 && resp.Status < 600, "status %d", resp.Status)
		httptest.NewRecorder().WriteHeader(resp.Status)
	})
}

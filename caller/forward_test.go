package caller

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requestUnframed requests a body that only its connection ends, and returns the connection once the body has begun.
func requestUnframed(t *testing.T, body []byte) (*http.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeBody(r.Context(), w, http.StatusOK, body, true)
	})}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 1))
	require.NoError(t, err)
	return server, conn
}

// TestUnframedResponseOfAStoppedVMLooksComplete guards against a body that only its connection ends, which looks complete to a slow caller
// when the VM's server is closed, or its process killed, while it writes.
func TestUnframedResponseOfAStoppedVMLooksComplete(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<20)
	t.Run("stopped", func(t *testing.T) {
		server, conn := requestUnframed(t, body)
		time.Sleep(50 * time.Millisecond)
		server.Close()
		n, err := io.Copy(io.Discard, conn)
		assert.Less(t, n, int64(len(body)))
		assert.Error(t, err, "%d of %d bytes look complete", n, len(body))
	})
	for name, whole := range map[string][]byte{"long": body, "short": []byte("x"), "empty": nil} {
		t.Run("whole, "+name, func(t *testing.T) {
			_, conn := requestUnframed(t, whole)
			time.Sleep(50 * time.Millisecond)
			data, err := io.ReadAll(conn)
			assert.NoError(t, err)
			_, got, _ := bytes.Cut(data, []byte("\r\n\r\n"))
			assert.Len(t, got, len(whole))
		})
	}
}

package caller

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requestBody requests a body by a version of HTTP, and returns the connection once the response has begun.
func requestBody(t *testing.T, version string, body []byte, unframed bool) (*http.Server, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{ConnContext: WithConn, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		writeBody(r.Context(), w, http.StatusOK, body, unframed)
	})}
	t.Cleanup(func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "GET / "+version+"\r\nHost: a\r\n\r\n")
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
		server, conn := requestBody(t, "HTTP/1.1", body, true)
		time.Sleep(50 * time.Millisecond)
		server.Close()
		n, err := io.Copy(io.Discard, conn)
		assert.Less(t, n, int64(len(body)))
		assert.Error(t, err, "%d of %d bytes look complete", n, len(body))
	})
	for name, whole := range map[string][]byte{"long": body, "short": []byte("x"), "empty": nil} {
		t.Run("whole, "+name, func(t *testing.T) {
			_, conn := requestBody(t, "HTTP/1.1", whole, true)
			time.Sleep(50 * time.Millisecond)
			data, err := io.ReadAll(conn)
			assert.NoError(t, err)
			_, got, _ := bytes.Cut(data, []byte("\r\n\r\n"))
			assert.Len(t, got, len(whole))
		})
	}
}

// TestWholeResponseCutOnItsWayToAnHTTP10Caller guards against a response that loses its framing on its way to a caller who takes no chunks,
// and that looks complete when it is cut.
func TestWholeResponseCutOnItsWayToAnHTTP10Caller(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 64<<20)
	server, conn := requestBody(t, "HTTP/1.0", body, false)
	time.Sleep(50 * time.Millisecond)
	server.Close()
	resp, err := http.ReadResponse(bufio.NewReader(io.MultiReader(strings.NewReader("H"), conn)), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	assert.Less(t, n, int64(len(body)))
	assert.Error(t, err, "%d of %d bytes look complete", n, len(body))
}

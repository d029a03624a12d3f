package caller

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// pipeListener accepts connections from a channel. With net.Pipe, they have no send buffer, so a write
// blocks until the peer reads.
type pipeListener struct{ conns chan net.Conn }

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, errors.New("closed")
	}
	return conn, nil
}

// Close implements net.Listener.
func (l pipeListener) Close() error {
	close(l.conns)
	return nil
}

// Addr implements net.Listener.
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// A caller that stops reading must not block the stream: the write fails after the stall timeout.
func TestStalledCallerTimesOut(t *testing.T) {
	writeResult := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		cw := newCompletionWriter(w, completionRequest{stream: true}, "id", time.Now())
		cw.stallTimeout = 50 * time.Millisecond
		for range 100 {
			if err := cw.writeToken("word "); err != nil {
				writeResult <- err
				return
			}
		}
		writeResult <- nil
	})}
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	clientConn, serverConn := net.Pipe()
	listener.conns <- serverConn
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	_, err := clientConn.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NoError(t, err)
	select {
	case err := <-writeResult:
		assert.Error(t, err)
	case <-time.After(10 * time.Second):
		assert.Fail(t, "write to a caller that does not read did not time out")
	}
}

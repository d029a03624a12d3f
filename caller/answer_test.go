package caller

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// pipeListener accepts one connection that holds no bytes back.
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

func TestStalledCallerIsGivenUp(t *testing.T) {
	failed := make(chan error, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		a := newAnswerWriter(w, completion{stream: true}, "id", time.Now())
		a.stall = 50 * time.Millisecond
		for range 100 {
			if err := a.token("word "); err != nil {
				failed <- err
				return
			}
		}
		failed <- nil
	})}
	listener := pipeListener{conns: make(chan net.Conn, 1)}
	ours, theirs := net.Pipe()
	listener.conns <- theirs
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	_, err := ours.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NoError(t, err)
	select {
	case err := <-failed:
		assert.Error(t, err)
	case <-time.After(10 * time.Second):
		assert.Fail(t, "a caller that does not read holds the stream")
	}
}

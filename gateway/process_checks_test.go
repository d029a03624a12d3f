package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
)

// newCheckingServer returns a Server whose replicas tell of their processes at /report.
func newCheckingServer(t *testing.T) *Server {
	t.Helper()
	protocol := NativeProtocol()
	protocol.ProcessRequest = func(replica string) (string, string, http.Header) {
		return http.MethodGet, "/report", http.Header{NativeHeaders.Upstream: {replica}}
	}
	protocol.ParseProcess = func(body []byte) (born int64) {
		_, _ = fmt.Sscanf(string(body), "born %d", &born)
		return born
	}
	client, closeClient := exchange.NewClient()
	t.Cleanup(closeClient)
	return NewServer(NewController(peer.Identity{VM: "vm", Incarnation: "x"}, "zone"), protocol, client, func() float64 { return 0 }, 1<<20)
}

// startReporter starts a listener that answers each request without framing, and requests for /report with report, which may do anything
// else. onAnswer is called before the connection of an answer ends.
func startReporter(t *testing.T, onAnswer func(net.Listener), report func(conn net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		switch {
		case err != nil:
		case r.URL.Path == "/report":
			report(conn)
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: a\n\n")
			onAnswer(listener)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// say returns a report with a status and a body.
func say(status int, body string, headers ...string) func(net.Conn) {
	return func(conn net.Conn) {
		fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), strings.Join(headers, ""), body)
	}
}

// readConfirmed reads an answer of a replica to its end, which is confirmed for a request, and returns the error of that. It opens a
// connection: startReporter closes each after one answer, also those that a client may keep.
func readConfirmed(ctx context.Context, t *testing.T, s *Server, r *request, replica placement.Replica) error {
	t.Helper()
	resp, err := s.upstreams.Do(ctx, replica.Address, exchange.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		MaxIdle: -1, ConfirmEnd: s.endConfirmation(r, replica)})
	require.NoError(t, err)
	defer resp.Close()
	_, err = resp.ReadAll(1 << 10)
	return err
}

// TestEndOfAnEndedProcessCompletesAnAnswer guards against an answer without framing that is whole although the process that wrote it has
// ended, or that is truncated although it lives.
func TestEndOfAnEndedProcessCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	lives := func(net.Listener) {}
	reset := func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) }
	for name, s := range map[string]struct {
		known    int64
		onAnswer func(net.Listener)
		report   func(net.Conn)
		whole    bool
		// waits is whether nothing tells of the process for as long as the caller waits.
		waits bool
	}{
		"the same process":                       {7, lives, say(200, "born 7"), true, false},
		"killed and at once started again":       {7, lives, say(200, "born 8"), false, false},
		"killed and not there":                   {7, func(l net.Listener) { l.Close() }, nil, false, false},
		"another replica at the address":         {7, lives, say(421, ""), false, false},
		"a proxy that resets":                    {7, lives, reset, false, true},
		"a proxy that closes":                    {7, lives, func(net.Conn) {}, false, true},
		"a proxy that answers itself":            {7, lives, say(502, "born 7"), false, true},
		"no answer":                              {7, lives, func(net.Conn) { time.Sleep(5 * time.Second) }, false, true},
		"an answer to another request":           {7, lives, say(200, "born 7", NativeHeaders.Attempt+": a\r\n"), false, true},
		"an answer that breaks off":              {7, lives, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nborn 7") }, false, true},
		"an answer without framing":              {7, lives, func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nborn 7") }, true, false},
		"a replica without reports":              {7, lives, say(400, "no id", NativeHeaders.NotRun+": 1\r\n"), true, false},
		"a replica without reports that is full": {7, lives, say(503, "", NativeHeaders.NotRun+": 1\r\n"), true, false},
		"a process that the list does not name":  {0, lives, say(200, "born 8"), true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Address: startReporter(t, s.onAnswer, s.report), Born: s.known}
			runControl(t, server, replica)
			wait := 3 * time.Second
			if s.waits {
				wait = time.Second
			}
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			err := readConfirmed(ctx, t, server, &request{}, replica)
			assert.Equal(t, s.whole, err == nil, "%v", err)
			assert.Equal(t, s.waits, ctx.Err() != nil, "the check ends as soon as something tells of the process, and not before")
		})
	}
}

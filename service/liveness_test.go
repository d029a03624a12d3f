package service

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
)

const (
	// envUpstream makes the test binary an upstream that serves the listener which it inherits. Its value says when the upstream ends.
	envUpstream = "CASSIABRIDGE_TEST_UPSTREAM"
	endsLater   = "Later"
	endsAtOnce  = "AtOnce"
	headAndPart = "HTTP/1.1 200 OK\r\n\r\na part of the "
	// partLifetime is how long an upstream lives after it has written a part of a response.
	partLifetime = 100 * time.Millisecond
	// maxLostResponses is how many of 200 sound responses may count as truncated.
	maxLostResponses = 2
)

func TestMain(m *testing.M) {
	if ends := os.Getenv(envUpstream); ends != "" {
		serveParts(ends)
	}
	os.Exit(m.Run())
}

// serveParts answers each request with a part of a response, until the process is killed.
func serveParts(ends string) {
	listener, err := net.FileListener(os.NewFile(3, "listener"))
	for err == nil {
		var conn net.Conn
		if conn, err = listener.Accept(); err == nil {
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = io.WriteString(conn, headAndPart)
				}
				if ends == endsAtOnce {
					_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
				}
			}()
		}
	}
}

// startProcess starts an upstream on a listener that outlives it, as a supervisor does.
func startProcess(t *testing.T, listener *os.File, ends string) *os.Process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envUpstream+"="+ends)
	cmd.ExtraFiles = []*os.File{listener}
	require.NoError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// assertPartsAreTruncated checks that the parts which killed upstreams send are no responses.
func assertPartsAreTruncated(t *testing.T, ends string) {
	t.Helper()
	const plays = 20
	for n := range plays {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		file, err := listener.(*net.TCPListener).File()
		require.NoError(t, err)
		defer file.Close()
		upstream := startProcess(t, file, ends)
		client, closeClient := NewClient(1 << 20)
		defer closeClient()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() {
			time.AfterFunc(partLifetime, func() { _ = upstream.Kill() })
		}})
		response, err := client.send(ctx, resource.Upstream{Name: "a", Address: listener.Addr().String()}, Call{Method: http.MethodPost, Target: "/", Header: http.Header{}})
		assert.NoError(t, ctx.Err(), "play %d", n)
		assert.Error(t, err, "play %d: %q", n, response.Body)
	}
}

// TestResponseOfAKilledUpstreamThatIsBackLooksComplete guards against a response without a length that looks complete when its upstream is
// killed and its address goes on accepting connections.
func TestResponseOfAKilledUpstreamThatIsBackLooksComplete(t *testing.T) {
	t.Parallel()
	assertPartsAreTruncated(t, endsLater)
}

// TestResponseCutRightAfterItsHeadLooksComplete guards against the same if the upstream is killed before it can accept another connection.
func TestResponseCutRightAfterItsHeadLooksComplete(t *testing.T) {
	t.Parallel()
	assertPartsAreTruncated(t, endsAtOnce)
}

// assertSoundResponses sends calls and checks that their responses do not count as truncated.
func assertSoundResponses(t *testing.T, candidates func() []resource.Upstream, parallel int) {
	t.Helper()
	const calls = 200
	client, closeClient := NewClient(1 << 20)
	defer closeClient()
	var lost atomic.Int64
	var callers sync.WaitGroup
	for range parallel {
		callers.Go(func() {
			for range calls / parallel {
				response, err := client.send(t.Context(), candidates()[0], Call{Method: http.MethodGet, Target: "/", Header: http.Header{}})
				if errors.Is(err, io.ErrUnexpectedEOF) {
					lost.Add(1)
				} else if err == nil {
					assert.Equal(t, "the whole of it", string(response.Body))
				}
			}
		})
	}
	callers.Wait()
	t.Logf("%d of %d sound responses were lost", lost.Load(), calls)
	assert.LessOrEqual(t, lost.Load(), int64(maxLostResponses))
}

// TestSoundResponsesWithoutALengthAreLost guards against whole responses that count as truncated.
func TestSoundResponsesWithoutALengthAreLost(t *testing.T) {
	t.Parallel()
	for name, delay := range map[string]time.Duration{"at once": 0, "in parts": 2 * time.Millisecond} {
		respond := func(conn net.Conn, reader *bufio.Reader) {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			head, rest, _ := strings.Cut("HTTP/1.1 200 OK\r\n\r\nthe whole| of it", "|")
			_, _ = io.WriteString(conn, head)
			time.Sleep(delay)
			_, _ = io.WriteString(conn, rest)
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assertSoundResponses(t, newUpstream(t, respond), 8)
		})
		t.Run("one connection at a time, "+name, func(t *testing.T) {
			t.Parallel()
			assertSoundResponses(t, newSequentialUpstream(t, respond), 8)
		})
		t.Run("one connection, resets others, "+name, func(t *testing.T) {
			t.Parallel()
			var busy atomic.Bool
			upstream := newUpstream(t, func(conn net.Conn, reader *bufio.Reader) {
				if busy.Swap(true) {
					_ = conn.(*net.TCPConn).SetLinger(0)
					return
				}
				defer busy.Store(false)
				respond(conn, reader)
			})
			assertSoundResponses(t, upstream, 1)
		})
	}
}

// newSequentialUpstream returns an upstream that answers one connection after the other.
func newSequentialUpstream(t *testing.T, answer func(conn net.Conn, reader *bufio.Reader)) func() []resource.Upstream {
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
			answer(conn, bufio.NewReader(conn))
			conn.Close()
		}
	}()
	return func() []resource.Upstream {
		return []resource.Upstream{{Name: "a", Address: listener.Addr().String(), Places: 4}}
	}
}

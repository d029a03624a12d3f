package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/transport"
)

// hang is a direct way that is cut silently, and refuse one on which connections are refused.
func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func refuse(context.Context, string, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// testPeer is a VM that opens connections for others.
type testPeer struct {
	Peer
	server *Server
	paths  *Paths
	asked  atomic.Int64
	stop   func(context.Context)
}

// newPeer returns a VM that reaches upstreams by dial.
func newPeer(t *testing.T, name string, dial exchange.Dial) *testPeer {
	t.Helper()
	p := &testPeer{paths: NewPaths(func(bool, int) {})}
	allows := func(_ netip.Addr, target string) bool {
		p.asked.Add(1)
		return target != "127.0.0.1:9"
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	listener.Close()
	p.server, p.stop, err = Listen(addr, p.paths, dial, allows, zap.NewNop())
	require.NoError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		p.stop(ctx)
	})
	p.Peer = Peer{VM: name, Address: addr}
	return p
}

// newTestDialer returns a Dialer that may ask peers.
func newTestDialer(direct exchange.Dial, peers ...*testPeer) (*Dialer, *Paths) {
	paths := NewPaths(func(bool, int) {})
	return NewDialer(paths, direct, func() []Peer {
		var found []Peer
		for n, p := range peers {
			found = append(found, Peer{VM: p.VM, Address: p.Address, Distance: n})
		}
		return found
	}), paths
}

// dial opens a connection as the exchange client does.
func dial(t *testing.T, d *Dialer, addr string) (net.Conn, time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), DialTimeout)
	defer cancel()
	begin := time.Now()
	conn, err := d.Dial(ctx, "tcp", addr)
	if err == nil {
		t.Cleanup(func() { conn.Close() })
	}
	return conn, time.Since(begin), err
}

// newUpstream returns the address of an upstream that handles each connection.
func newUpstream(t *testing.T, handle func(net.Conn)) string {
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
			go handle(conn)
		}
	}()
	return listener.Addr().String()
}

func echo(conn net.Conn) {
	defer conn.Close()
	_, _ = io.Copy(conn, conn)
}

func assertEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	_, err := conn.Write([]byte("hello"))
	require.NoError(t, err)
	got := make([]byte, 5)
	_, err = io.ReadFull(conn, got)
	require.NoError(t, err)
	assert.Equal(t, "hello", string(got))
}

func TestDialer(t *testing.T) {
	t.Run("directly while that works", func(t *testing.T) {
		peer := newPeer(t, "peer", exchange.DirectDial)
		d, _ := newTestDialer(exchange.DirectDial, peer)
		conn, _, err := dial(t, d, newUpstream(t, echo))
		require.NoError(t, err)
		assertEcho(t, conn)
		assert.Zero(t, peer.asked.Load())
	})
	for name, cut := range map[string]exchange.Dial{"hangs": hang, "is refused": refuse} {
		t.Run("through a peer when the direct way "+name, func(t *testing.T) {
			d, paths := newTestDialer(cut, newPeer(t, "peer", exchange.DirectDial))
			addresses := []string{newUpstream(t, echo), newUpstream(t, echo)}
			for _, addr := range addresses {
				conn, _, err := dial(t, d, addr)
				require.NoError(t, err)
				assertEcho(t, conn)
				assert.Implements(t, (*exchange.SingleUse)(nil), conn)
			}
			assert.True(t, paths.CutOff())
			_, _, err := dial(t, d, newUpstream(t, echo))
			assert.NoError(t, err)
		})
	}
	t.Run("past peers that are cut off too", func(t *testing.T) {
		cutPeers := []*testPeer{newPeer(t, "cut-1", hang), newPeer(t, "cut-2", refuse)}
		d, _ := newTestDialer(hang, append(cutPeers, newPeer(t, "sound", exchange.DirectDial))...)
		conn, _, err := dial(t, d, newUpstream(t, echo))
		require.NoError(t, err)
		assertEcho(t, conn)
	})
	t.Run("a peer that is gone", func(t *testing.T) {
		gone := newPeer(t, "gone", exchange.DirectDial)
		gone.server.Leave()
		d, _ := newTestDialer(hang, gone, newPeer(t, "sound", exchange.DirectDial))
		_, _, err := dial(t, d, newUpstream(t, echo))
		assert.NoError(t, err)
	})
	t.Run("an upstream that has ended", func(t *testing.T) {
		d, paths := newTestDialer(refuse, newPeer(t, "a", refuse), newPeer(t, "b", refuse))
		_, _, err := dial(t, d, "127.0.0.1:1")
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
		assert.False(t, paths.CutOff())
	})
	t.Run("a refusal that no peer confirms", func(t *testing.T) {
		d, _ := newTestDialer(refuse, newPeer(t, "a", hang), newPeer(t, "b", hang))
		_, _, err := dial(t, d, "127.0.0.1:1")
		assert.Error(t, err)
		assert.NotErrorIs(t, err, syscall.ECONNREFUSED, "the way may be cut")
	})
	t.Run("alone", func(t *testing.T) {
		d, _ := newTestDialer(refuse)
		_, _, err := dial(t, d, "127.0.0.1:1")
		assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
	t.Run("the way comes back", func(t *testing.T) {
		var cut atomic.Bool
		cut.Store(true)
		direct := func(ctx context.Context, network, addr string) (net.Conn, error) {
			if cut.Load() {
				return hang(ctx, network, addr)
			}
			return exchange.DirectDial(ctx, network, addr)
		}
		d, paths := newTestDialer(direct, newPeer(t, "peer", exchange.DirectDial))
		addresses := []string{newUpstream(t, echo), newUpstream(t, echo)}
		for n := range 4 {
			_, _, err := dial(t, d, addresses[n%2])
			require.NoError(t, err)
		}
		require.True(t, paths.CutOff())
		cut.Store(false)
		assert.Eventually(t, func() bool {
			conn, _, err := dial(t, d, addresses[0])
			return err == nil && conn != nil && !paths.CutOff()
		}, 5*time.Second, 50*time.Millisecond)
	})
}

func TestServer(t *testing.T) {
	connect := func(t *testing.T, peer *testPeer, target string) *http.Response {
		t.Helper()
		conn, err := net.Dial("tcp", peer.Address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		_, err = io.WriteString(conn, "CONNECT "+target+" HTTP/1.1\r\nHost: "+target+"\r\n\r\n")
		require.NoError(t, err)
		data := make([]byte, 512)
		n, err := conn.Read(data)
		require.NoError(t, err)
		status := strings.Fields(string(data[:n]))[1]
		recorder := httptest.NewRecorder()
		recorder.Code = map[string]int{"200": 200, "403": 403, "405": 405, "502": 502, "503": 503}[status]
		return recorder.Result()
	}
	t.Run("only to upstreams", func(t *testing.T) {
		peer := newPeer(t, "peer", exchange.DirectDial)
		assert.Equal(t, http.StatusForbidden, connect(t, peer, "127.0.0.1:9").StatusCode)
		assert.Equal(t, http.StatusOK, connect(t, peer, newUpstream(t, echo)).StatusCode)
	})
	t.Run("only connections", func(t *testing.T) {
		peer := newPeer(t, "peer", exchange.DirectDial)
		resp, err := http.Get("http://" + peer.Address + "/")
		require.NoError(t, err)
		defer resp.Body.Close()
		assert.Equal(t, http.StatusMethodNotAllowed, resp.StatusCode)
	})
	t.Run("none by a VM that is cut off", func(t *testing.T) {
		peer := newPeer(t, "peer", exchange.DirectDial)
		for _, addr := range []string{"a", "b"} {
			peer.paths.recordDirect(time.Now(), addr, false)
			peer.paths.recordRelayed(time.Now(), addr)
		}
		assert.Equal(t, http.StatusServiceUnavailable, connect(t, peer, newUpstream(t, echo)).StatusCode)
	})
	t.Run("a stop waits for what is relayed", func(t *testing.T) {
		peer := newPeer(t, "peer", exchange.DirectDial)
		d, _ := newTestDialer(refuse, peer)
		conn, _, err := dial(t, d, newUpstream(t, echo))
		require.NoError(t, err)
		stopped := make(chan struct{})
		go func() {
			peer.stop(context.Background())
			close(stopped)
		}()
		time.Sleep(50 * time.Millisecond)
		assertEcho(t, conn)
		conn.Close()
		select {
		case <-stopped:
		case <-time.After(5 * time.Second):
			t.Error("the server waits on")
		}
	})
}

// TestTunnel checks that both ends of a relayed connection see how the other one ended.
func TestTunnel(t *testing.T) {
	through := func(t *testing.T, handle func(net.Conn)) net.Conn {
		t.Helper()
		d, _ := newTestDialer(refuse, newPeer(t, "peer", exchange.DirectDial))
		conn, _, err := dial(t, d, newUpstream(t, handle))
		require.NoError(t, err)
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		return conn
	}
	t.Run("a regular end", func(t *testing.T) {
		conn := through(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "all of it")
			c.Close()
		})
		data, err := io.ReadAll(conn)
		assert.NoError(t, err)
		assert.Equal(t, "all of it", string(data))
	})
	t.Run("a reset is no regular end", func(t *testing.T) {
		conn := through(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "a part")
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		})
		_, err := io.ReadAll(conn)
		assert.Error(t, err)
	})
	t.Run("the caller leaves", func(t *testing.T) {
		left := make(chan error, 1)
		conn := through(t, func(c net.Conn) {
			_, err := c.Read(make([]byte, 1))
			left <- err
			c.Close()
		})
		conn.Close()
		select {
		case err := <-left:
			assert.True(t, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET), err)
		case <-time.After(5 * time.Second):
			t.Error("the upstream works on")
		}
	})
}

// resetMetByWrite is a connection whose reset is met by a write, so that a read finds its end.
type resetMetByWrite struct {
	net.Conn
	met chan struct{}
}

func (c resetMetByWrite) Write([]byte) (int, error) {
	close(c.met)
	return 0, syscall.ECONNRESET
}

func (c resetMetByWrite) Read([]byte) (int, error) {
	<-c.met
	return 0, io.EOF
}

// TestResetThatAWriteMeetsLooksLikeAnEnd guards against an upstream that resets a relayed connection while the request is written, and
// whose answer looks complete: the kernel reports a reset once, and later reads find an orderly end.
func TestResetThatAWriteMeetsLooksLikeAnEnd(t *testing.T) {
	upstream, other := net.Pipe()
	t.Cleanup(func() { other.Close() })
	met := resetMetByWrite{Conn: upstream, met: make(chan struct{})}
	d, _ := newTestDialer(refuse, newPeer(t, "peer", func(context.Context, string, string) (net.Conn, error) { return met, nil }))
	conn, _, err := dial(t, d, "127.0.0.1:8")
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(conn, "a request")
	require.NoError(t, err)
	_, err = io.ReadAll(conn)
	assert.Error(t, err)
}

// TestReplicaThatPeersFindEndedCountsAsAlive guards against an answer without framing that looks complete when its replica, which only peers
// reach, is killed: nobody reaches it any more, and the direct way tells nothing.
func TestReplicaThatPeersFindEndedCountsAsAlive(t *testing.T) {
	for name, direct := range map[string]exchange.Dial{"hangs": hang, "is refused": refuse} {
		t.Run("the direct way "+name, func(t *testing.T) {
			for _, peers := range [][]*testPeer{
				{newPeer(t, "a", refuse)},
				{newPeer(t, "a", refuse), newPeer(t, "b", refuse), newPeer(t, "c", refuse)},
				{newPeer(t, "a", hang), newPeer(t, "b", hang)},
			} {
				d, _ := newTestDialer(direct, peers...)
				assert.True(t, transport.HasEnded(t.Context(), d.Dial, "127.0.0.1:1"), "%d peers", len(peers))
			}
		})
	}
	t.Run("the request is canceled", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.True(t, transport.HasEnded(ctx, exchange.DirectDial, newUpstream(t, echo)))
	})
	t.Run("alive behind peers", func(t *testing.T) {
		d, _ := newTestDialer(hang, newPeer(t, "a", exchange.DirectDial))
		addr := newUpstream(t, echo)
		for range 3 {
			assert.False(t, transport.HasEnded(t.Context(), d.Dial, addr))
		}
	})
}

package integration

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/app"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/settings"
)

// cutKind says what becomes of a VM's connections to replicas.
type cutKind int

const (
	// notCut leaves them as they are.
	notCut cutKind = iota
	// cutSilently lets open connections and attempts to open one hang.
	cutSilently
	// cutByRefusal lets open connections live on and refuses new ones.
	cutByRefusal
	// cutByReset resets open connections and attempts to open one.
	cutByReset
)

// replicaLinks opens a VM's connections to replicas, and can be cut.
type replicaLinks struct {
	mu sync.Mutex
	// cut says what becomes of connections to the addresses for which isCut holds.
	cut   cutKind
	isCut func(addr string) bool
	conns map[*replicaConn]bool
	// dials counts the attempts to open a connection.
	dials int
}

func newReplicaLinks() *replicaLinks {
	return &replicaLinks{conns: map[*replicaConn]bool{}, isCut: func(string) bool { return true }}
}

// replicaConn is one of these connections. Once it is muted, what is written is lost, and nothing can be read.
type replicaConn struct {
	net.Conn
	links *replicaLinks
	addr  string
	muted chan struct{}
	once  sync.Once
}

func (c *replicaConn) mute() { c.once.Do(func() { close(c.muted) }) }

func (c *replicaConn) isMuted() bool {
	select {
	case <-c.muted:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *replicaConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isMuted() {
		return n, err
	}
	// What arrives on a muted connection is lost. It ends when it is closed.
	for err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.SetReadDeadline(time.Time{})
		_, err = c.Conn.Read(p)
	}
	return 0, err
}

// Write implements net.Conn.
func (c *replicaConn) Write(p []byte) (int, error) {
	if c.isMuted() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *replicaConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.conns, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// setCut sets what becomes of the connections, those that are open too.
func (l *replicaLinks) setCut(kind cutKind) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = kind
	for c := range l.conns {
		switch {
		case !l.isCut(c.addr):
		case kind == cutSilently:
			c.mute()
		case kind == cutByReset:
			_ = c.Conn.(*net.TCPConn).SetLinger(0)
			_ = c.Conn.Close()
		}
	}
}

// dial opens a connection to a replica.
func (l *replicaLinks) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	l.mu.Lock()
	l.dials++
	kind := l.cut
	if !l.isCut(addr) {
		kind = notCut
	}
	l.mu.Unlock()
	switch kind {
	case cutSilently:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutByRefusal, cutByReset:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &replicaConn{Conn: raw, links: l, addr: addr, muted: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = true
	return c, nil
}

// startInside starts a VM in the process of the test, so that its links to replicas can be cut. It returns them.
func (s *site) startInside(name string) (*gatewayVM, *replicaLinks) {
	s.t.Helper()
	v := &gatewayVM{callers: freeAddr(s.t), readiness: freeAddr(s.t), metrics: freeAddr(s.t)}
	v.name = name
	data, err := json.Marshal(s.settings(v, name, map[string]any{"Level": "info"}))
	require.NoError(s.t, err)
	cfg, err := settings.Parse(data)
	require.NoError(s.t, err)
	output, err := os.CreateTemp(s.t.TempDir(), name)
	require.NoError(s.t, err)
	v.output = output
	links := newReplicaLinks()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- app.ServeGateway(ctx, cfg, newFileLogger(s.t, output), metrics.NewGateway(), nil, func() (settings.Settings, error) { return cfg, nil }, app.WithUpstreamDial(links.dial))
	}()
	s.t.Cleanup(func() {
		links.setCut(notCut)
		stop()
		<-done
	})
	s.vms = append(s.vms, v)
	s.awaitServing(v)
	return v, links
}

// newFileLogger returns a logger that writes key=value lines to a file, as a VM does.
func newFileLogger(t testing.TB, file *os.File) *zap.Logger {
	t.Helper()
	cfg := zap.NewDevelopmentConfig()
	cfg.OutputPaths = []string{file.Name()}
	log, err := cfg.Build()
	require.NoError(t, err)
	return log
}

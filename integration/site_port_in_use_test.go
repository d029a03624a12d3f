package integration

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSitePortInUseEndsTheVMAtItsStart guards against a start that fails because a predecessor or another program uses a port
// for a while.
func TestSitePortInUseEndsTheVMAtItsStart(t *testing.T) {
	t.Parallel()
	listenTCP := func(addr string) (io.Closer, error) { return net.Listen("tcp", addr) }
	scenarios := []struct {
		name   string
		addr   func(settings map[string]any) string
		occupy func(addr string) (io.Closer, error)
	}{
		{"callers", func(listen map[string]any) string { return listen["Callers"].(string) }, listenTCP},
		{"readiness", func(listen map[string]any) string { return listen["Readiness"].(string) }, listenTCP},
		{"peers", func(listen map[string]any) string { return listen["Peers"].(string) },
			func(addr string) (io.Closer, error) { return net.ListenPacket("udp4", addr) }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 0)
			v := s.newVM("vm-0")
			settings := s.settings(v, v.name, map[string]any{"Level": "info"})
			v.writeSettings(t, settings)
			occupied, err := scenario.occupy(scenario.addr(settings["Listen"].(map[string]any)))
			require.NoError(t, err)
			s.start(v)
			s.eventually(5*time.Second, "the port in use is logged", func() bool { return len(s.logLines(v, "port-in-use")) == 1 })
			time.Sleep(time.Second)
			if scenario.name != "readiness" {
				assert.False(t, s.isReady(v), "a VM that callers cannot reach is not ready")
			}
			require.NoError(t, occupied.Close())
			s.awaitServing(v)
		})
	}
}

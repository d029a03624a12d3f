package soak

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// resetThrough returns the error of a reader whose other half is reset behind a proxy, after two bytes.
func resetThrough(t *testing.T, p *proxy) error {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	p.target = target.Addr().String()
	stop, err := p.start("127.0.0.1:0")
	require.NoError(t, err)
	defer stop()
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	accepted, err := target.Accept()
	require.NoError(t, err)
	_, err = accepted.Write([]byte("ab"))
	require.NoError(t, err)
	_, err = io.ReadFull(conn, make([]byte, 2))
	require.NoError(t, err)
	reset(accepted.(*net.TCPConn))
	_, err = io.ReadAll(conn)
	return err
}

func TestFrontTurnsResetsIntoEnds(t *testing.T) {
	assert.NoError(t, resetThrough(t, &proxy{name: "front", softens: true}))
	assert.Error(t, resetThrough(t, &proxy{name: "proxy"}))
}

package integration

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// The ports lie below the kernel's range of ephemeral ports, so that no outgoing connection takes a port
// after freeAddr has returned it and before the router listens on it.
const (
	firstPort     = 20_000
	lastPort      = 32_000
	portBlockSize = 2_000
)

// nextPort is the offset, in the block of this process, of the last port that freeAddr tried.
var nextPort atomic.Int32

// blockListener listens on the first port of this process's block until the process ends, so that test processes
// which run side by side use different blocks.
var blockListener net.Listener

// portBlock claims a block of ports for this process and returns its first port, or 0 if there is none.
var portBlock = sync.OnceValue(func() int {
	for first := firstPort; first+portBlockSize <= lastPort; first += portBlockSize {
		var err error
		if blockListener, err = net.Listen("tcp", loopbackAddr(first)); err == nil {
			return first
		}
	}
	return 0
})

// freeAddr returns a loopback address that nothing listens on. It returns each address once, because a test may
// start a killed router again on its address.
func freeAddr(t testing.TB) string {
	first := portBlock()
	require.NotZero(t, first, "no free block of ports")
	for {
		offset := int(nextPort.Add(1))
		require.Less(t, offset, portBlockSize, "no free port")
		addr := loopbackAddr(first + offset)
		if listener, err := net.Listen("tcp", addr); err == nil {
			listener.Close()
			return addr
		}
	}
}

func loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

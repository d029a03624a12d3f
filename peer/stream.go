package peer

import (
	"io"
	"log"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout limits the time of one write, which blocks if the peer does not read, for example when its process is
// frozen.
const writeTimeout = 2 * time.Second

// deadlineConn sets a deadline for each write, so that a peer that does not read cannot block the sender.
type deadlineConn struct{ net.Conn }

// Write implements net.Conn. It fails if the write takes longer than writeTimeout.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// discardLogs stops jsonrpc2 from writing to the standard logger. Connection failures are returned as errors.
func discardLogs() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{conn}, jsonrpc2.VarintObjectCodec{})
}

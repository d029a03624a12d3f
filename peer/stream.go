package peer

import (
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"
)

// writeTimeout ends a connection whose peer does not read, such as a frozen one.
const writeTimeout = 2 * time.Second

// deadlineConn gives each write a deadline, so that no peer can block a sender.
type deadlineConn struct{ net.Conn }

// Write writes with a deadline.
func (c deadlineConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{conn}, jsonrpc2.VSCodeObjectCodec{})
}

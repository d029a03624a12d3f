package peer

import (
	"io"
	"log"
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

// quiet keeps the library from writing to the standard logger; broken connections show as errors.
func quiet() jsonrpc2.ConnOpt { return jsonrpc2.SetLogger(log.New(io.Discard, "", 0)) }

func newStream(conn net.Conn) jsonrpc2.ObjectStream {
	return jsonrpc2.NewBufferedStream(deadlineConn{conn}, jsonrpc2.VarintObjectCodec{})
}

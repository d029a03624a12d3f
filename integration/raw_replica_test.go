package integration

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// rawCut at the end of an answer closes the connection after what is before it.
const rawCut = "\x00cut"

// startRawReplica starts a replica that writes its answers as bytes, so that they can be faulty, and lists it with the given
// service and stage. serveConn is called for each connection and returns the function that answers the requests on it, one after
// the other.
func (s *site) startRawReplica(id, service, stage string, serveConn func() func(*http.Request) string) {
	listener := listen(s.t)
	process := standin.NewProcess(id, stage)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, process, serveConn())
		}
	}()
	s.listReplica(process, service, listener.Addr().String())
}

// listen listens on a loopback address until the test ends. No outgoing connection takes the address once the listener is closed.
func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", freeAddr(t))
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	return listener
}

// listReplica writes the entry of a replica that runs version v1.
func (s *site) listReplica(process standin.Process, service, addr string) {
	s.store.PutReplica(process.ID, process.Entry(service, addr))
}

// serveRaw answers the requests on a connection one after the other, those for what the process says of itself included.
func serveRaw(conn net.Conn, process standin.Process, answer func(*http.Request) string) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		data := process.RawAnswer(r)
		if data == "" {
			data = answer(r)
		}
		data, cut := strings.CutSuffix(data, rawCut)
		if _, err := io.WriteString(conn, data); err != nil || cut {
			return
		}
	}
}

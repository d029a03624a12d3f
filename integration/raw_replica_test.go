package integration

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/stretchr/testify/require"
)

// rawCut at the end of an answer closes the connection after what is before it.
const rawCut = "\x00cut"

// startRawReplica starts a replica that writes its answers as bytes, so that they can be faulty, and lists it with the given
// service and stage. serveConn is called for each connection and returns the function that answers the requests on it, one after
// the other.
func (s *site) startRawReplica(id, service, stage string, serveConn func() func(*http.Request) string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(s.t, err)
	s.t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(conn, serveConn())
		}
	}()
	s.listReplica(id, service, stage, listener.Addr().String())
}

// listReplica writes the entry of a replica that runs version v1.
func (s *site) listReplica(id, service, stage, addr string) {
	entry := map[string]any{"service": service, "zone": "zone-a", "version": "v1", "slots": 48, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
		"address": addr}
	if stage != "" {
		entry["stage"] = stage
	}
	s.store.PutReplica(id, entry)
}

func serveRaw(conn net.Conn, answer func(*http.Request) string) {
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
		data, cut := strings.CutSuffix(answer(r), rawCut)
		if _, err := io.WriteString(conn, data); err != nil || cut {
			return
		}
	}
}

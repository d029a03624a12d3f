package integration

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// versionedEvents returns an answer with the events of a software version from one number on. It breaks off after the second event if cut.
func versionedEvents(attempt, version string, from int, cut bool) string {
	var b strings.Builder
	last := 4
	if cut {
		last = 2
	}
	for n := from; n <= last; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, version)
	}
	if cut {
		return rawEvents(attempt, b.String()) + rawCut
	}
	return rawEvents(attempt, b.String()) + lastChunk
}

// serveVersion serves a process of a decode engine, which runs a software version, on a listener until it is closed.
func serveVersion(listener net.Listener, process standin.Process, version string, cut bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go serveRaw(conn, process, func(r *http.Request) string {
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			return versionedEvents(r.Header.Get(standin.HeaderAttempt), version, last+1, cut)
		})
	}
}

// TestSiteRestartedReplicaGoesOnAtItsOldVersion guards against a stream that goes on, or begins and then goes on, at a replica that has
// started again under its ID with other software, while its entry still names the software before.
func TestSiteRestartedReplicaGoesOnAtItsOldVersion(t *testing.T) {
	t.Parallel()
	s := newSiteWithReplicas(t, 1, append(defaultReplicas()[:2], defaultReplicas()[4:]...))
	restarting, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := restarting.Addr().String()
	before := standin.NewProcess("restarting", "decode")
	go serveVersion(restarting, before, "v1", false)
	s.listReplica(before, engineService, addr)
	time.Sleep(maxSitePropagationDelay)
	restarting.Close()
	// Each VM that sends something to it now learns that it has ended.
	s.send(s.vms[0], streamRequest("/review/a"))
	restarted, err := net.Listen("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { restarted.Close() })
	go serveVersion(restarted, standin.NewProcess(before.ID, before.Stage), "v2", false)
	breaking := listen(t)
	other := standin.NewProcess("breaking", "decode")
	var begun atomic.Int64
	go serveVersion(breaking, other, "v1", true)
	s.listReplica(other, engineService, breaking.Addr().String())
	time.Sleep(maxSitePropagationDelay)
	for range requestsForEachEngine {
		a := s.send(s.vms[0], streamRequest("/check/a"))
		if strings.Contains(a.body, "v1") {
			begun.Add(1)
			assert.NotContains(t, a.body, "v2", "two versions in one stream")
		}
	}
	assert.Positive(t, begun.Load())
}

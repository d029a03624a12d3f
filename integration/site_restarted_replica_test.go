package integration

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	restarting := listen(t)
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

// proxiedReplica is a replica behind a proxy, which accepts connections at all times.
type proxiedReplica struct {
	mu      sync.Mutex
	process standin.Process
	answer  func(*http.Request) string
	conns   []net.Conn
}

// serve accepts connections on a listener until it is closed. Each leads to the current process.
func (p *proxiedReplica) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns = append(p.conns, conn)
		go serveRaw(conn, p.process, p.answer)
		p.mu.Unlock()
	}
}

// restart ends the process, if there is one, and starts another under an ID.
func (p *proxiedReplica) restart(id string, answer func(*http.Request) string) standin.Process {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns, p.process, p.answer = nil, standin.NewProcess(id, "decode"), answer
	return p.process
}

// version returns the answers of a decode engine that runs a software version. They break off after the second event if cut.
func version(name string, cut bool) func(*http.Request) string {
	return func(r *http.Request) string {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		return versionedEvents(r.Header.Get(standin.HeaderAttempt), name, last+1, cut && last == 0)
	}
}

// assertVersionsNotJoined starts a replica again with version v2 behind a proxy, beside one that runs v1, and checks the streams that
// callers get before the list of replicas names the new process. Streams begin at one of the two and break off there.
func assertVersionsNotJoined(t *testing.T, cutRestarted bool) {
	s := newSiteWithReplicas(t, 1, append(defaultReplicas()[:2], defaultReplicas()[4:]...))
	proxy, other := listen(t), listen(t)
	restarting, lasting := &proxiedReplica{}, &proxiedReplica{}
	s.listReplica(restarting.restart("restarting", version("v1", cutRestarted)), engineService, proxy.Addr().String())
	s.listReplica(lasting.restart("lasting", version("v1", !cutRestarted)), engineService, other.Addr().String())
	go restarting.serve(proxy)
	go lasting.serve(other)
	time.Sleep(maxSitePropagationDelay)
	process := restarting.restart("restarting", version("v2", cutRestarted))
	listed := time.AfterFunc(entryDelay, func() { s.listReplica(process, engineService, proxy.Addr().String()) })
	t.Cleanup(func() { listed.Stop() })
	joined := 0
	for _, a := range sendTogether(t, requestsForEachEngine, func(int) siteResponse { return s.send(s.vms[0], streamRequest("/check/a")) }) {
		if strings.Contains(a.body, "v1") && strings.Contains(a.body, "v2") {
			joined++
		}
	}
	assert.NotEmpty(t, s.logLines(s.vms[0], "Event=stream-broken"), "streams break off")
	assert.Zero(t, joined, "streams of two versions")
}

// TestSiteStreamGoesOnAtARestartedReplicaBehindAProxy guards against a stream that goes on at a replica which has started again under its ID
// with other software, while its address accepts connections at all times.
func TestSiteStreamGoesOnAtARestartedReplicaBehindAProxy(t *testing.T) {
	t.Parallel()
	assertVersionsNotJoined(t, false)
}

// TestSiteStreamBegunAtARestartedReplicaBehindAProxy guards against a stream that begins at a replica which has started again under its ID
// with other software, and goes on at a replica of the software before.
func TestSiteStreamBegunAtARestartedReplicaBehindAProxy(t *testing.T) {
	t.Parallel()
	assertVersionsNotJoined(t, true)
}

package integration

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// harmfulPart is the part of a prompt that ends the engines of restartingEngines.
	harmfulPart = "bad0"
	// engineRestartDelay is how long an engine is down after it has ended.
	engineRestartDelay = 400 * time.Millisecond
)

// restartingEngines are decode engines that end when they begin to answer a request with harmfulPart, and start again
// with a new ID at the same address.
type restartingEngines struct {
	site *site

	mu     sync.Mutex
	starts int
	// endedAt holds the times at which an engine ended, in order.
	endedAt []time.Time
	// processes holds the stand-in of each start of an engine.
	processes []*standin.Replica
	servers   map[string]*httptest.Server
}

// newRestartingEngines replaces the decode engines of s by the given number of restarting ones.
func newRestartingEngines(s *site, count int) *restartingEngines {
	e := &restartingEngines{site: s, servers: map[string]*httptest.Server{}}
	for _, id := range []string{"d-0", "d-1"} {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Refuse: true})
		s.updateEntry(id, "state", "draining")
	}
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(s.t, err)
		e.start(listener)
	}
	s.t.Cleanup(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		for _, server := range e.servers {
			server.CloseClientConnections()
			server.Close()
		}
	})
	return e
}

// start starts an engine under a new ID.
func (e *restartingEngines) start(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := listener.Addr().String()
	e.starts++
	id := fmt.Sprint("e-", e.starts)
	engine := standin.NewReplica(standin.ReplicaConfig{ID: id, Stage: "decode", WorkDuration: 5 * time.Millisecond, Events: 20})
	engine.SetFaults(standin.ReplicaFaults{EndOnPart: harmfulPart, End: sync.OnceFunc(func() { e.end(id, address) })})
	e.processes = append(e.processes, engine)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: engine.Handler(e.site.takeResult)}}
	server.Start()
	e.servers[address] = server
	e.site.store.PutReplica(id, map[string]any{"service": engineService, "zone": "zone-a", "version": "v1", "slots": 48, "state": "ready", "stage": "decode",
		"coldRemainingMs": 0, "sequence": 1, "address": address})
}

// end closes an engine's connections and its port, and starts it again later.
func (e *restartingEngines) end(id, address string) {
	e.mu.Lock()
	server := e.servers[address]
	delete(e.servers, address)
	e.endedAt = append(e.endedAt, time.Now())
	e.mu.Unlock()
	server.Listener.Close()
	server.CloseClientConnections()
	time.Sleep(engineRestartDelay)
	e.site.store.PutReplica(id, nil)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.site.t.Logf("engine %s does not start again: %v", id, err)
		return
	}
	e.start(listener)
}

// ends returns the times at which an engine ended.
func (e *restartingEngines) ends() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.endedAt...)
}

// harmfulArrivals returns the number of requests with harmfulPart that reached an engine after a time, prefills included.
func (e *restartingEngines) harmfulArrivals(after time.Time) int {
	e.mu.Lock()
	processes := append([]*standin.Replica(nil), e.processes...)
	e.mu.Unlock()
	for _, p := range e.site.replicas {
		processes = append(processes, p.Replica)
	}
	arrivals := 0
	for _, process := range processes {
		for _, run := range process.Runs() {
			if run.StartedAt.After(after) && hasHarmfulPart(run.Header) {
				arrivals++
			}
		}
	}
	return arrivals
}

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
	// harmfulPart is the part of a prompt that ends the engines of restartingReplicas.
	harmfulPart = "bad0"
	// harmfulTarget is the path of a call that ends desks.
	harmfulTarget = "/status/harmful"
	// replicaRestartDelay is how long a replica is down after it has ended.
	replicaRestartDelay = 400 * time.Millisecond
)

// restartingReplicas are replicas that end when they begin to answer a harmful request, and start again with a new ID at the same
// address.
type restartingReplicas struct {
	site *site
	// spec configures each start, faults say which requests are harmful.
	spec   replicaSpec
	faults standin.ReplicaFaults

	mu     sync.Mutex
	starts int
	// endedAt holds the times at which an engine ended, in order.
	endedAt []time.Time
	// processes holds the stand-in of each start of an engine.
	processes []*standin.Replica
	servers   map[string]*httptest.Server
}

// newRestartingEngines replaces the decode engines of s by the given number of restarting ones, which end on harmfulPart.
func newRestartingEngines(s *site, count int) *restartingReplicas {
	spec := replicaSpec{standin.ReplicaConfig{Stage: "decode", WorkDuration: 5 * time.Millisecond, Events: 20}, engineService}
	return newRestartingReplicas(s, count, spec, standin.ReplicaFaults{EndOnPart: harmfulPart}, "d-0", "d-1")
}

// newRestartingDesks replaces the desks of s by the given number of restarting ones, which end on harmfulTarget.
func newRestartingDesks(s *site, count int) *restartingReplicas {
	spec := replicaSpec{standin.ReplicaConfig{WorkDuration: 20 * time.Millisecond}, deskService}
	return newRestartingReplicas(s, count, spec, standin.ReplicaFaults{EndOnTarget: harmfulTarget}, "s-0", "s-1")
}

// newRestartingReplicas replaces replicas of s by the given number of restarting ones.
func newRestartingReplicas(s *site, count int, spec replicaSpec, faults standin.ReplicaFaults, replaced ...string) *restartingReplicas {
	e := &restartingReplicas{site: s, spec: spec, faults: faults, servers: map[string]*httptest.Server{}}
	for _, id := range replaced {
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

// start starts a replica under a new ID.
func (e *restartingReplicas) start(listener net.Listener) {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := listener.Addr().String()
	e.starts++
	cfg, faults := e.spec.ReplicaConfig, e.faults
	cfg.ID = fmt.Sprint("e-", e.starts)
	faults.End = sync.OnceFunc(func() { e.end(cfg.ID, address) })
	replica := standin.NewReplica(cfg)
	replica.SetFaults(faults)
	e.processes = append(e.processes, replica)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: replica.Handler(e.site.takeResult)}}
	server.Start()
	e.servers[address] = server
	e.site.listReplica(replica.Process(), e.spec.service, address)
}

// end closes a replica's connections and its port, and starts it again later.
func (e *restartingReplicas) end(id, address string) {
	e.mu.Lock()
	server := e.servers[address]
	delete(e.servers, address)
	e.endedAt = append(e.endedAt, time.Now())
	e.mu.Unlock()
	server.Listener.Close()
	server.CloseClientConnections()
	time.Sleep(replicaRestartDelay)
	e.site.store.PutReplica(id, nil)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		e.site.t.Logf("replica %s does not start again: %v", id, err)
		return
	}
	e.start(listener)
}

// ends returns the times at which a replica ended.
func (e *restartingReplicas) ends() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.endedAt...)
}

// harmfulArrivals returns the number of harmful requests that reached a replica after a time, prefills included.
func (e *restartingReplicas) harmfulArrivals(after time.Time) int {
	e.mu.Lock()
	processes := append([]*standin.Replica(nil), e.processes...)
	e.mu.Unlock()
	for _, p := range e.site.replicas {
		processes = append(processes, p.Replica)
	}
	arrivals := 0
	for _, process := range processes {
		for _, run := range process.Runs() {
			if run.StartedAt.After(after) && (hasHarmfulPart(run.Header) || run.Target == harmfulTarget) {
				arrivals++
			}
		}
	}
	return arrivals
}

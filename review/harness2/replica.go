package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

// Headers that replicas read and write besides those of package standin.
const (
	headerNotRun   = "Not-Executed"
	headerSource   = "Kv-Source"
	headerLastID   = "Last-Event-Id"
	headerInstance = "Instance-Id"
	handlePath     = "/api/kv-handle/"
	// heartbeatInterval is heartbeatMs of the small sites.
	heartbeatInterval = 1200 * time.Millisecond
	// deskReplicas is the number of replicas of the plain service of the small sites.
	deskReplicas = 4
)

// replicaOptions configure a stand-in replica.
type replicaOptions struct {
	id, stage, version, addr string
	born                     int64
	// events is the number of events in a stream, and gap the time between two. A plain service takes gap for each half of its answer.
	events int
	gap    time.Duration
	// unframed answers of a plain service have neither a length nor chunks.
	unframed bool
	// stopsAt is a path. The process stands still after each answer without framing to a request for it, until it is continued.
	stopsAt string
	// emptyEach is how many answers that take a stream up an engine gives for each one that holds nothing, or 0 if it is not faulty.
	emptyEach int64
}

func (o replicaOptions) args() []string {
	return []string{"replica", "-id", o.id, "-stage", o.stage, "-version", o.version, "-addr", o.addr, "-born", strconv.FormatInt(o.born, 10),
		"-events", strconv.Itoa(o.events), "-gap", o.gap.String(), "-unframed=" + strconv.FormatBool(o.unframed), "-stops-at", o.stopsAt, "-empty-each", strconv.FormatInt(o.emptyEach, 10)}
}

// startProcess starts a replica process and waits until it listens.
func (s *site) startProcess(o replicaOptions) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	c, err := s.startChild(o.id, nil, program, o.args()...)
	if err != nil {
		return nil, err
	}
	return c, await(o.id+" listens", func() bool { return listens(o.addr) })
}

// startReplica starts a replica process, and writes its entry to the store as the replica would.
func (s *site) startReplica(o replicaOptions, service string) (*child, error) {
	c, err := s.startProcess(o)
	if err == nil {
		s.list(o, service)
	}
	return c, err
}

// configureDesk writes a configuration with routes to a plain service.
func (s *site) configureDesk() {
	s.configure([]map[string]any{
		standin.Route("status", hostName, "/status/", "idempotent", "desk", map[string]any{"maxAttempts": 2}),
		standin.Route("release", hostName, "/release/", "non_idempotent", "desk", nil),
	}, []map[string]any{{"name": "desk", "healthPath": standin.HealthPath, "maxConnections": 100}})
}

// startedReplica is a replica process with its options.
type startedReplica struct {
	child   *child
	options replicaOptions
}

// startDesks starts the replicas of the plain service, which share options, and writes a configuration.
func (s *site) startDesks(shared replicaOptions) ([]startedReplica, error) {
	var desks []startedReplica
	for n := range deskReplicas {
		o := shared
		var err error
		if o.addr, err = freeAddr(); err != nil {
			return nil, err
		}
		o.id, o.version, o.born = fmt.Sprintf("s-%d", n), "v1", time.Now().UnixMilli()
		c, err := s.startReplica(o, "desk")
		if err != nil {
			return nil, err
		}
		desks = append(desks, startedReplica{c, o})
	}
	s.configureDesk()
	return desks, nil
}

// list writes the entry of a replica, and writes it again at each heartbeat until the replica is killed or listed anew.
func (s *site) list(o replicaOptions, service string) {
	entry := map[string]any{"service": service, "zone": zone, "version": o.version, "slots": 48, "state": "ready", "coldRemainingMs": 0, "address": o.addr, "born": o.born}
	if o.stage != "" {
		entry["stage"] = o.stage
	}
	stop := make(chan struct{})
	s.stopHeartbeat(o.id)
	s.mu.Lock()
	s.heartbeats[o.id] = stop
	s.mu.Unlock()
	s.writeEntry(o.id, entry, 1)
	go func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			s.writeEntry(o.id, entry, sequence)
		}
	}()
}

// writeEntry writes an entry, unless the store is down.
func (s *site) writeEntry(id string, entry map[string]any, sequence int) {
	if s.store.Faults().Down {
		return
	}
	entry["sequence"] = sequence
	s.store.PutReplica(id, entry)
}

// stopHeartbeat ends the heartbeat of a replica, if it has one.
func (s *site) stopHeartbeat(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stop := s.heartbeats[id]; stop != nil {
		close(stop)
	}
	delete(s.heartbeats, id)
}

// listens reports whether a process listens at an address.
func listens(addr string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	conn.Close()
	return true
}

// replica is a stand-in replica, in a process of its own.
type replica struct {
	replicaOptions

	mu      sync.Mutex
	handles map[string]bool
	next    int
	// resumed is the number of answers that take a stream up.
	resumed atomic.Int64
}

// runReplica serves a replica until the process is killed.
func runReplica(args []string) {
	var p replica
	p.handles = map[string]bool{}
	flags := flag.NewFlagSet("replica", flag.ExitOnError)
	flags.StringVar(&p.id, "id", "", "ID")
	flags.StringVar(&p.stage, "stage", "", "prefill, decode or empty")
	flags.StringVar(&p.version, "version", "v1", "version of the software")
	flags.StringVar(&p.addr, "addr", "", "loopback address and port")
	flags.Int64Var(&p.born, "born", 0, "start in Unix milliseconds")
	flags.IntVar(&p.events, "events", 0, "events of a stream")
	flags.DurationVar(&p.gap, "gap", 0, "time between events")
	flags.BoolVar(&p.unframed, "unframed", false, "answer without length and chunks")
	flags.StringVar(&p.stopsAt, "stops-at", "", "path after whose answers without length and chunks to stand still")
	flags.Int64Var(&p.emptyEach, "empty-each", 0, "answers that take a stream up for each one that holds nothing")
	_ = flags.Parse(args)
	server := &http.Server{Addr: p.addr, Handler: &p, ReadHeaderTimeout: readyTimeout}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(exitNotRun)
}

// ServeHTTP implements http.Handler.
func (p *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(standin.HeaderAttempt)
	_, _ = io.Copy(io.Discard, r.Body)
	target := r.Header.Get(standin.HeaderReplica)
	handle, frees := strings.CutPrefix(r.URL.Path, handlePath)
	if attempt != "" {
		w.Header().Set(standin.HeaderAttempt, attempt)
	}
	switch {
	case frees && r.Method == http.MethodDelete:
		if !p.take(handle) {
			w.WriteHeader(http.StatusNotFound)
		}
	case target != "" && target != p.id:
		w.Header().Set(headerInstance, p.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.Method == http.MethodGet && r.URL.Path == standin.HealthPath:
		w.Header().Set(headerInstance, p.id)
	case p.stage != "" && r.Method == http.MethodGet && r.URL.Path == "/api/report":
		p.report(w)
	case attempt == "":
		refuse(w, http.StatusBadRequest)
	case p.stage == "prefill":
		p.prefill(w)
	case p.stage == "decode":
		p.decode(w, r, attempt)
	default:
		p.serve(w, r, attempt)
	}
}

// refuse answers that the request has not run.
func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(headerNotRun, "1")
	w.WriteHeader(status)
}

func (p *replica) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"stage": p.stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"sequence": 0, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 76160, "kvHandles": 0, "runs": []any{}, "state": "ready", "born": p.born})
}

// take removes a handle and reports whether it was held.
func (p *replica) take(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.handles[handle]
	delete(p.handles, handle)
	return held
}

// prefill reads a prompt.
func (p *replica) prefill(w http.ResponseWriter) {
	p.mu.Lock()
	p.next++
	handle := fmt.Sprintf("%x%04x", p.born, p.next)
	p.handles[handle] = true
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"kvHandle": handle, "tokens": 5000, "version": 1})
}

// fetch takes the memory of a prompt from the engine that has read it.
func fetch(source string) bool {
	addr, handle, _ := strings.Cut(source, "/")
	r, err := http.NewRequest(http.MethodDelete, "http://"+addr+handlePath+handle, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// decode writes a stream. Each event names the software that has made it.
func (p *replica) decode(w http.ResponseWriter, r *http.Request, attempt string) {
	if source := r.Header.Get(headerSource); source != "" && !fetch(source) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	first, _ := strconv.Atoi(r.Header.Get(headerLastID))
	w.Header().Set(standin.HeaderSignature, "by "+p.id)
	w.Header().Set("Content-Type", "text/event-stream")
	if first > 0 && p.emptyEach > 0 && p.resumed.Add(1)%p.emptyEach == 0 {
		_ = http.NewResponseController(w).Flush()
		return
	}
	for n := first + 1; n <= p.events; n++ {
		select {
		case <-time.After(p.gap):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", n, p.version, p.id, attempt)
		if http.NewResponseController(w).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// halves returns the two halves of the answer of a plain service.
func halves(attempt string) (string, string) {
	return "first half for " + attempt + "\n", "second half for " + attempt + "\n"
}

// serve answers as a plain service.
func (p *replica) serve(w http.ResponseWriter, r *http.Request, attempt string) {
	first, second := halves(attempt)
	if p.unframed {
		p.serveUnframed(w, attempt, first, second)
		if p.stopsAt != "" && r.URL.Path == p.stopsAt {
			_ = syscall.Kill(os.Getpid(), syscall.SIGSTOP)
		}
		return
	}
	w.Header().Set(standin.HeaderSignature, "by "+p.id)
	_, _ = io.WriteString(w, first)
	_ = http.NewResponseController(w).Flush()
	time.Sleep(p.gap)
	_, _ = io.WriteString(w, second)
}

// serveUnframed answers with neither a length nor chunks. The answer ends with its connection, in an orderly way.
func (p *replica) serveUnframed(w http.ResponseWriter, attempt, first, second string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: by %s\r\nConnection: close\r\n\r\n%s", standin.HeaderAttempt, attempt, standin.HeaderSignature, p.id, first)
	time.Sleep(p.gap)
	_, _ = io.WriteString(conn, second)
	conn.Close()
}

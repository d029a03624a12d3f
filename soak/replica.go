package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// replicaArgument is the first argument of a process that serves as a replica. The second is its replicaConfig as JSON.
	replicaArgument = "replica"
	// listenTimeout is how long a replica tries to listen at the address of the one before it.
	listenTimeout = 3 * time.Second
	// copyShare is one in how many answers comes twice where that happens.
	copyShare  = 6
	reportPath = "/api/report"
	handlePath = "/api/kv-handle/"
	// controlPrefix begins the paths of calls that concern the replica.
	controlPrefix = "/api/"
	// resetSignal has a replica reset its connections.
	resetSignal = syscall.SIGUSR1
	// modelName and weightVersion are those of all model replicas, kvTokens is the memory of each, and runPriority the rank of its runs.
	modelName     = "m"
	weightVersion = 1
	kvTokens      = 76160
	runPriority   = 5
	// reportInterval is how long a report is given out.
	reportInterval = 500 * time.Millisecond
	// promptTokens is the number of prompt tokens of each request.
	promptTokens = 50
	jsonType     = "Content-Type: application/json\r\n"
	notExecuted  = "Not-Executed: 1\r\n"
	// otherService is the body of an answer to a request of another service.
	otherService = "id: 1\ndata: other-service v0 1 xxxxxxxx\n\n"
	// breakShare is one in how many answers breaks off where that happens, and maxBreakBytes the highest number of bytes before that.
	breakShare    = 25
	maxBreakBytes = 8_000
)

// replicaConfig configures the process of a replica.
type replicaConfig struct {
	ID, Stage, Version, Address string
	Seed                        uint64
	// Born is the Unix millisecond of the start.
	Born int64
	// Odd holds how some answers disregard the protocol.
	Odd []oddity
	// Copies has some answers come twice, Breaks some break off, and Unframed some end with their connection.
	Copies, Breaks, Unframed bool
	// Prefixes holds the path prefixes of the service.
	Prefixes []string
}

// ServeReplica serves as a replica and does not return if the arguments of the process ask for it. Each program that calls Run calls it
// first.
func ServeReplica() {
	if len(os.Args) != 3 || os.Args[1] != replicaArgument {
		return
	}
	var cfg replicaConfig
	err := json.Unmarshal([]byte(os.Args[2]), &cfg)
	if err == nil {
		err = cfg.serve()
	}
	fmt.Fprintln(os.Stderr, "replica:", err)
	os.Exit(1)
}

// replicaServer is the process of a replica.
type replicaServer struct {
	replicaConfig
	mu sync.Mutex
	// runs holds the streams under way by their numbers, and conns the open connections.
	runs  map[int]*modelRun
	conns map[net.Conn]bool
	// started is the number of runs that were started.
	started int
	// latest is the report that is given out.
	latest string
}

// modelRun is a stream under way.
type modelRun struct {
	id     string
	events atomic.Int64
}

func newReplicaServer(c replicaConfig) *replicaServer {
	s := &replicaServer{replicaConfig: c, runs: map[int]*modelRun{}, conns: map[net.Conn]bool{}}
	s.latest = s.report()
	return s
}

func (c replicaConfig) serve() error {
	listener, err := net.Listen("tcp", c.Address)
	for deadline := time.Now().Add(listenTimeout); err != nil && time.Now().Before(deadline); listener, err = net.Listen("tcp", c.Address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		return err
	}
	s := newReplicaServer(c)
	go s.resetOnSignal()
	go s.renewReport()
	for n := 0; ; n++ {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serveConn(conn, newRand(c.Seed, fmt.Sprint(c.ID, c.Version, c.Born, n)))
	}
}

// resetOnSignal resets all connections at each resetSignal.
func (s *replicaServer) resetOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, resetSignal)
	for range signals {
		s.mu.Lock()
		for conn := range s.conns {
			reset(conn.(*net.TCPConn))
		}
		s.mu.Unlock()
	}
}

// track adds a connection to the open ones. The returned function removes it.
func (s *replicaServer) track(conn net.Conn) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}
}

// startRun adds a stream to those under way. The returned function removes it.
func (s *replicaServer) startRun(id string) (*modelRun, func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	n, run := s.started, &modelRun{id: id}
	s.runs[n] = run
	return run, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.runs, n)
	}
}

// renewReport renews the report from time to time: what replicas say of themselves is some hundred ms old.
func (s *replicaServer) renewReport() {
	for {
		s.mu.Lock()
		s.latest = s.report()
		s.mu.Unlock()
		time.Sleep(reportInterval)
	}
}

// report returns what the replica says of itself.
func (s *replicaServer) report() string {
	runs := [][]any{}
	var used int64
	for _, r := range s.runs {
		events := r.events.Load()
		runs = append(runs, []any{r.id, promptTokens + events, events, runPriority})
		used += promptTokens + events
	}
	fields := map[string]any{"born": s.Born, "sequence": 0, "busy": false, "queued": 0, "active": len(runs), "state": "ready", "kvUsed": used,
		"kvTotal": kvTokens, "kvHandles": 0, "next": 0, "pinned": 0, "held": 0, "runs": runs}
	if s.Stage != "" {
		fields["stage"] = s.Stage
		fields["models"] = []any{map[string]any{"name": modelName, "version": weightVersion, "adapters": []string{}}}
	}
	data, _ := json.Marshal(fields)
	return string(data)
}

func (s *replicaServer) latestReport() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

// serveConn answers the requests on a connection, one after the other.
func (s *replicaServer) serveConn(conn net.Conn, rng *rand.Rand) {
	defer conn.Close()
	defer s.track(conn)()
	reader := bufio.NewReader(conn)
	var last bytes.Buffer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !s.copyAnswer(conn, last.Bytes(), rng) {
			return
		}
		last.Reset()
		if !s.answer(io.MultiWriter(s.breakable(conn, rng), &last), r, string(body), rng) || !s.copyAnswer(conn, last.Bytes(), rng) {
			return
		}
	}
}

// breakable returns a writer of one answer, which breaks off where that is to happen.
func (c replicaConfig) breakable(conn net.Conn, rng *rand.Rand) io.Writer {
	if !c.Breaks || rng.IntN(breakShare) > 0 {
		return conn
	}
	return &breakingWriter{conn: conn, remaining: rng.IntN(maxBreakBytes), orderly: rng.IntN(2) == 0}
}

// breakingWriter writes to a connection until no bytes are left, and ends it then.
type breakingWriter struct {
	conn      net.Conn
	remaining int
	orderly   bool
	// unframed is whether an orderly end would complete the answer.
	unframed bool
}

var errBroken = errors.New("the answer is to break off here")

// Write implements io.Writer.
func (w *breakingWriter) Write(data []byte) (int, error) {
	if bytes.Contains(data, []byte(closeField)) {
		w.unframed = true
	}
	if len(data) <= w.remaining {
		w.remaining -= len(data)
		return w.conn.Write(data)
	}
	_, _ = w.conn.Write(data[:w.remaining])
	if w.unframed || !w.orderly {
		reset(w.conn.(*net.TCPConn))
	}
	return 0, errBroken
}

// copyAnswer sends an answer again, if it is to come twice, and reports whether the connection can be used again.
func (c replicaConfig) copyAnswer(conn net.Conn, answer []byte, rng *rand.Rand) bool {
	if !c.Copies || rng.IntN(copyShare) > 0 {
		return true
	}
	_, err := conn.Write(answer)
	return err == nil
}

// answer answers a request and reports whether the connection can be used again.
func (s *replicaServer) answer(w io.Writer, r *http.Request, body string, rng *rand.Rand) bool {
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s", status, http.StatusText(status), standin.HeaderAttempt, r.Header.Get(standin.HeaderAttempt), fields)
	}
	send := func(status int, fields, body string) bool {
		_, err := io.WriteString(w, head(status, fields)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		return err == nil
	}
	signature := standin.HeaderSignature + ": by " + s.ID + "\r\n"
	if target := r.Header.Get(standin.HeaderReplica); target != "" && target != s.ID {
		return send(http.StatusMisdirectedRequest, notExecuted+"Instance-Id: "+s.ID+"\r\n", "")
	}
	switch {
	case r.URL.Path == reportPath:
		return send(http.StatusOK, jsonType, s.latestReport())
	case r.URL.Path == standin.HealthPath, strings.HasPrefix(r.URL.Path, handlePath):
		return send(http.StatusOK, "Instance-Id: "+s.ID+"\r\n", "")
	}
	prefill := r.Header.Get(standin.HeaderStage) == "prefill"
	if s.Stage != "" && prefill != (s.Stage == "prefill") {
		return send(http.StatusMisdirectedRequest, notExecuted, "")
	}
	isOfPath := func(prefix string) bool { return strings.HasPrefix(r.URL.Path, prefix) }
	if !isOfPath(controlPrefix) && !slices.ContainsFunc(s.Prefixes, isOfPath) {
		return send(http.StatusOK, signature, otherService)
	}
	if name, size, err := parsePlainPath(r.URL.Path); err == nil && body == "" {
		answer := newPlainAnswer(s.replicaConfig, name, size, rng)
		if _, err := io.WriteString(w, head(http.StatusOK, signature+answer.framingFields())+"\r\n"); err != nil {
			return false
		}
		return answer.write(w, &atomic.Int64{}) == nil && answer.framing != untilClose
	}
	wanted, err := parsePrompt(body)
	if err != nil {
		return send(http.StatusBadRequest, notExecuted, err.Error())
	}
	if prefill {
		data, err := json.Marshal(standin.PrefillAnswer(wanted.Name, promptTokens))
		if err != nil {
			return false
		}
		return send(http.StatusOK, jsonType, string(data))
	}
	if source := r.Header.Get(standin.HeaderSource); source != "" {
		_, wanted.Name, _ = strings.Cut(source, "/")
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run, end := s.startRun(r.Header.Get(standin.HeaderAttempt))
	defer end()
	answer := newStreamAnswer(s.replicaConfig, wanted, last, rng)
	fields := signature + "Content-Type: text/event-stream\r\n" + answer.framingFields()
	if s.Stage != "" {
		fields += fmt.Sprintf("Weight-Versions: %d\r\n", weightVersion)
	}
	if _, err := io.WriteString(w, head(http.StatusOK, fields)+"\r\n"); err != nil {
		return false
	}
	return answer.write(w, &run.events) == nil && answer.framing != untilClose
}

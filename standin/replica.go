package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// endlessBlockBytes is the size of one write of a response that never ends.
const endlessBlockBytes = 64 << 10

// ReplicaConfig configures the role, speed and capacity of a replica.
type ReplicaConfig struct {
	ID string
	// Stage is "prefill" or "decode" for an engine, and empty for a plain service.
	Stage string
	// WorkDuration is the duration of a service call or a prefill, and the time between two stream events.
	WorkDuration time.Duration
	// Events is the number of events in a stream.
	Events int
	// MemoryTokens limits the total tokens, prompt and output, of the requests in flight on a decode
	// engine. 0 means no limit.
	MemoryTokens int
	// NativeProtocol selects the router's own protocol instead of that of the users' platform.
	NativeProtocol bool
}

// Run records one request that a replica ran.
type Run struct {
	Attempt string
	Method  string
	Target  string
	Header  http.Header
	Body    string
	// Prefill is true for a request for the prefill stage only.
	Prefill bool
	// StartedAt is when execution started.
	StartedAt time.Time
	// EndedAt is when execution stopped. It is zero while the request runs.
	EndedAt time.Time
	// Completed reports whether the request was executed and answered to the end.
	Completed bool
}

// Replica is a test double of an upstream: a plain service, a prefill engine or a decode engine.
type Replica struct {
	cfg      ReplicaConfig
	process  Process
	protocol replicaProtocol

	// reading holds one element while a prompt is read: a prefill engine reads one after another.
	reading chan struct{}

	mu         sync.Mutex
	faults     ReplicaFaults
	runs       []*Run
	refused    int
	handles    map[string]bool
	usedTokens int
	handleSeq  int
}

// NewReplica returns an idle replica without faults.
func NewReplica(cfg ReplicaConfig) *Replica {
	wire := platformProtocol
	if cfg.NativeProtocol {
		wire = nativeProtocol
	}
	return &Replica{cfg: cfg, process: NewProcess(cfg.ID, cfg.Stage), protocol: wire, handles: map[string]bool{}, reading: make(chan struct{}, 1)}
}

// Process returns what the replica says of itself.
func (p *Replica) Process() Process { return p.process }

// SetFaults replaces the current faults.
func (p *Replica) SetFaults(faults ReplicaFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// Runs returns copies of the requests that were run.
func (p *Replica) Runs() []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var runs []Run
	for _, run := range p.runs {
		runs = append(runs, *run)
	}
	return runs
}

// RefusedCount returns the number of requests that were refused without being run.
func (p *Replica) RefusedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// HeldResults returns the number of prefill results held.
func (p *Replica) HeldResults() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.handles)
}

// TakeResult removes a prefill result, as a decode engine does when it fetches it, and reports whether
// the result was held.
func (p *Replica) TakeResult(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.handles[handle]
	delete(p.handles, handle)
	return held
}

// Handler serves requests. takeResult fetches the prefill result that the source header of a decode
// request names, and reports whether it was available.
func (p *Replica) Handler(takeResult func(source string) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handle, found := strings.CutPrefix(r.URL.Path, p.protocol.resultPath); found && r.Method == http.MethodDelete {
			p.TakeResult(handle)
			return
		}
		p.serve(w, r, takeResult)
	})
}

func (p *Replica) serve(w http.ResponseWriter, r *http.Request, takeResult func(string) bool) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(p.protocol.attempt, r.Header.Get(p.protocol.attempt))
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.RequestLimit != "" {
		w.Header().Set(headerRequestLimit, faults.RequestLimit)
	}
	if faults.Load != "" {
		w.Header().Set("Instance-Load", faults.Load)
	}
	if faults.Leaving != "" {
		w.Header().Set(headerLeaving, faults.Leaving)
	}
	if faults.EndlessHead || faults.EndlessEvent {
		p.writeEndlessly(w, r.Header.Get(p.protocol.attempt), faults)
		return
	}
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if isReport(r) && !p.cfg.NativeProtocol {
		p.process.writeReport(w)
		return
	}
	if target := r.Header.Get(p.protocol.replica); target != "" && target != p.cfg.ID {
		p.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if faults.Refuse {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if isHealthCheck(r) && !p.cfg.NativeProtocol {
		p.process.answerHealthCheck(w, faults.Fail)
		return
	}
	size := totalTokens(r.Header.Get(p.protocol.tokens))
	if p.cfg.Stage == "decode" && !p.reserve(size) {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if p.cfg.Stage == "decode" {
		defer p.reserve(-size)
	}
	if source := r.Header.Get(p.protocol.source); source != "" && !takeResult(source) {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	run := p.recordRun(r, string(body))
	complete := p.execute(w, r, run, faults)
	p.mu.Lock()
	run.EndedAt, run.Completed = time.Now(), complete
	p.mu.Unlock()
	if !complete {
		panic(http.ErrAbortHandler)
	}
}

// writeEndlessly writes bytes that never form a complete response to an attempt until the connection is closed.
func (p *Replica) writeEndlessly(w http.ResponseWriter, attempt string, faults ReplicaFaults) {
	start := "HTTP/1.1 200 OK\r\nEndless: "
	if faults.EndlessEvent {
		start = "HTTP/1.1 200 OK\r\n" + p.protocol.attempt + ": " + attempt + "\r\n" + HeaderSignature + ": by nobody\r\nContent-Type: text/event-stream\r\n\r\nid: 1\r\ndata: "
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	block := bytes.Repeat([]byte("x"), endlessBlockBytes)
	for _, err = io.WriteString(conn, start); err == nil; {
		_, err = conn.Write(block)
	}
}

// totalTokens returns the sum of the prompt and output tokens in a header of the form
// "prompt,output". Malformed numbers count as 0.
func totalTokens(usage string) int {
	prompt, output, _ := strings.Cut(usage, ",")
	a, _ := strconv.Atoi(prompt)
	b, _ := strconv.Atoi(output)
	return a + b
}

func (p *Replica) refuse(w http.ResponseWriter, status int) {
	p.mu.Lock()
	p.refused++
	p.mu.Unlock()
	if status != http.StatusMisdirectedRequest {
		w.Header().Set(p.protocol.notRun, "1")
	}
	w.WriteHeader(status)
}

func (p *Replica) reserve(tokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.MemoryTokens > 0 && tokens > 0 && p.usedTokens+tokens > p.cfg.MemoryTokens {
		return false
	}
	p.usedTokens += tokens
	return true
}

func (p *Replica) recordRun(r *http.Request, body string) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := &Run{Attempt: r.Header.Get(p.protocol.attempt), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body, StartedAt: time.Now(),
		Prefill: r.Header.Get(p.protocol.stage) == p.protocol.prefill}
	p.runs = append(p.runs, run)
	return run
}

// execute runs a request and reports whether its answer was written completely.
func (p *Replica) execute(w http.ResponseWriter, r *http.Request, run *Run, faults ReplicaFaults) bool {
	if p.cfg.Stage == "decode" {
		return p.stream(w, r, faults)
	}
	if run.Prefill {
		p.reading <- struct{}{}
	}
	if faults.EndOnTarget != "" && r.URL.Path == faults.EndOnTarget {
		time.Sleep(p.cfg.WorkDuration / 2)
		go faults.End()
		<-r.Context().Done()
		return false
	}
	worked := sleepWhileConnected(r, p.cfg.WorkDuration)
	if run.Prefill {
		<-p.reading
	}
	if !worked || faults.LoseAnswer {
		return false
	}
	if run.Prefill {
		p.mu.Lock()
		p.handleSeq++
		handle := fmt.Sprintf("%s-%d", p.cfg.ID, p.handleSeq)
		p.handles[handle] = true
		p.mu.Unlock()
		writeJSON(w, p.protocol.prefillAnswer(handle, totalTokens(r.Header.Get(p.protocol.tokens))))
		return true
	}
	w.Header().Set(HeaderSignature, "by "+p.cfg.ID)
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	return writeServiceAnswer(w, run.Attempt, faults)
}

// writeServiceAnswer writes the answer of a plain service and reports whether it is whole.
func writeServiceAnswer(w http.ResponseWriter, attempt string, faults ReplicaFaults) bool {
	answer := ServiceAnswer(attempt)
	if faults.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if faults.CutAnswer {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		return false
	}
	_, _ = io.WriteString(w, answer)
	return true
}

// ServiceAnswer returns the body of a plain service's answer to an attempt.
func ServiceAnswer(attempt string) string { return "answer to " + attempt }

// StreamFailure is the body of the 500 response of a decode engine with the Fail or FailResumed fault.
const StreamFailure = "the engine failed"

// StreamEvent returns the server-sent event with number n of the stream for an attempt.
func StreamEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}

func (p *Replica) stream(w http.ResponseWriter, r *http.Request, faults ReplicaFaults) bool {
	w.Header().Set(HeaderSignature, "by "+p.cfg.ID)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if faults.Fail || faults.FailResumed && first > 0 {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, StreamFailure)
		return true
	}
	w.Header().Set("Content-Type", "text/event-stream")
	if faults.Unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	}
	flusher := http.NewResponseController(w)
	for n := first + 1; n <= p.cfg.Events; n++ {
		if !sleepWhileConnected(r, p.cfg.WorkDuration) {
			return false
		}
		event := StreamEvent(r.Header.Get(p.protocol.attempt), n)
		if faults.CutAfter > 0 && n > faults.CutAfter {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = flusher.Flush()
			return false
		}
		_, _ = io.WriteString(w, event)
		if flusher.Flush() != nil {
			return false
		}
		if faults.endsReplica(r.Header) {
			go faults.End()
			<-r.Context().Done()
			return false
		}
	}
	return true
}

// sleepWhileConnected waits for d and returns true, or returns false as soon as the client disconnects.
func sleepWhileConnected(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

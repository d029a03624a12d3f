package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReplicaConfig says what a replica is.
type ReplicaConfig struct {
	ID string
	// Stage is prefill or decode for an engine, and empty for a plain service.
	Stage string
	// Work is the time of a plain call, of a prefill, or between two events.
	Work time.Duration
	// Events is how many events a stream has.
	Events int
	// MemoryTokens bounds the prompts and answers that a decode engine holds. 0 means no bound.
	MemoryTokens int
	// Own says that it speaks this project's own format, not that of the users' platform.
	Own bool
}

// ReplicaFaults says how a replica misbehaves.
type ReplicaFaults struct {
	// Refuse answers that requests were not run, and Fail answers 500 after running them.
	Refuse bool
	Fail   bool
	// LoseAnswer runs a request and closes the connection.
	LoseAnswer bool
	// CutAfter cuts a stream after so many events. 0 means never.
	CutAfter int
	// Silent runs nothing and does not answer.
	Silent bool
}

// Run is one request that a replica ran.
type Run struct {
	Attempt string
	Method  string
	Target  string
	Header  http.Header
	Body    string
	// Prefill says that the prompt only was read.
	Prefill bool
	// Ended is when the work on it stopped, and Whole whether it came to its end.
	Ended time.Time
	Whole bool
}

// Replica takes the place of an upstream of the users' platform.
type Replica struct {
	cfg  ReplicaConfig
	wire replicaWire

	mu      sync.Mutex
	faults  ReplicaFaults
	runs    []*Run
	refused int
	handles map[string]bool
	used    int
	next    int
}

// NewReplica returns a replica.
func NewReplica(cfg ReplicaConfig) *Replica {
	wire := platformWire
	if cfg.Own {
		wire = ownWire
	}
	return &Replica{cfg: cfg, wire: wire, handles: map[string]bool{}}
}

// SetFaults changes the faults in force.
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

// Refused returns how many requests were not run.
func (p *Replica) Refused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refused
}

// Handles returns how many prefill results are held.
func (p *Replica) Handles() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.handles)
}

// Take takes a prefill result, as a decode engine does.
func (p *Replica) Take(handle string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.handles[handle]
	delete(p.handles, handle)
	return held
}

// Handler serves requests. take fetches a prefill result by its address and handle.
func (p *Replica) Handler(take func(source string) bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if handle, found := strings.CutPrefix(r.URL.Path, p.wire.resultPath); found && r.Method == http.MethodDelete {
			p.Take(handle)
			return
		}
		p.serve(w, r, take)
	})
}

func (p *Replica) serve(w http.ResponseWriter, r *http.Request, take func(string) bool) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(p.wire.attempt, r.Header.Get(p.wire.attempt))
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if faults.Silent {
		<-r.Context().Done()
		return
	}
	if target := r.Header.Get(p.wire.replica); target != "" && target != p.cfg.ID {
		p.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if faults.Refuse {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	size := tokensOf(r.Header.Get(p.wire.tokens))
	if p.cfg.Stage == "decode" && !p.reserve(size) {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	if p.cfg.Stage == "decode" {
		defer p.reserve(-size)
	}
	if source := r.Header.Get(p.wire.source); source != "" && !take(source) {
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	run := p.begin(r, string(body))
	whole := p.work(w, r, run, faults)
	p.mu.Lock()
	run.Ended, run.Whole = time.Now(), whole
	p.mu.Unlock()
	if !whole {
		panic(http.ErrAbortHandler)
	}
}

// tokensOf returns the sum of the two numbers of a request's size.
func tokensOf(usage string) int {
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
		w.Header().Set(p.wire.notRun, "1")
	}
	w.WriteHeader(status)
}

func (p *Replica) reserve(tokens int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cfg.MemoryTokens > 0 && tokens > 0 && p.used+tokens > p.cfg.MemoryTokens {
		return false
	}
	p.used += tokens
	return true
}

func (p *Replica) begin(r *http.Request, body string) *Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := &Run{Attempt: r.Header.Get(p.wire.attempt), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body,
		Prefill: r.Header.Get(p.wire.stage) == p.wire.prefill}
	p.runs = append(p.runs, run)
	return run
}

// work carries a request out and reports whether its answer is whole.
func (p *Replica) work(w http.ResponseWriter, r *http.Request, run *Run, faults ReplicaFaults) bool {
	if p.cfg.Stage == "decode" {
		return p.stream(w, r, faults)
	}
	if !wait(r, p.cfg.Work) || faults.LoseAnswer {
		return false
	}
	if run.Prefill {
		p.mu.Lock()
		p.next++
		handle := fmt.Sprintf("%s-%d", p.cfg.ID, p.next)
		p.handles[handle] = true
		p.mu.Unlock()
		writeJSON(w, p.wire.prefillAnswer(handle, tokensOf(r.Header.Get(p.wire.tokens))))
		return true
	}
	w.Header().Set(HeaderReceipt, "by "+p.cfg.ID)
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = io.WriteString(w, ServiceAnswer(run.Attempt))
	return true
}

// ServiceAnswer is the body of a plain service's answer to an attempt.
func ServiceAnswer(attempt string) string { return "answer to " + attempt }

// StreamFailure is the body of an engine's own failure.
const StreamFailure = "the engine failed"

// StreamEvent is one event of the stream for an attempt.
func StreamEvent(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, attempt, n)
}

func (p *Replica) stream(w http.ResponseWriter, r *http.Request, faults ReplicaFaults) bool {
	w.Header().Set(HeaderReceipt, "by "+p.cfg.ID)
	if faults.Fail {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, StreamFailure)
		return true
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := first + 1; n <= p.cfg.Events; n++ {
		if !wait(r, p.cfg.Work) {
			return false
		}
		event := StreamEvent(r.Header.Get(p.wire.attempt), n)
		if faults.CutAfter > 0 && n > faults.CutAfter {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = flusher.Flush()
			return false
		}
		_, _ = io.WriteString(w, event)
		if flusher.Flush() != nil {
			return false
		}
	}
	return true
}

// wait reports whether the caller stayed for a time.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

package site

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// EngineConfig describes a model server.
type EngineConfig struct {
	ID string
	// Stage is "prefill" or "decode".
	Stage string
	// MemoryTokens bounds the prompt and output tokens of the requests that a decode engine runs. It rejects any further
	// ones, as the project's own stand-in does.
	MemoryTokens int
	// TokensPerSecond is the rate at which a prefill engine reads prompts, one after the other.
	TokensPerSecond float64
	// EventGap is the time between two events of a stream.
	EventGap time.Duration
	// DoubledShare is the share of its answers that the engine sends twice, the second time before the next answer on the
	// same channel. They are refusals.
	DoubledShare float64
}

// Run is a request that an engine ran.
type Run struct {
	Attempt string
	Engine  string
	// At is when the request arrived.
	At time.Time
}

// Engines are the model servers of a site and what they have run. It is safe for concurrent use.
type Engines struct {
	site *Site

	mu      sync.Mutex
	handles map[string]bool
	nextID  int
	runs    map[string][]Run
	answers int
	refused int
	doubled int
}

// NewEngines returns an empty set of engines.
func (s *Site) NewEngines() *Engines {
	return &Engines{site: s, handles: map[string]bool{}, runs: map[string][]Run{}}
}

// Runs returns the runs of each attempt.
func (e *Engines) Runs() map[string][]Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string][]Run, len(e.runs))
	for attempt, list := range e.runs {
		runs[attempt] = append([]Run(nil), list...)
	}
	return runs
}

// Counts returns the answers of all engines, the refusals among them, and the answers that were sent twice.
func (e *Engines) Counts() (answers, refused, doubled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.answers, e.refused, e.doubled
}

// Engine is one model server.
type Engine struct {
	EngineConfig
	*Server
	all *Engines

	reading sync.Mutex
	mu      sync.Mutex
	// used is the number of tokens of the requests that run.
	used    int
	answers int
	doubled int
	state   map[string]any
}

// Add starts an engine and writes its entry to the store.
func (e *Engines) Add(cfg EngineConfig) (*Engine, error) {
	engine := &Engine{EngineConfig: cfg, all: e}
	server, err := Listen(engine.serve)
	if err != nil {
		return nil, err
	}
	engine.Server = server
	e.site.closers = append(e.site.closers, server.Close)
	engine.state = map[string]any{"service": EngineService, "address": server.Addr, "zone": zone, "version": "v1", "slots": engineSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "stage": cfg.Stage}
	e.site.Store.PutReplica(cfg.ID, engine.state)
	return engine, nil
}

// Drain reports that the engine is leaving, and returns the time at which the store has accepted that.
func (e *Engine) Drain() time.Time {
	e.state["state"] = "draining"
	e.state["sequence"] = e.state["sequence"].(int) + 1
	e.all.site.Store.PutReplica(e.ID, e.state)
	ackedAt := time.Now()
	e.all.site.Record.Printf("the store has accepted that %s is draining", e.ID)
	return ackedAt
}

// Leave removes the entry of the engine and ends it.
func (e *Engine) Leave() {
	e.all.site.Store.PutReplica(e.ID, nil)
	e.Close()
	e.all.site.Record.Printf("%s has ended", e.ID)
}

func (e *Engine) serve(channel *ServerChannel, req *http.Request) {
	arrivedAt := time.Now()
	target := req.Header.Get("Target-Instance")
	prefill := req.Header.Get("Inference-Stage") == "prefill"
	switch {
	case req.Method == http.MethodDelete:
		_ = channel.Answer(req, http.StatusOK, nil, "")
		return
	case target != "" && target != e.ID, prefill != (e.Stage == "prefill"):
		e.refuse(channel, req, http.StatusMisdirectedRequest)
	case prefill:
		e.read(channel, req)
	default:
		e.run(channel, req, arrivedAt)
	}
	e.mu.Lock()
	e.answers++
	e.mu.Unlock()
	e.all.mu.Lock()
	e.all.answers++
	e.all.mu.Unlock()
}

// refuse answers that the request is not run. If DoubledShare allows it, a copy of the answer follows late.
func (e *Engine) refuse(channel *ServerChannel, req *http.Request, status int) {
	e.mu.Lock()
	double := float64(e.doubled+1) <= e.DoubledShare*float64(e.answers)
	if double {
		e.doubled++
	}
	e.mu.Unlock()
	e.all.countRefusal(double)
	e.all.site.Record.Printf("%s answers %d to %s and does not run it, twice: %t", e.ID, status, req.Header.Get("Attempt-Id"), double)
	_ = channel.Answer(req, status, map[string]string{"Not-Executed": "1"}, "")
	if double {
		channel.Late = channel.Sent()
	}
}

func (e *Engines) countRefusal(doubled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused++
	if doubled {
		e.doubled++
	}
}

// read reads a prompt and answers with the handle of its memory.
func (e *Engine) read(channel *ServerChannel, req *http.Request) {
	prompt, _ := tokenUsage(req)
	e.reading.Lock()
	time.Sleep(time.Duration(float64(prompt) / e.TokensPerSecond * float64(time.Second)))
	e.reading.Unlock()
	handle := e.all.newHandle(e.Addr)
	e.all.site.Record.Printf("%s has read the prompt of %s", e.ID, req.Header.Get("Attempt-Id"))
	body := fmt.Sprintf(`{"kvHandle":%q,"tokens":%d,"version":1}`, handle, prompt)
	_ = channel.Answer(req, http.StatusOK, map[string]string{"Content-Type": "application/json"}, body)
}

func (e *Engines) newHandle(addr string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nextID++
	handle := fmt.Sprintf("%012x", e.nextID)
	e.handles[addr+"/"+handle] = true
	time.AfterFunc(handleRetention, func() { e.takeHandle(addr + "/" + handle) })
	return handle
}

// takeHandle removes a handle, written as address/handle, and reports whether it was there.
func (e *Engines) takeHandle(source string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := e.handles[source]
	delete(e.handles, source)
	return held
}

// reserve takes memory for a request and reports whether there is enough.
func (e *Engine) reserve(tokens int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.used+tokens > e.MemoryTokens {
		return false
	}
	e.used += tokens
	return true
}

func (e *Engine) release(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.used -= tokens
}

// run runs a request whose prompt was read elsewhere, and streams its events.
func (e *Engine) run(channel *ServerChannel, req *http.Request, arrivedAt time.Time) {
	prompt, output := tokenUsage(req)
	if !e.reserve(prompt + output) {
		e.refuse(channel, req, http.StatusServiceUnavailable)
		return
	}
	defer e.release(prompt + output)
	if source := req.Header.Get("Kv-Source"); source != "" && !e.all.takeHandle(source) {
		e.refuse(channel, req, http.StatusServiceUnavailable)
		return
	}
	attempt := req.Header.Get("Attempt-Id")
	n := e.all.addRun(Run{Attempt: attempt, Engine: e.ID, At: arrivedAt})
	e.all.site.Record.Printf("%s runs %s, run %d of this attempt", e.ID, attempt, n)
	if err := e.stream(channel, req); err != nil {
		e.all.site.Record.Printf("%s drops %s, its channel is closed: %v", e.ID, attempt, err)
	}
}

func (e *Engines) addRun(r Run) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[r.Attempt] = append(e.runs[r.Attempt], r)
	return len(e.runs[r.Attempt])
}

// stream sends one event for each tokensPerEvent output tokens.
func (e *Engine) stream(channel *ServerChannel, req *http.Request) error {
	_, output := tokenUsage(req)
	header := head(req, http.StatusOK, map[string]string{"Response-Signature": "sig." + e.ID, "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"})
	if err := channel.Write([]byte(header + "\r\n")); err != nil {
		return err
	}
	for n := 1; n <= max(1, output/tokensPerEvent); n++ {
		time.Sleep(e.EventGap)
		event := fmt.Sprintf("id: %d\ndata: %s of %s\n\n", n, e.ID, req.Header.Get("Attempt-Id"))
		if err := channel.Write([]byte(fmt.Sprintf("%x\r\n%s\r\n", len(event), event))); err != nil {
			return err
		}
	}
	return channel.Write([]byte("0\r\n\r\n"))
}

// tokenUsage returns the prompt tokens and the longest output of a request, in tokens.
func tokenUsage(req *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(req.Header.Get("Token-Usage"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

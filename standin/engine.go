package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const bytesPerToken = 4

// EngineConfig sizes an engine.
type EngineConfig struct {
	Name string
	// PrefillRate is in prompt tokens a second.
	PrefillRate float64
	// TokenGap is the time between generated tokens.
	TokenGap time.Duration
	// Places is how many requests decode at once; more wait.
	Places int
	// Retain is how long a prefill result is kept.
	Retain time.Duration
	// LinkRate is in prompt tokens' KV a second.
	LinkRate float64
	// CachePieces is how many pieces of prompts are cached.
	CachePieces int
	// ReportLag is the age of reports.
	ReportLag     time.Duration
	ChecksFencing bool
}

// WithDefaults returns the config with every unset field set.
func (c EngineConfig) WithDefaults() EngineConfig {
	if c.PrefillRate == 0 {
		c.PrefillRate = 50_000
	}
	if c.TokenGap == 0 {
		c.TokenGap = 5 * time.Millisecond
	}
	if c.Places == 0 {
		c.Places = 20
	}
	if c.Retain == 0 {
		c.Retain = 700 * time.Millisecond
	}
	if c.CachePieces == 0 {
		c.CachePieces = 256
	}
	if c.LinkRate == 0 {
		c.LinkRate = 1e6
	}
	return c
}

// Engine takes the place of a prefill or decode engine. It holds memory for an attempt until the
// attempt has been delivered, evicted or canceled, whatever becomes of its connection.
type Engine struct {
	faulty
	cfg      EngineConfig
	mu       sync.Mutex
	attempts map[string]*attempt
	compute  sync.Mutex
	places   chan struct{}
	report   reportBody
	reported time.Time
	seen     []string
	decoded  int
	prefills int
	tokensIn int
	wasted   int
	orders   map[string]string
	fence    uint64
	cache    prefixCache
}

type attempt struct {
	id       string
	tokens   int
	prefill  bool
	evicted  bool
	exported bool
	out      []string
	finish   string
	total    int
	canceled chan struct{}
	once     sync.Once
}

func (a *attempt) cancel() { a.once.Do(func() { close(a.canceled) }) }

// NewEngine returns an idle engine.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.WithDefaults()
	return &Engine{cfg: cfg, cache: newPrefixCache(cfg.CachePieces), attempts: map[string]*attempt{}, places: make(chan struct{}, cfg.Places), orders: map[string]string{}}
}

// Handler serves the engine protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /prefill", e.wrap(e.handlePrefill))
	mux.HandleFunc("GET /kv", e.wrap(e.handleExport))
	mux.HandleFunc("POST /decode", e.wrap(e.handleDecode))
	mux.HandleFunc("GET /stream", e.wrap(e.handleResume))
	mux.HandleFunc("POST /cancel", e.wrap(e.handleCancel))
	mux.HandleFunc("GET /report", e.wrap(e.handleReport))
	mux.HandleFunc("POST /orders", e.wrap(e.handleOrder))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /faults", e.handleFaults)
	return mux
}

func (e *Engine) add(id string, tokens int, prefill bool, r *http.Request) *attempt {
	a := &attempt{id: id, tokens: tokens, prefill: prefill, canceled: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[id] = a
	e.seen = append(e.seen, fmt.Sprint(r.Header))
	return a
}

func (e *Engine) remove(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}

// sleep waits, and reports whether the attempt is still wanted.
func (a *attempt) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.canceled:
		return false
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var body struct{ Attempt string }
	if !readJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	a := e.attempts[body.Attempt]
	e.mu.Unlock()
	if a != nil {
		a.cancel()
		if a.prefill {
			e.discardPrefill(a)
		}
		e.remove(a)
	}
	writeJSON(w, map[string]bool{"Held": a != nil})
}

package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const bytesPerToken = 4

// EngineConfig configures the simulated speed and capacity of an engine.
type EngineConfig struct {
	Name string
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64
	// TokenGap is the time between generated tokens.
	TokenGap time.Duration
	// DecodeSlots is the number of decode slots. Requests beyond it wait for a free slot.
	DecodeSlots int
	// Retention is how long a prefill result is kept before it is evicted.
	Retention time.Duration
	// LinkRate is the throughput of KV transfers in prompt tokens per second.
	LinkRate float64
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ReportLag is the maximum age of a report. A newer report is built only once the last one is this old.
	ReportLag time.Duration
	// ChecksFencing makes the engine reject orders with a stale fencing token.
	ChecksFencing bool
}

// WithDefaults returns a copy of c in which zero rates, times and capacities have default values.
func (c EngineConfig) WithDefaults() EngineConfig {
	if c.PrefillRate == 0 {
		c.PrefillRate = 50_000
	}
	if c.TokenGap == 0 {
		c.TokenGap = 5 * time.Millisecond
	}
	if c.DecodeSlots == 0 {
		c.DecodeSlots = 20
	}
	if c.Retention == 0 {
		c.Retention = 700 * time.Millisecond
	}
	if c.CacheBlocks == 0 {
		c.CacheBlocks = 256
	}
	if c.LinkRate == 0 {
		c.LinkRate = 1e6
	}
	return c
}

// Engine is a test double of a prefill or decode engine. It holds memory for an attempt until the
// attempt has been delivered, evicted or canceled, even if its connection is closed before.
type Engine struct {
	faultInjector
	cfg             EngineConfig
	mu              sync.Mutex
	attempts        map[string]*attempt
	prefillMu       sync.Mutex
	decodeSlots     chan struct{}
	report          reportBody
	reportedAt      time.Time
	requestHeaders  []string
	finishedDecodes int
	prefills        int
	prefillTokens   int
	wastedTokens    int
	orders          map[string]string
	fence           uint64
	cache           prefixCache
}

type attempt struct {
	id           string
	tokens       int
	prefill      bool
	discarded    bool
	exported     bool
	output       []string
	finishReason string
	outputLength int
	canceled     chan struct{}
	cancelOnce   sync.Once
}

func (a *attempt) cancel() { a.cancelOnce.Do(func() { close(a.canceled) }) }

// NewEngine returns an idle engine. Zero fields of cfg get default values.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.WithDefaults()
	return &Engine{cfg: cfg, cache: newPrefixCache(cfg.CacheBlocks), attempts: map[string]*attempt{}, decodeSlots: make(chan struct{}, cfg.DecodeSlots), orders: map[string]string{}}
}

// Handler serves the engine protocol, and the endpoints that tests use for statistics and faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /prefill", e.withFaults(e.handlePrefill))
	mux.HandleFunc("GET /kv", e.withFaults(e.handleExport))
	mux.HandleFunc("POST /decode", e.withFaults(e.handleDecode))
	mux.HandleFunc("GET /stream", e.withFaults(e.handleResume))
	mux.HandleFunc("POST /cancel", e.withFaults(e.handleCancel))
	mux.HandleFunc("GET /report", e.withFaults(e.handleReport))
	mux.HandleFunc("POST /orders", e.withFaults(e.handleOrder))
	mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Stats()) })
	mux.HandleFunc("POST /faults", e.handleFaults)
	return mux
}

func (e *Engine) addAttempt(id string, tokens int, prefill bool, r *http.Request) *attempt {
	a := &attempt{id: id, tokens: tokens, prefill: prefill, canceled: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts[id] = a
	e.requestHeaders = append(e.requestHeaders, fmt.Sprint(r.Header))
	return a
}

func (e *Engine) removeAttempt(a *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.attempts[a.id] == a {
		delete(e.attempts, a.id)
	}
}

// sleep waits for d and returns true, or returns false as soon as the attempt is canceled.
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
		e.removeAttempt(a)
	}
	writeJSON(w, map[string]bool{"Held": a != nil})
}

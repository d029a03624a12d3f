package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
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

// Tokens returns how many tokens a text has.
func Tokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

// Output returns the whole text that the engines generate for a prompt.
func Output(prompt string, limit int) string {
	text := ""
	for i := range OutputLength(prompt, limit) {
		text += TokenText(prompt, i)
	}
	return text
}

// OutputLength returns how many tokens the engines generate for a prompt.
func OutputLength(prompt string, limit int) int {
	if limit <= 1 {
		return 1
	}
	return limit/2 + int(textHash(prompt, -1)%uint64(limit-limit/2)) + 1
}

// TokenText returns the token with an index of the output for a prompt.
func TokenText(prompt string, i int) string { return fmt.Sprintf("w%x ", textHash(prompt, i)%4096) }

func textHash(prompt string, i int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%s", i, prompt)
	return h.Sum64()
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

// EngineStats is what a test can see of an engine from outside.
type EngineStats struct {
	HeldTokens    int
	Attempts      []string
	Seen          []string
	Prefills      int
	PrefillTokens int
	WastedTokens  int
	Decoded       int
}

// Stats returns what the engine holds and has done.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineStats{Seen: append([]string{}, e.seen...), Prefills: e.prefills, PrefillTokens: e.tokensIn, WastedTokens: e.wasted, Decoded: e.decoded}
	for id, a := range e.attempts {
		s.HeldTokens += a.tokens
		s.Attempts = append(s.Attempts, id)
	}
	return s
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

func (e *Engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var body struct{ Attempt, Model, Prompt, Generated string }
	if !readJSON(w, r, &body) {
		return
	}
	tokens := Tokens(body.Prompt) + Tokens(body.Generated)
	a := e.add(body.Attempt, tokens, true, r)
	e.compute.Lock()
	cached := e.cache.take(body.Prompt)
	kept := a.sleep(time.Duration(float64(tokens-cached) / e.cfg.PrefillRate * float64(time.Second)))
	e.compute.Unlock()
	e.mu.Lock()
	e.prefills++
	e.tokensIn += tokens
	e.mu.Unlock()
	if !kept {
		e.discardPrefill(a)
		http.Error(w, "canceled", http.StatusNotFound)
		return
	}
	go e.evict(a)
	writeJSON(w, map[string]any{"Attempt": a.id, "PromptTokens": tokens, "CachedTokens": cached})
}

func (e *Engine) evict(a *attempt) {
	a.sleep(e.cfg.Retain)
	e.discardPrefill(a)
}

// discardPrefill drops a prefill result and counts it as wasted if nobody fetched it.
func (e *Engine) discardPrefill(a *attempt) {
	e.remove(a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !a.exported && !a.evicted {
		a.evicted = true
		e.wasted += a.tokens
	}
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	a := e.attempts[r.FormValue("Attempt")]
	if a != nil {
		a.exported = true
	}
	e.mu.Unlock()
	if a == nil || !a.prefill {
		http.Error(w, "evicted", http.StatusGone)
		return
	}
	time.Sleep(time.Duration(float64(a.tokens) / e.cfg.LinkRate * float64(time.Second)))
	e.remove(a)
	writeJSON(w, map[string]int{"Tokens": a.tokens})
}

type decodeBody struct {
	Attempt, Model, Prompt, Generated string
	FirstIndex, MaxTokens             int
	Source, SourceAttempt             string
}

func (e *Engine) handleDecode(w http.ResponseWriter, r *http.Request) {
	var body decodeBody
	if !readJSON(w, r, &body) {
		return
	}
	a := e.add(body.Attempt, Tokens(body.Prompt)+body.MaxTokens, false, r)
	select {
	case e.places <- struct{}{}:
	case <-a.canceled:
		e.remove(a)
		http.Error(w, "canceled", http.StatusNotFound)
		return
	}
	if !importKV(r.Context(), body) {
		<-e.places
		e.remove(a)
		http.Error(w, "evicted", http.StatusGone)
		return
	}
	a.total = OutputLength(body.Prompt, body.MaxTokens)
	a.out = make([]string, body.FirstIndex, max(a.total, body.FirstIndex))
	go e.generate(a, body.Prompt)
	e.follow(w, r, a, body.FirstIndex)
}

func importKV(ctx context.Context, body decodeBody) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+body.Source+"/kv", http.NoBody)
	if err != nil {
		return false
	}
	q := req.URL.Query()
	q.Set("Attempt", body.SourceAttempt)
	req.URL.RawQuery = q.Encode()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// generate produces tokens whether or not anybody reads them, and then keeps them for the reader.
func (e *Engine) generate(a *attempt, prompt string) {
	defer func() { <-e.places }()
	for {
		e.mu.Lock()
		n := len(a.out)
		if n >= a.total {
			a.finish = "stop"
			e.decoded++
			e.mu.Unlock()
			return
		}
		a.out = append(a.out, TokenText(prompt, n))
		e.mu.Unlock()
		if !a.sleep(e.cfg.TokenGap) {
			e.remove(a)
			return
		}
	}
}

// follow writes the tokens from an index on, and frees the attempt after the last.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	enc, flusher := json.NewEncoder(w), http.NewResponseController(w)
	cut := e.Faults().CutAfter
	for sent := 0; ; {
		e.mu.Lock()
		texts, finish := a.out[min(from, len(a.out)):], a.finish
		e.mu.Unlock()
		for _, text := range texts {
			if cut > 0 && sent >= cut {
				panic(http.ErrAbortHandler)
			}
			if enc.Encode(map[string]any{"Attempt": a.id, "Index": from, "Text": text}) != nil {
				return
			}
			from++
			sent++
		}
		if finish != "" {
			if enc.Encode(map[string]any{"Attempt": a.id, "Finish": finish}) == nil && flusher.Flush() == nil {
				e.remove(a)
			}
			return
		}
		if flusher.Flush() != nil || r.Context().Err() != nil {
			return
		}
		if !a.sleep(e.cfg.TokenGap / 2) {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("From"))
	e.mu.Lock()
	a := e.attempts[r.FormValue("Attempt")]
	e.mu.Unlock()
	if a == nil || a.prefill {
		http.Error(w, "unknown attempt", http.StatusNotFound)
		return
	}
	e.follow(w, r, a, from)
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

type reportBody struct {
	Attempts  []string
	HeldBytes int64
	Cache     cacheLog
	Orders    map[string]string
	Fence     uint64
}

// handleReport answers with a report that is up to ReportLag old.
func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	faults := e.Faults()
	e.mu.Lock()
	if !faults.FreezeReports && time.Since(e.reported) >= e.cfg.ReportLag {
		e.reported = time.Now()
		e.report = reportBody{Orders: e.orders, Fence: e.fence, Cache: e.cache.log(faults.DropCacheEvents)}
		for id, a := range e.attempts {
			e.report.Attempts = append(e.report.Attempts, id)
			e.report.HeldBytes += int64(a.tokens)
		}
	}
	body := e.report
	e.mu.Unlock()
	writeJSON(w, body)
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Fence         uint64
		Action, Value string
	}
	if !readJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && body.Fence < e.fence {
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	orders := map[string]string{body.Action: body.Value}
	for action, value := range e.orders {
		if action != body.Action {
			orders[action] = value
		}
	}
	e.orders, e.fence = orders, max(e.fence, body.Fence)
	writeJSON(w, map[string]uint64{"Fence": e.fence})
}

// Orders returns the orders in force.
func (e *Engine) Orders() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

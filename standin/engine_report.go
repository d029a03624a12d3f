package standin

import (
	"net/http"
	"time"
)

// EngineStats holds the state and counters of an engine that tests check.
type EngineStats struct {
	HeldTokens    int
	Attempts      []string
	Seen          []string
	Prefills      int
	PrefillTokens int
	WastedTokens  int
	Decoded       int
}

// Stats returns a snapshot of the attempts that the engine holds and of its counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := EngineStats{Seen: append([]string{}, e.requestHeaders...), Prefills: e.prefills, PrefillTokens: e.prefillTokens, WastedTokens: e.wastedTokens, Decoded: e.finishedDecodes}
	for id, a := range e.attempts {
		s.HeldTokens += a.tokens
		s.Attempts = append(s.Attempts, id)
	}
	return s
}

type reportBody struct {
	Attempts  []string
	HeldBytes int64
	Cache     cacheLog
	Orders    map[string]string
	Fence     uint64
}

// handleReport answers with a cached report, which is rebuilt once it is ReportLag old.
func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	faults := e.Faults()
	e.mu.Lock()
	if !faults.FreezeReports && time.Since(e.reportedAt) >= e.cfg.ReportLag {
		e.reportedAt = time.Now()
		e.report = reportBody{Orders: e.orders, Fence: e.fence, Cache: e.cache.recentEvents(faults.DropCacheEvents)}
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

// Orders returns the current value of each action that was ordered.
func (e *Engine) Orders() map[string]string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

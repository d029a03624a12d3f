package standin

import (
	"net/http"
	"time"
)

func (e *Engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var body struct{ Attempt, Model, Prompt, Generated string }
	if !readJSON(w, r, &body) {
		return
	}
	tokens := Tokens(body.Prompt) + Tokens(body.Generated)
	a := e.addAttempt(body.Attempt, tokens, true, r)
	e.prefillMu.Lock()
	cached := e.cache.lookupAndAdd(body.Prompt)
	completed := a.sleep(time.Duration(float64(tokens-cached) / e.cfg.PrefillRate * float64(time.Second)))
	e.prefillMu.Unlock()
	e.mu.Lock()
	e.prefills++
	e.prefillTokens += tokens
	e.mu.Unlock()
	if !completed {
		e.discardPrefill(a)
		http.Error(w, "canceled", http.StatusNotFound)
		return
	}
	go e.evictAfterRetention(a)
	writeJSON(w, map[string]any{"Attempt": a.id, "PromptTokens": tokens, "CachedTokens": cached})
}

func (e *Engine) evictAfterRetention(a *attempt) {
	a.sleep(e.cfg.Retention)
	e.discardPrefill(a)
}

// discardPrefill drops a prefill result and counts its tokens as wasted if it was not fetched.
func (e *Engine) discardPrefill(a *attempt) {
	e.removeAttempt(a)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !a.exported && !a.discarded {
		a.discarded = true
		e.wastedTokens += a.tokens
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
	e.removeAttempt(a)
	writeJSON(w, map[string]int{"Tokens": a.tokens})
}

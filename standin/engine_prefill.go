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

package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
)

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

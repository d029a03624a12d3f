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
	a := e.addAttempt(body.Attempt, Tokens(body.Prompt)+body.MaxTokens, false, r)
	select {
	case e.decodeSlots <- struct{}{}:
	case <-a.canceled:
		e.removeAttempt(a)
		http.Error(w, "canceled", http.StatusNotFound)
		return
	}
	if !fetchKV(r.Context(), body) {
		<-e.decodeSlots
		e.removeAttempt(a)
		http.Error(w, "evicted", http.StatusGone)
		return
	}
	a.outputLength = OutputLength(body.Prompt, body.MaxTokens)
	a.output = make([]string, body.FirstIndex, max(a.outputLength, body.FirstIndex))
	go e.generate(a, body.Prompt)
	e.streamTokens(w, r, a, body.FirstIndex)
}

func fetchKV(ctx context.Context, body decodeBody) bool {
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

// generate produces the output at the configured rate, even if no client is connected, and keeps
// it until it has been delivered. It releases the decode slot when it ends.
func (e *Engine) generate(a *attempt, prompt string) {
	defer func() { <-e.decodeSlots }()
	for {
		e.mu.Lock()
		n := len(a.output)
		if n >= a.outputLength {
			a.finishReason = "stop"
			e.finishedDecodes++
			e.mu.Unlock()
			return
		}
		a.output = append(a.output, TokenText(prompt, n))
		e.mu.Unlock()
		if !a.sleep(e.cfg.TokenGap) {
			e.removeAttempt(a)
			return
		}
	}
}

// streamTokens streams the tokens starting at index from, and removes the attempt once the end of the
// stream has been written.
func (e *Engine) streamTokens(w http.ResponseWriter, r *http.Request, a *attempt, from int) {
	enc, flusher := json.NewEncoder(w), http.NewResponseController(w)
	cut := e.Faults().CutAfter
	for sent := 0; ; {
		e.mu.Lock()
		texts, finish := a.output[min(from, len(a.output)):], a.finishReason
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
				e.removeAttempt(a)
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
	e.streamTokens(w, r, a, from)
}

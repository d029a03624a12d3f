package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// bytesPerToken is used to estimate the token count of a prompt, which only the engine knows exactly.
const bytesPerToken = 4

// completionRequest is a parsed text or chat completion request.
type completionRequest struct {
	model     string
	prompt    string
	maxTokens int
	stream    bool
	format    responseFormat
}

func (c completionRequest) promptTokens() int {
	return (len(c.prompt) + bytesPerToken - 1) / bytesPerToken
}

type textRequest struct {
	Model     string  `json:"model"`
	Prompt    *string `json:"prompt"`
	MaxTokens *int    `json:"max_tokens"`
	Stream    bool    `json:"stream"`
}

type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *Server) completeText(w http.ResponseWriter, r *request) *Error {
	var body textRequest
	if err := json.Unmarshal(r.body, &body); err != nil {
		return invalidRequest(err)
	}
	if body.Prompt == nil {
		return invalidRequest(errors.New(`"prompt" must be a string`))
	}
	return s.complete(w, r, completionRequest{model: body.Model, prompt: *body.Prompt, maxTokens: s.outputLimit(body.MaxTokens), stream: body.Stream, format: textFormat})
}

func (s *Server) completeChat(w http.ResponseWriter, r *request) *Error {
	var body chatRequest
	if err := json.Unmarshal(r.body, &body); err != nil {
		return invalidRequest(err)
	}
	if len(body.Messages) == 0 {
		return invalidRequest(errors.New(`"messages" must not be empty`))
	}
	limit := body.MaxCompletionTokens
	if limit == nil {
		limit = body.MaxTokens
	}
	return s.complete(w, r, completionRequest{model: body.Model, prompt: chatPrompt(body.Messages), maxTokens: s.outputLimit(limit), stream: body.Stream, format: chatFormat})
}

// chatPrompt renders chat messages as a single prompt, since engines accept only plain text.
func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "<|%s|>%s\n", m.Role, m.Content)
	}
	return b.String()
}

func (s *Server) outputLimit(requested *int) int {
	if requested == nil {
		return s.cfg.Limits.DefaultOutput
	}
	return *requested
}

func invalidRequest(err error) *Error {
	return &Error{Op: "parse", Kind: "invalid_request", Status: http.StatusBadRequest, Run: NotRun, Err: err}
}

func (s *Server) checkLimits(completion completionRequest) *Error {
	switch {
	case completion.prompt == "":
		return invalidRequest(errors.New("the prompt is empty"))
	case completion.promptTokens() > s.cfg.Limits.PromptTokens:
		return newRefusal("limits", http.StatusBadRequest, "request_too_large", fmt.Sprintf("the prompt is longer than %d tokens", s.cfg.Limits.PromptTokens))
	case completion.maxTokens < 1 || completion.maxTokens > s.cfg.Limits.OutputTokens:
		return invalidRequest(fmt.Errorf("the output limit is outside 1 to %d tokens", s.cfg.Limits.OutputTokens))
	}
	return nil
}

// complete admits a completion request, reserves its tokens and generates the response.
func (s *Server) complete(w http.ResponseWriter, r *request, completion completionRequest) *Error {
	route, ok := s.control.Snapshot().View.ModelRoute(completion.model)
	if !ok {
		return newRefusal("route", http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist", completion.model))
	}
	r.route = route
	release, refusal := s.admit(r)
	if refusal != nil {
		return refusal
	}
	defer release()
	if strings.Contains(completion.prompt, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")) {
		return newRefusal("admit", http.StatusBadRequest, "key_exposed", "the key must not appear in the prompt")
	}
	if refusal := s.checkLimits(completion); refusal != nil {
		return refusal
	}
	reservation, err := s.control.Reserve(r.Context(), r.account.Name, float64(completion.promptTokens()+completion.maxTokens))
	if err != nil {
		return translateControlError("reserve", err)
	}
	writer := newCompletionWriter(w, completion, s.nextID("cmpl"), s.control.Now())
	g := s.newGeneration(r, completion, writer)
	refusal = g.run()
	reservation.Close(g.usedTokens())
	s.observeLatency(r, g)
	if refusal == nil {
		return nil
	}
	if writer.started() {
		// Abort the connection, so that the truncated response does not look complete.
		writer.abort(refusal)
		s.recordOutcome(r, refusal)
		panic(http.ErrAbortHandler)
	}
	return refusal
}

func (s *Server) nextID(prefix string) string {
	self := s.control.Self()
	return fmt.Sprintf("%s-%s-%s-%d", prefix, self.VM, self.Incarnation, s.sequence.Add(1))
}

// observeLatency records the first-token latency and the mean token gap of a request in the metrics, and
// counts a finished request that met both targets of its route.
func (s *Server) observeLatency(r *request, g *generation) {
	if g.firstTokenAt.IsZero() {
		return
	}
	first := g.firstTokenAt.Sub(r.arrivedAt)
	gap := g.meanGap()
	s.metrics.FirstToken.WithLabelValues(r.route.Name).Observe(first.Seconds())
	s.metrics.TokenGap.WithLabelValues(r.route.Name).Observe(gap.Seconds())
	firstTokenOnTime := first <= time.Duration(r.route.FirstTokenMillis)*time.Millisecond
	gapOnTarget := gap <= time.Duration(r.route.TokenGapMillis)*time.Millisecond
	if firstTokenOnTime && gapOnTarget && g.finished {
		s.metrics.GoodRequests.WithLabelValues(r.route.Name, r.account.Name).Inc()
	}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// listModels lists the models whose routes admit the caller's account.
func (s *Server) listModels(w http.ResponseWriter, r *request) *Error {
	release, refusal := s.admit(r)
	if refusal != nil {
		return refusal
	}
	defer release()
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, route := range s.control.Snapshot().View.ModelRoutes() {
		if route.AllowsAccount(r.account.Name) {
			list.Data = append(list.Data, modelInfo{ID: route.Model, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}

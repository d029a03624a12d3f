package caller

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// bytesPerToken estimates the length of a prompt before an engine has counted its tokens.
const bytesPerToken = 4

// completion is a checked completion call.
type completion struct {
	model     string
	prompt    string
	maxTokens int
	stream    bool
	format    answerFormat
}

func (c completion) promptTokens() int { return (len(c.prompt) + bytesPerToken - 1) / bytesPerToken }

type textCall struct {
	Model     string  `json:"model"`
	Prompt    *string `json:"prompt"`
	MaxTokens *int    `json:"max_tokens"`
	Stream    bool    `json:"stream"`
}

type chatCall struct {
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
	var call textCall
	if err := json.Unmarshal(r.body, &call); err != nil {
		return invalid(err)
	}
	if call.Prompt == nil {
		return invalid(errors.New(`"prompt" must be a string`))
	}
	return s.complete(w, r, completion{model: call.Model, prompt: *call.Prompt, maxTokens: s.outputLimit(call.MaxTokens), stream: call.Stream, format: textFormat})
}

func (s *Server) completeChat(w http.ResponseWriter, r *request) *Error {
	var call chatCall
	if err := json.Unmarshal(r.body, &call); err != nil {
		return invalid(err)
	}
	if len(call.Messages) == 0 {
		return invalid(errors.New(`"messages" must not be empty`))
	}
	limit := call.MaxCompletionTokens
	if limit == nil {
		limit = call.MaxTokens
	}
	return s.complete(w, r, completion{model: call.Model, prompt: chatPrompt(call.Messages), maxTokens: s.outputLimit(limit), stream: call.Stream, format: chatFormat})
}

// chatPrompt renders messages as the one text that engines take.
func chatPrompt(messages []chatMessage) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "<|%s|>%s\n", m.Role, m.Content)
	}
	return b.String()
}

func (s *Server) outputLimit(given *int) int {
	if given == nil {
		return s.cfg.Limits.DefaultOutput
	}
	return *given
}

func invalid(err error) *Error {
	return &Error{Op: "parse", Kind: "invalid_request", Status: http.StatusBadRequest, Run: NotRun, Err: err}
}

func (s *Server) checkLimits(call completion) *Error {
	switch {
	case call.prompt == "":
		return invalid(errors.New("the prompt is empty"))
	case call.promptTokens() > s.cfg.Limits.PromptTokens:
		return refuse("limits", http.StatusBadRequest, "request_too_large", fmt.Sprintf("the prompt is longer than %d tokens", s.cfg.Limits.PromptTokens))
	case call.maxTokens < 1 || call.maxTokens > s.cfg.Limits.OutputTokens:
		return invalid(fmt.Errorf("the output limit is outside 1 to %d tokens", s.cfg.Limits.OutputTokens))
	}
	return nil
}

// complete serves a completion call from admission to its last token.
func (s *Server) complete(w http.ResponseWriter, r *request, call completion) *Error {
	route, ok := s.control.Snapshot().View.ModelRoute(call.model)
	if !ok {
		return refuse("route", http.StatusNotFound, "model_not_found", fmt.Sprintf("model %q does not exist", call.model))
	}
	r.route = route
	end, refusal := s.admit(r)
	if refusal != nil {
		return refusal
	}
	defer end()
	if strings.Contains(call.prompt, strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")) {
		return refuse("admit", http.StatusBadRequest, "key_exposed", "the key must not appear in the prompt")
	}
	if refusal := s.checkLimits(call); refusal != nil {
		return refusal
	}
	reservation, err := s.control.Reserve(r.Context(), r.account.Name, float64(call.promptTokens()+call.maxTokens))
	if err != nil {
		return fromControl("reserve", err)
	}
	answer := newAnswerWriter(w, call, s.nextID("cmpl"), s.control.Now())
	g := s.newGeneration(r, call, answer)
	refusal = g.run()
	reservation.Close(g.usedTokens())
	s.measure(r, g)
	if refusal == nil {
		return nil
	}
	if answer.started() {
		// The answer is cut, and must not look complete.
		answer.abort(refusal)
		s.note(r, refusal)
		panic(http.ErrAbortHandler)
	}
	return refusal
}

func (s *Server) nextID(prefix string) string {
	self := s.control.Self()
	return fmt.Sprintf("%s-%s-%s-%d", prefix, self.VM, self.Incarnation, s.sequence.Add(1))
}

// measure exports the latencies of a finished request.
func (s *Server) measure(r *request, g *generation) {
	if g.firstTokenAt.IsZero() {
		return
	}
	first := g.firstTokenAt.Sub(r.arrivedAt)
	gap := g.meanGap()
	s.metrics.FirstToken.WithLabelValues(r.route.Name).Observe(first.Seconds())
	s.metrics.TokenGap.WithLabelValues(r.route.Name).Observe(gap.Seconds())
	inTime := first <= time.Duration(r.route.FirstTokenMillis)*time.Millisecond
	smooth := gap <= time.Duration(r.route.TokenGapMillis)*time.Millisecond
	if inTime && smooth && g.finished {
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

// listModels answers with the models whose routes are open to the caller's account.
func (s *Server) listModels(w http.ResponseWriter, r *request) *Error {
	end, refusal := s.admit(r)
	if refusal != nil {
		return refusal
	}
	defer end()
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, route := range s.control.Snapshot().View.ModelRoutes() {
		if route.Admits(r.account.Name) {
			list.Data = append(list.Data, modelInfo{ID: route.Model, Object: "model"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
	return nil
}

package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// answerFormat is the shape of a completion answer.
type answerFormat int

const (
	textFormat answerFormat = iota
	chatFormat
)

// stallTimeout is how long a caller may take no bytes of its answer before it counts as gone.
const stallTimeout = 10 * time.Second

// answerWriter writes one completion answer: token by token as server-sent events, or whole.
type answerWriter struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	call    completion
	id      string
	created int64
	text    strings.Builder
	open    bool
	stall   time.Duration
}

func newAnswerWriter(w http.ResponseWriter, call completion, id string, now time.Time) *answerWriter {
	return &answerWriter{w: w, flush: http.NewResponseController(w), call: call, id: id, created: now.Unix(), stall: stallTimeout}
}

type answerBody struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   *answerUsage   `json:"usage,omitempty"`
}

type answerChoice struct {
	Index        int            `json:"index"`
	Text         *string        `json:"text,omitempty"`
	Message      *answerMessage `json:"message,omitempty"`
	Delta        *answerMessage `json:"delta,omitempty"`
	FinishReason *string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type answerUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// started reports whether a part of the answer has gone to the caller.
func (a *answerWriter) started() bool { return a.open }

// token passes one token on.
func (a *answerWriter) token(text string) error {
	a.text.WriteString(text)
	if !a.call.stream {
		return nil
	}
	if !a.open {
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
		a.open = true
	}
	a.extendDeadline()
	if err := a.event(a.body(a.chunk(text, nil), nil)); err != nil {
		return err
	}
	return a.flush.Flush()
}

// extendDeadline keeps a caller that does not read from holding an engine. Connections without
// deadlines, as in tests, are left as they are.
func (a *answerWriter) extendDeadline() {
	_ = a.flush.SetWriteDeadline(time.Now().Add(a.stall))
}

// finish writes the proper end of the answer.
func (a *answerWriter) finish(reason string, usage answerUsage) error {
	a.extendDeadline()
	if a.call.stream {
		if err := a.event(a.body(a.chunk("", &reason), &usage)); err != nil {
			return err
		}
		_, err := fmt.Fprint(a.w, "data: [DONE]\n\n")
		return err
	}
	a.w.Header().Set("Content-Type", "application/json")
	text := a.text.String()
	choice := answerChoice{FinishReason: &reason, Text: &text}
	if a.call.format == chatFormat {
		choice = answerChoice{FinishReason: &reason, Message: &answerMessage{Role: "assistant", Content: text}}
	}
	return json.NewEncoder(a.w).Encode(a.body(choice, &usage))
}

// abort tells a streaming caller why its answer ends early. The caller of abort closes the
// connection without the proper end.
func (a *answerWriter) abort(e *Error) {
	data, err := json.Marshal(e.body())
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = a.flush.Flush()
}

func (a *answerWriter) chunk(text string, reason *string) answerChoice {
	if a.call.format == chatFormat {
		return answerChoice{Delta: &answerMessage{Content: text}, FinishReason: reason}
	}
	return answerChoice{Text: &text, FinishReason: reason}
}

func (a *answerWriter) body(choice answerChoice, usage *answerUsage) answerBody {
	object := "text_completion"
	if a.call.format == chatFormat {
		object = "chat.completion"
		if a.call.stream {
			object = "chat.completion.chunk"
		}
	}
	return answerBody{ID: a.id, Object: object, Created: a.created, Model: a.call.model, Choices: []answerChoice{choice}, Usage: usage}
}

func (a *answerWriter) event(body answerBody) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.w, "data: %s\n\n", data)
	return err
}

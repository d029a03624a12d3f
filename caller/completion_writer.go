package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// responseFormat selects between the text and the chat form of a completion response.
type responseFormat int

const (
	textFormat responseFormat = iota
	chatFormat
)

// stallTimeout is the write deadline of each part of a response. A caller that reads nothing for this
// long is treated as disconnected.
const stallTimeout = 10 * time.Second

// completionWriter writes one completion response, either token by token as server-sent events or as
// a single JSON body.
type completionWriter struct {
	w             http.ResponseWriter
	controller    *http.ResponseController
	request       completionRequest
	id            string
	created       int64
	text          strings.Builder
	streamStarted bool
	stallTimeout  time.Duration
}

func newCompletionWriter(w http.ResponseWriter, request completionRequest, id string, now time.Time) *completionWriter {
	return &completionWriter{w: w, controller: http.NewResponseController(w), request: request, id: id, created: now.Unix(), stallTimeout: stallTimeout}
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *tokenUsage        `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	Delta        *completionMessage `json:"delta,omitempty"`
	FinishReason *string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// started reports whether streaming of the response to the caller has begun.
func (cw *completionWriter) started() bool { return cw.streamStarted }

// writeToken records one token and, for a streaming request, sends it to the caller immediately.
func (cw *completionWriter) writeToken(text string) error {
	cw.text.WriteString(text)
	if !cw.request.stream {
		return nil
	}
	if !cw.streamStarted {
		cw.w.Header().Set("Content-Type", "text/event-stream")
		cw.w.Header().Set("Cache-Control", "no-store")
		cw.streamStarted = true
	}
	cw.extendDeadline()
	if err := cw.writeEvent(cw.response(cw.chunk(text, nil), nil)); err != nil {
		return err
	}
	return cw.controller.Flush()
}

// extendDeadline renews the write deadline, so that a caller that does not read cannot occupy an
// engine. The error of connections that do not support deadlines, as in tests, is ignored.
func (cw *completionWriter) extendDeadline() {
	_ = cw.controller.SetWriteDeadline(time.Now().Add(cw.stallTimeout))
}

// finish writes the end of a stream, or the whole body of a response that is not streamed.
func (cw *completionWriter) finish(reason string, usage tokenUsage) error {
	cw.extendDeadline()
	if cw.request.stream {
		if err := cw.writeEvent(cw.response(cw.chunk("", &reason), &usage)); err != nil {
			return err
		}
		_, err := fmt.Fprint(cw.w, "data: [DONE]\n\n")
		return err
	}
	cw.w.Header().Set("Content-Type", "application/json")
	text := cw.text.String()
	choice := completionChoice{FinishReason: &reason, Text: &text}
	if cw.request.format == chatFormat {
		choice = completionChoice{FinishReason: &reason, Message: &completionMessage{Role: "assistant", Content: text}}
	}
	return json.NewEncoder(cw.w).Encode(cw.response(choice, &usage))
}

// abort sends e as the last event of a stream that ends early. The caller of abort must then close
// the connection without the end-of-stream marker.
func (cw *completionWriter) abort(e *Error) {
	data, err := json.Marshal(e.body())
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(cw.w, "data: %s\n\n", data)
	_ = cw.controller.Flush()
}

func (cw *completionWriter) chunk(text string, reason *string) completionChoice {
	if cw.request.format == chatFormat {
		return completionChoice{Delta: &completionMessage{Content: text}, FinishReason: reason}
	}
	return completionChoice{Text: &text, FinishReason: reason}
}

func (cw *completionWriter) response(choice completionChoice, usage *tokenUsage) completionResponse {
	object := "text_completion"
	if cw.request.format == chatFormat {
		object = "chat.completion"
		if cw.request.stream {
			object = "chat.completion.chunk"
		}
	}
	return completionResponse{ID: cw.id, Object: object, Created: cw.created, Model: cw.request.model, Choices: []completionChoice{choice}, Usage: usage}
}

func (cw *completionWriter) writeEvent(response completionResponse) error {
	data, err := json.Marshal(response)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(cw.w, "data: %s\n\n", data)
	return err
}

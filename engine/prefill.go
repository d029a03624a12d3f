package engine

import (
	"context"
	"fmt"
)

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	// Attempt names the work, so that it can be canceled.
	Attempt string
	Model   string
	Prompt  string
	// Generated is output that an earlier attempt produced and that the decode continues from.
	Generated string
}

// PrefillResult says what a prefill computed. It is kept for a short time only.
type PrefillResult struct {
	PromptTokens int
	CachedTokens int
}

type prefillMessage struct {
	Attempt   string
	Model     string
	Prompt    string
	Generated string `json:",omitempty"`
}

type prefillAnswer struct {
	Attempt      string
	PromptTokens int
	CachedTokens int
}

// Prefill runs a prefill to its end.
func (c *Client) Prefill(ctx context.Context, addr string, r PrefillRequest) (PrefillResult, error) {
	var answer prefillAnswer
	if err := c.call(ctx, "prefill", "http://"+addr+"/prefill", prefillMessage(r), &answer); err != nil {
		return PrefillResult{}, err
	}
	if answer.Attempt != r.Attempt {
		return PrefillResult{}, &Error{Op: "prefill", Kind: ErrBroken, Err: fmt.Errorf("answer is for attempt %q", answer.Attempt)}
	}
	return PrefillResult{PromptTokens: answer.PromptTokens, CachedTokens: answer.CachedTokens}, nil
}

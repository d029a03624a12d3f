package engine

import (
	"context"
	"fmt"
)

// PrefillRequest asks an engine to compute the KV cache of a prompt.
type PrefillRequest struct {
	// Attempt identifies the prefill, for example to cancel it.
	Attempt string
	Model   string
	Prompt  string
	// Generated is the output of an earlier attempt, from which the decode continues.
	Generated string
}

// PrefillResult describes a completed prefill. The engine retains its KV cache only for a short time.
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

type prefillResponse struct {
	Attempt      string
	PromptTokens int
	CachedTokens int
}

// Prefill runs a prefill and waits until it is complete.
func (c *Client) Prefill(ctx context.Context, addr string, r PrefillRequest) (PrefillResult, error) {
	var response prefillResponse
	if err := c.call(ctx, "prefill", "http://"+addr+"/prefill", prefillMessage(r), &response); err != nil {
		return PrefillResult{}, err
	}
	if response.Attempt != r.Attempt {
		return PrefillResult{}, &Error{Op: "prefill", Kind: ErrBroken, Err: fmt.Errorf("answer is for attempt %q", response.Attempt)}
	}
	return PrefillResult{PromptTokens: response.PromptTokens, CachedTokens: response.CachedTokens}, nil
}

package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
)

// NativeHeaders are the header names of cassiabridge's native protocol (docs/PROTOCOLS.md).
var NativeHeaders = Headers{
	Attempt: "Cassiabridge-Attempt", Timeout: "Cassiabridge-Timeout-Millis", Tokens: "Cassiabridge-Tokens", OutputHint: "Cassiabridge-Output-Hint",
	PromptParts: "Cassiabridge-Prompt-Parts", LastEventID: "Last-Event-Id", Account: "Cassiabridge-Account", Upstream: "Cassiabridge-Upstream", Stage: "Cassiabridge-Stage", PrefillStage: "Prefill",
	Source: "Cassiabridge-Source", NotRun: "Cassiabridge-Not-Run", RequestLimit: "Cassiabridge-Request-Limit",
}

// resultPath is the path prefix of prefill results on an engine.
const resultPath = "/results/"

// errNoHandle reports a prefill response without a handle.
var errNoHandle = errors.New("the answer of the prefill names no result")

// prefillResult is the JSON body of a prefill response.
type prefillResult struct {
	Handle string
	Tokens int
}

// NativeProtocol returns cassiabridge's native protocol, which is used where no platform prescribes another.
func NativeProtocol() Protocol {
	p := NativeHeaders.Protocol()
	p.ParsePrefillResponse = func(body []byte) (string, int, error) {
		var result prefillResult
		if err := json.Unmarshal(body, &result); err != nil {
			return "", 0, &Error{Op: "read prefill", Kind: ErrUpstream, Err: err}
		}
		if result.Handle == "" {
			return "", 0, &Error{Op: "read prefill", Kind: ErrUpstream, Err: errNoHandle}
		}
		return result.Handle, result.Tokens, nil
	}
	p.FreeResult = func(handle string) (method, target string) {
		return http.MethodDelete, resultPath + url.PathEscape(handle)
	}
	return p
}

package gateway

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
)

// OwnHeaders are the headers of installations whose upstreams speak this project's own format (docs/PROTOCOLS.md).
var OwnHeaders = Headers{
	Attempt: "Cassiabridge-Attempt", Timeout: "Cassiabridge-Timeout-Millis", Tokens: "Cassiabridge-Tokens", Hint: "Cassiabridge-Output-Hint",
	LastEvent: "Last-Event-Id", Account: "Cassiabridge-Account", Upstream: "Cassiabridge-Upstream", Stage: "Cassiabridge-Stage", PrefillStage: "Prefill",
	Source: "Cassiabridge-Source", NotRun: "Cassiabridge-Not-Run",
}

// ownResultPath is the path under which engines keep results of prefills.
const ownResultPath = "/results/"

// errNoHandle reports the answer of a prefill that names no result.
var errNoHandle = errors.New("the answer of the prefill names no result")

type prefillResult struct {
	Handle string
	Tokens int
}

// OwnProtocol returns how callers and upstreams are spoken to where no platform prescribes it.
func OwnProtocol() Protocol {
	p := OwnHeaders.Protocol()
	p.ReadPrefill = func(body []byte) (string, int, error) {
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
		return http.MethodDelete, ownResultPath + url.PathEscape(handle)
	}
	return p
}

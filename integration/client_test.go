package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/resource"
)

// response holds the status, header and body that a caller or an operator received, or the error of the call.
type response struct {
	status int
	header http.Header
	body   string
	// endedByConn is whether the body had neither a length nor chunks.
	endedByConn bool
	err         error
}

// errorResponse is the body of an error response: the type of the error, and whether anything was run.
type errorResponse struct {
	Error struct {
		Type string `json:"type"`
		Run  string `json:"run"`
	} `json:"error"`
}

// errorResponse decodes the body as an error response. It returns the zero value for other bodies.
func (r response) errorResponse() errorResponse {
	var body errorResponse
	_ = json.Unmarshal([]byte(r.body), &body)
	return body
}

// text returns the text of a completion that is not streamed, or of one event of a stream. It is empty if
// the body is no completion.
func (r response) text() string {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(r.body), &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text
}

// streamedText returns the text of a streamed completion, and whether the stream ended with [DONE].
func (r response) streamedText() (text string, whole bool) {
	for _, line := range strings.Split(r.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		text += response{body: data}.text()
	}
	return text, false
}

// callOption changes a request before it is sent.
type callOption func(*http.Request)

func withHeader(name, value string) callOption {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func withIdempotencyKey(value string) callOption { return withHeader("Idempotency-Key", value) }

func withContext(ctx context.Context) callOption {
	return func(r *http.Request) { *r = *r.WithContext(ctx) }
}

// call sends a request on a new connection and reads the whole response.
func call(method, url, token, body string, opts ...callOption) response {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	for _, opt := range opts {
		opt(req)
	}
	client := http.Client{Timeout: 40 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data), endedByConn: resp.ContentLength < 0 && len(resp.TransferEncoding) == 0, err: err}
}

func (c *cluster) sendCompletion(v *vm, key, prompt string, maxTokens int, opts ...callOption) response {
	body := fmt.Sprintf(`{"model": "notes", "prompt": %q, "max_tokens": %d}`, prompt, maxTokens)
	return call(http.MethodPost, "http://"+v.callerAddr+"/v1/completions", key, body, opts...)
}

func (c *cluster) sendStreamedCompletion(v *vm, key, prompt string, maxTokens int, opts ...callOption) response {
	body := fmt.Sprintf(`{"model": "notes", "prompt": %q, "max_tokens": %d, "stream": true}`, prompt, maxTokens)
	return call(http.MethodPost, "http://"+v.callerAddr+"/v1/completions", key, body, opts...)
}

// callRelease calls the route whose operations must not run twice, with operation as the idempotency key.
func (c *cluster) callRelease(v *vm, key, operation string, opts ...callOption) response {
	return call(http.MethodPost, "http://"+v.callerAddr+"/desk/release", key, `{"job": 1}`, append(opts, withIdempotencyKey(operation))...)
}

// callPrice calls the repeatable route.
func (c *cluster) callPrice(v *vm, key string) response {
	return call(http.MethodGet, "http://"+v.callerAddr+"/desk/price/vinyl", key, "")
}

// operatorCall calls the operators' port of a VM.
func (c *cluster) operatorCall(v *vm, method, path, body string) response {
	return call(method, "http://"+v.operatorAddr+path, operatorToken, body)
}

// put writes a resource and returns its new version.
func (c *cluster) put(v *vm, doc resource.Document) uint64 {
	c.t.Helper()
	a := c.operatorCall(v, http.MethodPut, "/v1/resources/"+string(doc.Kind)+"/"+doc.Name, string(doc.Spec))
	require.Equal(c.t, http.StatusOK, a.status, "%s: %s %v", doc.Ref(), a.body, a.err)
	var result struct{ Version uint64 }
	require.NoError(c.t, json.Unmarshal([]byte(a.body), &result))
	return result.Version
}

// newKey creates an API key for an account, waits until all VMs have applied it, and returns its secret.
func (c *cluster) newKey(name, account string) string {
	c.t.Helper()
	a := c.operatorCall(c.vms[0], http.MethodPost, "/v1/keys", fmt.Sprintf(`{"Name": %q, "Account": %q}`, name, account))
	require.Equal(c.t, http.StatusOK, a.status, a.body)
	var result struct{ Secret string }
	require.NoError(c.t, json.Unmarshal([]byte(a.body), &result))
	c.awaitConfigApplied(c.vms...)
	return result.Secret
}

// status is the part of the answer to GET /v1/status that the tests read.
type status struct {
	Ready, Fresh  bool
	ConfigVersion uint64
	// SnapshotCovers is the log offset up to which the latest snapshot covers the log.
	SnapshotCovers uint64
	Slots          map[string]int
	InDoubt        int
}

// assignedSlots returns how many slots have an owner.
func (s status) assignedSlots() int {
	n := 0
	for owner, count := range s.Slots {
		if owner != "" {
			n += count
		}
	}
	return n
}

// status returns the status of a VM, or the zero value if the VM does not answer.
func (c *cluster) status(v *vm) status {
	var s status
	a := c.operatorCall(v, http.MethodGet, "/v1/status", "")
	_ = json.Unmarshal([]byte(a.body), &s)
	return s
}

// awaitConfigApplied waits until each of vms has applied the current configuration version of the first.
func (c *cluster) awaitConfigApplied(vms ...*vm) {
	c.t.Helper()
	version := c.status(vms[0]).ConfigVersion
	for _, v := range vms {
		c.eventually(3*time.Second, v.name+" has applied the configuration", func() bool { return c.status(v).ConfigVersion >= version })
	}
}

// heldTokens returns the number of tokens in the KV memory of all engines.
func (c *cluster) heldTokens() int {
	held := 0
	for _, e := range c.prefills {
		held += e.Stats().HeldTokens
	}
	for _, e := range c.decodes {
		held += e.Stats().HeldTokens
	}
	return held
}

// awaitEngineMemoryReleased waits until no engine holds any token in memory.
func (c *cluster) awaitEngineMemoryReleased(timeout time.Duration) {
	c.t.Helper()
	c.eventually(timeout, "all engine memory is released", func() bool { return c.heldTokens() == 0 })
}

// recordedRequests returns the requests that the upstreams recorded, with their headers, as text.
func (c *cluster) recordedRequests() string {
	var b bytes.Buffer
	for _, e := range append(append(c.prefills[:0:0], c.prefills...), c.decodes...) {
		fmt.Fprintln(&b, e.Stats().Seen)
	}
	fmt.Fprintln(&b, c.desk.RequestLog())
	return b.String()
}

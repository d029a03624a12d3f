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

// answer is what a caller or operator got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// refusal is the part of an answer that says why, and whether anything ran.
type refusal struct {
	Error struct {
		Type string `json:"type"`
		Run  string `json:"run"`
	} `json:"error"`
}

func (a answer) refusal() refusal {
	var r refusal
	_ = json.Unmarshal([]byte(a.body), &r)
	return r
}

// text returns the text of a whole completion answer.
func (a answer) text() string {
	var body struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(a.body), &body) != nil || len(body.Choices) == 0 {
		return ""
	}
	return body.Choices[0].Text
}

// streamed returns the text of a streamed answer and whether it came to its proper end.
func (a answer) streamed() (text string, whole bool) {
	for _, line := range strings.Split(a.body, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		text += answer{body: data}.text()
	}
	return text, false
}

type callOption func(*http.Request)

func header(name, value string) callOption {
	return func(r *http.Request) { r.Header.Set(name, value) }
}

func idempotencyKey(value string) callOption { return header("Idempotency-Key", value) }

func within(ctx context.Context) callOption {
	return func(r *http.Request) { *r = *r.WithContext(ctx) }
}

func call(method, url, token, body string, opts ...callOption) answer {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
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
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(data), err: err}
}

func (c *cluster) complete(v *vm, key, prompt string, maxTokens int, opts ...callOption) answer {
	body := fmt.Sprintf(`{"model": "notes", "prompt": %q, "max_tokens": %d}`, prompt, maxTokens)
	return call(http.MethodPost, "http://"+v.callers+"/v1/completions", key, body, opts...)
}

func (c *cluster) completeStream(v *vm, key, prompt string, maxTokens int, opts ...callOption) answer {
	body := fmt.Sprintf(`{"model": "notes", "prompt": %q, "max_tokens": %d, "stream": true}`, prompt, maxTokens)
	return call(http.MethodPost, "http://"+v.callers+"/v1/completions", key, body, opts...)
}

func (c *cluster) release(v *vm, key, operation string, opts ...callOption) answer {
	return call(http.MethodPost, "http://"+v.callers+"/desk/release", key, `{"job": 1}`, append(opts, idempotencyKey(operation))...)
}

func (c *cluster) price(v *vm, key string) answer {
	return call(http.MethodGet, "http://"+v.callers+"/desk/price/vinyl", key, "")
}

func (c *cluster) operate(v *vm, method, path, body string) answer {
	return call(method, "http://"+v.operators+path, operatorToken, body)
}

func (c *cluster) put(v *vm, doc resource.Document) uint64 {
	c.t.Helper()
	a := c.operate(v, http.MethodPut, "/v1/resources/"+string(doc.Kind)+"/"+doc.Name, string(doc.Spec))
	require.Equal(c.t, http.StatusOK, a.status, "%s: %s %v", doc.Ref(), a.body, a.err)
	var result struct{ Version uint64 }
	require.NoError(c.t, json.Unmarshal([]byte(a.body), &result))
	return result.Version
}

// newKey creates a key and waits until it is in force everywhere.
func (c *cluster) newKey(name, account string) string {
	c.t.Helper()
	a := c.operate(c.vms[0], http.MethodPost, "/v1/keys", fmt.Sprintf(`{"Name": %q, "Account": %q}`, name, account))
	require.Equal(c.t, http.StatusOK, a.status, a.body)
	var result struct{ Secret string }
	require.NoError(c.t, json.Unmarshal([]byte(a.body), &result))
	c.awaitInForce(c.vms...)
	return result.Secret
}

type status struct {
	Ready, Fresh  bool
	ConfigVersion uint64
	// SnapshotCovers is what the last snapshot in the log covers.
	SnapshotCovers uint64
	Slots          map[string]int
	InDoubt        int
}

func (s status) slots() int {
	n := 0
	for vm, held := range s.Slots {
		if vm != "" {
			n += held
		}
	}
	return n
}

func (c *cluster) status(v *vm) status {
	var s status
	a := c.operate(v, http.MethodGet, "/v1/status", "")
	_ = json.Unmarshal([]byte(a.body), &s)
	return s
}

// awaitInForce waits until VMs have the newest configuration that the first of them knows.
func (c *cluster) awaitInForce(vms ...*vm) {
	c.t.Helper()
	version := c.status(vms[0]).ConfigVersion
	for _, v := range vms {
		c.eventually(3*time.Second, v.name+" has the configuration", func() bool { return c.status(v).ConfigVersion >= version })
	}
}

// heldTokens returns what all engines hold.
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

func (c *cluster) awaitReleased(limit time.Duration) {
	c.t.Helper()
	c.eventually(limit, "all engine memory is released", func() bool { return c.heldTokens() == 0 })
}

// seen returns everything that upstreams saw of requests' headers.
func (c *cluster) seen() string {
	var b bytes.Buffer
	for _, e := range append(append(c.prefills[:0:0], c.prefills...), c.decodes...) {
		fmt.Fprintln(&b, e.Stats().Seen)
	}
	fmt.Fprintln(&b, c.desk.Seen())
	return b.String()
}

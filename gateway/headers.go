package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiabridge/cassiabridge/placement"
)

// Headers names the headers between callers, VMs and upstreams.
type Headers struct {
	// Attempt names the request, both ways. Answers to another one bear its name.
	Attempt string
	// Timeout is how long the sender will wait, in milliseconds.
	Timeout string
	// Tokens are the length of the prompt and the longest answer, with a comma between them. Hint is the caller's guess
	// of the answer's length.
	Tokens string
	Hint   string
	// LastEvent is the ID of the last event of a stream that the caller has.
	LastEvent string
	// Account, Upstream, Stage and Source are what a VM tells an upstream. PrefillStage is the value of Stage for a
	// request whose prompt only is to be read.
	Account      string
	Upstream     string
	Stage        string
	PrefillStage string
	Source       string
	// NotRun marks the answer of an upstream that has not run the request.
	NotRun string
	// Dropped are further headers that upstreams do not get from callers.
	Dropped []string
}

const (
	headerAuthorization = "Authorization"
	bearer              = "Bearer "
)

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Protocol returns a protocol that speaks with these headers. Its ReadPrefill and FreeResult are still to be set.
func (n Headers) Protocol() Protocol {
	return Protocol{ReadCall: n.readCall, Forward: n.forward, Address: n.address, ReadAnswer: n.readAnswer, AnswerHeaders: withoutConnectionHeaders}
}

func (n Headers) readCall(h http.Header) Call {
	call := Call{Attempt: h.Get(n.Attempt), LastEvent: h.Get(n.LastEvent)}
	if key, found := strings.CutPrefix(h.Get(headerAuthorization), bearer); found {
		call.Key = strings.TrimSpace(key)
	}
	if millis, err := strconv.ParseInt(h.Get(n.Timeout), 10, 64); err == nil && millis > 0 {
		call.Timeout = time.Duration(millis) * time.Millisecond
	}
	if prompt, output, found := strings.Cut(h.Get(n.Tokens), ","); found {
		call.PromptTokens = count(prompt)
		call.MaxOutputTokens = count(output)
	}
	call.OutputHint = count(h.Get(n.Hint))
	return call
}

// count reads a number of tokens. One that makes no sense counts as not stated, which is 0.
func count(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// forward copies the headers that an upstream gets from the caller.
func (n Headers) forward(h http.Header) http.Header {
	copied := withoutConnectionHeaders(h)
	for _, name := range []string{headerAuthorization, n.Timeout, n.LastEvent, n.Account, n.Upstream, n.Stage, n.Source, "Content-Length"} {
		copied.Del(name)
	}
	for _, name := range n.Dropped {
		copied.Del(name)
	}
	return copied
}

func withoutConnectionHeaders(h http.Header) http.Header {
	copied := make(http.Header, len(h))
	for name, values := range h {
		copied[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

// address adds what an upstream is told.
func (n Headers) address(h http.Header, hop Hop) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(n.Upstream, hop.Replica)
	set(n.Account, hop.Account)
	set(n.Source, hop.Source)
	set(n.LastEvent, hop.LastEvent)
	h.Set(n.Timeout, strconv.FormatInt(max(1, hop.Remaining.Milliseconds()), 10))
	if hop.Stage == placement.StagePrefill {
		h.Set(n.Stage, n.PrefillStage)
	}
}

func (n Headers) readAnswer(status int, h http.Header) Verdict {
	verdict := Verdict{Attempt: h.Get(n.Attempt)}
	verdict.Misdirected = status == http.StatusMisdirectedRequest
	verdict.NotRun = h.Get(n.NotRun) != "" || verdict.Misdirected
	return verdict
}

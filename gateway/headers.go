package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cassiabridge/cassiabridge/placement"
)

// Headers holds the names of the HTTP headers used between callers, VMs and upstreams.
type Headers struct {
	// Attempt holds the ID of the attempt, in requests and responses. It shows whether a response belongs to the
	// request that was sent.
	Attempt string
	// Timeout holds the time that the sender will wait for a response, in milliseconds.
	Timeout string
	// Tokens holds the prompt length and the maximum output length in tokens, separated by a comma. OutputHint holds the
	// caller's estimate of the output length in tokens.
	Tokens     string
	OutputHint string
	// PromptParts holds the parts of the prompt in order, as comma-separated ID:TOKENS entries. Requests share parts,
	// except for the last one, which belongs to the request or to its session.
	PromptParts string
	// LastEventID holds the ID of the last stream event that the caller has received.
	LastEventID string
	// Resumes holds the ID of the attempt that began the stream that a request resumes.
	Resumes string
	// Account, Upstream, Stage and Source are set by a VM in requests to upstreams. PrefillStage is the value of Stage
	// for a request that is only prefilled.
	Account      string
	Upstream     string
	Stage        string
	PrefillStage string
	Source       string
	// NotRun marks the response of an upstream that has not run the request and never will.
	NotRun string
	// RequestLimit holds the requests per second that an upstream takes from all VMs together, as a decimal number.
	RequestLimit string
	// Load holds the numbers of requests that an upstream runs and that wait there, its slots and optionally how long work
	// takes on its machine in percent of the usual time, separated by commas.
	Load string
	// ColdFor holds how much longer an upstream is cold, in milliseconds.
	ColdFor string
	// Leaving is "1" in all answers of an upstream that is leaving.
	Leaving string
	// Stripped lists further headers that are removed from callers' requests before they are forwarded.
	Stripped []string
}

const (
	headerAuthorization = "Authorization"
	bearerPrefix        = "Bearer "
	// maxSharedParts and maxPartIDBytes bound what is kept of the parts that a caller states.
	maxSharedParts = 16
	maxPartIDBytes = 64
	// minRequestLimit and maxRequestLimit bound the limits that upstreams name, in requests per second. With the lowest
	// one, an upstream still gets enough requests to tell when it names no limit any more.
	minRequestLimit = 0.25
	maxRequestLimit = 1e6
	// maxLoadFigure bounds the figures of a load, and minSlowness and maxSlowness what is made of the last one.
	maxLoadFigure = 100_000
	minSlowness   = 0.1
	maxSlowness   = 20
	// maxLoggedLimitBytes bounds how much of an invalid limit or load is logged.
	maxLoggedLimitBytes = 32
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// Protocol returns a Protocol that uses these headers. The caller must set its ParsePrefillResponse and FreeResult.
func (n Headers) Protocol() Protocol {
	return Protocol{ReadRequestInfo: n.readRequestInfo, ForwardHeaders: n.forwardHeaders, SetHopHeaders: n.setHopHeaders, ReadResponseInfo: n.readResponseInfo, ResponseHeaders: withoutHopByHopHeaders}
}

// readRequestInfo parses the headers of a caller's request. Values that are missing or invalid are left zero.
func (n Headers) readRequestInfo(h http.Header) RequestInfo {
	info := RequestInfo{Attempt: h.Get(n.Attempt), LastEventID: h.Get(n.LastEventID), Resumes: h.Get(n.Resumes)}
	if key, found := strings.CutPrefix(h.Get(headerAuthorization), bearerPrefix); found {
		info.Key = strings.TrimSpace(key)
	}
	if millis, err := strconv.ParseInt(h.Get(n.Timeout), 10, 64); err == nil && millis > 0 {
		info.Timeout = time.Duration(millis) * time.Millisecond
	}
	if prompt, output, found := strings.Cut(h.Get(n.Tokens), ","); found {
		info.PromptTokens = parseTokenCount(prompt)
		info.MaxOutputTokens = parseTokenCount(output)
	}
	info.OutputHint = parseTokenCount(h.Get(n.OutputHint))
	info.SharedParts = parseSharedParts(h.Get(n.PromptParts))
	return info
}

// parseSharedParts returns the IDs of the parts of a prompt that other requests may share: all but the last one, up to
// maxSharedParts.
func parseSharedParts(text string) []string {
	var ids []string
	for entry, rest, more := strings.Cut(text, ","); more && len(ids) < maxSharedParts; entry, rest, more = strings.Cut(rest, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		if id != "" && len(id) <= maxPartIDBytes {
			ids = append(ids, id)
		}
	}
	return ids
}

// parseTokenCount parses a number of tokens. It returns 0, which means not stated, if the text is invalid or negative.
func parseTokenCount(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// forwardHeaders returns a copy of a caller's headers to send to an upstream, without hop-by-hop headers, the API key,
// the headers that the VM sets itself and those in Stripped.
func (n Headers) forwardHeaders(h http.Header) http.Header {
	copied := withoutHopByHopHeaders(h)
	for _, name := range []string{headerAuthorization, n.Timeout, n.LastEventID, n.Account, n.Upstream, n.Stage, n.Source, "Content-Length"} {
		copied.Del(name)
	}
	for _, name := range n.Stripped {
		copied.Del(name)
	}
	return copied
}

// withoutHopByHopHeaders returns a copy of h without the hop-by-hop headers, including those that the Connection header
// lists.
func withoutHopByHopHeaders(h http.Header) http.Header {
	copied := make(http.Header, len(h))
	for name, values := range h {
		copied[name] = values
	}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		copied.Del(name)
	}
	return copied
}

// setHopHeaders adds the headers that describe a hop to an upstream request.
func (n Headers) setHopHeaders(h http.Header, hop Hop) {
	set := func(name, value string) {
		if value != "" {
			h.Set(name, value)
		}
	}
	set(n.Upstream, hop.Replica)
	set(n.Account, hop.Account)
	set(n.Source, hop.Source)
	set(n.LastEventID, hop.LastEventID)
	h.Set(n.Timeout, strconv.FormatInt(max(1, hop.Remaining.Milliseconds()), 10))
	if hop.Stage == placement.StagePrefill {
		h.Set(n.Stage, n.PrefillStage)
	}
}

// parseLeaving returns whether an answer says that its upstream is leaving, or a value that says neither.
func parseLeaving(values []string) (leaving bool, invalid string) {
	switch {
	case len(values) == 0:
		return false, ""
	case len(values) == 1 && values[0] == "1":
		return true, ""
	}
	joined := strings.Join(values, ",")
	return false, joined[:min(len(joined), maxLoggedLimitBytes)]
}

// readResponseInfo parses the status and headers of an upstream's response.
func (n Headers) readResponseInfo(status int, h http.Header) ResponseInfo {
	info := ResponseInfo{Attempt: h.Get(n.Attempt)}
	info.Misdirected = status == http.StatusMisdirectedRequest
	info.NotRun = h.Get(n.NotRun) != "" || info.Misdirected
	info.RequestLimit, info.InvalidLimit = parseRequestLimit(h.Values(n.RequestLimit))
	info.Load, info.InvalidLoad = parseLoad(h.Values(n.Load))
	info.Leaving, info.InvalidLeaving = parseLeaving(h.Values(n.Leaving))
	if millis, err := strconv.ParseFloat(h.Get(n.ColdFor), 64); err == nil && millis > 0 {
		info.ColdFor = ColdPeriod(millis)
	}
	return info
}

// parseRequestLimit returns the lowest valid limit among the values of the header, in requests per second, or 0 if there
// is none, and a value that is not valid, or "". A limit below minRequestLimit is raised to it.
func parseRequestLimit(values []string) (limit float64, invalid string) {
	for _, text := range values {
		value, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(value) || value < 0 || value > maxRequestLimit {
			invalid = text
			continue
		}
		value = max(value, minRequestLimit)
		if limit == 0 || value < limit {
			limit = value
		}
	}
	return limit, invalid[:min(len(invalid), maxLoggedLimitBytes)]
}

// parseLoad returns the load in the only value of the header, or nil if there is none, and a value that cannot be used, or "".
func parseLoad(values []string) (load *placement.ServiceLoad, invalid string) {
	if len(values) == 0 {
		return nil, ""
	}
	text := strings.Join(values, ";")
	var figures []int
	for _, field := range strings.Split(text, ",") {
		figure, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || figure < 0 || figure > maxLoadFigure {
			return nil, text[:min(len(text), maxLoggedLimitBytes)]
		}
		figures = append(figures, figure)
	}
	if len(figures) < 3 || len(figures) > 4 || figures[2] == 0 {
		return nil, text[:min(len(text), maxLoggedLimitBytes)]
	}
	load = &placement.ServiceLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], Slowness: 1}
	if len(figures) == 4 {
		load.Slowness = min(max(float64(figures[3])/100, minSlowness), maxSlowness)
	}
	return load, ""
}

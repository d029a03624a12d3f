package standin

import "maps"

// Headers of the users' platform, as sent by its clients and replicas.
const (
	HeaderAttempt   = "Attempt-Id"
	HeaderTimeout   = "Deadline-Ms"
	HeaderTokens    = "Token-Usage"
	HeaderParts     = "Prefix-Hash"
	HeaderSignature = "Response-Signature"
	HeaderAccount   = "Tenant"
	HeaderReplica   = "Target-Instance"
	HeaderStage     = "Inference-Stage"
	HeaderHold      = "Kv-Hold"
	HeaderPriority  = "Request-Priority"
	headerNotRun    = "Not-Executed"
	HeaderSource    = "Kv-Source"

	headerRequestLimit = "Server-Limit"
	headerLeaving      = "Server-Leaving"
)

// Headers of the router's own protocol, for installations without the users' platform.
const (
	NativeHeaderAttempt = "Cassiabridge-Attempt"
	NativeHeaderTokens  = "Cassiabridge-Tokens"
	NativeHeaderAccount = "Cassiabridge-Account"
)

// replicaProtocol holds the header names, paths and answer format of a replica's protocol.
type replicaProtocol struct {
	attempt, tokens, replica, stage, prefill, source, notRun string
	// resultPath is the path prefix under which a DELETE frees a prefill result.
	resultPath string
	// prefillAnswer returns the JSON body that answers a prefill request.
	prefillAnswer func(handle string, tokens int) any
}

// Kinds of routes of the users' platform.
const (
	RouteStreaming     = "streaming"
	RouteIdempotent    = "idempotent"
	RouteNonIdempotent = "non_idempotent"
)

// PrefillAnswer returns the JSON body that answers a prefill request on the users' platform.
func PrefillAnswer(handle string, tokens int) any {
	return map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1}
}

// platformProtocol is the protocol of the users' platform, and nativeProtocol the router's own.
var (
	platformProtocol = replicaProtocol{attempt: HeaderAttempt, tokens: HeaderTokens, replica: HeaderReplica, stage: HeaderStage, prefill: "prefill", source: HeaderSource,
		notRun: headerNotRun, resultPath: "/api/kv-handle/", prefillAnswer: PrefillAnswer}
	nativeProtocol = replicaProtocol{attempt: NativeHeaderAttempt, tokens: NativeHeaderTokens, replica: "Cassiabridge-Upstream", stage: "Cassiabridge-Stage", prefill: "Prefill",
		source: "Cassiabridge-Source", notRun: "Cassiabridge-Not-Run", resultPath: "/results/", prefillAnswer: func(handle string, tokens int) any {
			return map[string]any{"Handle": handle, "Tokens": tokens}
		}}
)

// Configuration is the configuration document of the users' platform, as its operator writes it.
type Configuration struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// Route returns a route for a Configuration, with default limits. The fields in overrides are added or replace the
// defaults.
func Route(name, host, prefix, kind, service string, overrides map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 4000, "targetLatencyMs": 900,
		"priority": 1, "service": service, "maxAttempts": 1, "public": false, "targetGapMs": 300}
	maps.Copy(r, overrides)
	return r
}

package standin

import "maps"

// Headers that callers and replicas of the users' platform send.
const (
	HeaderAttempt  = "Attempt-Id"
	HeaderTimeout  = "Deadline-Ms"
	HeaderTokens   = "Token-Usage"
	HeaderReceipt  = "Response-Signature"
	HeaderAccount  = "Tenant"
	HeaderReplica  = "Target-Instance"
	HeaderStage    = "Inference-Stage"
	HeaderHold     = "Kv-Hold"
	HeaderPriority = "Request-Priority"
	headerNotRun   = "Not-Executed"
	headerSource   = "Kv-Source"
)

// Headers of installations without a platform.
const (
	OwnHeaderAttempt = "Cassiabridge-Attempt"
	OwnHeaderTokens  = "Cassiabridge-Tokens"
	OwnHeaderAccount = "Cassiabridge-Account"
)

// replicaWire is how a replica is spoken to.
type replicaWire struct {
	attempt, tokens, replica, stage, prefill, source, notRun string
	// resultPath is where results of prefills are freed.
	resultPath string
	// prefillAnswer is the answer of a prefill.
	prefillAnswer func(handle string, tokens int) any
}

// platformWire is that of the users' platform, and ownWire this project's own.
var (
	platformWire = replicaWire{attempt: HeaderAttempt, tokens: HeaderTokens, replica: HeaderReplica, stage: HeaderStage, prefill: "prefill", source: headerSource,
		notRun: headerNotRun, resultPath: "/api/kv-handle/", prefillAnswer: func(handle string, tokens int) any {
			return map[string]any{"kvHandle": handle, "tokens": tokens, "version": 1}
		}}
	ownWire = replicaWire{attempt: OwnHeaderAttempt, tokens: OwnHeaderTokens, replica: "Cassiabridge-Upstream", stage: "Cassiabridge-Stage", prefill: "Prefill",
		source: "Cassiabridge-Source", notRun: "Cassiabridge-Not-Run", resultPath: "/results/", prefillAnswer: func(handle string, tokens int) any {
			return map[string]any{"Handle": handle, "Tokens": tokens}
		}}
)

// Configuration is what the operator of the users' platform writes.
type Configuration struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// Route returns a route of a configuration. more adds to its fields or changes them.
func Route(name, host, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": 4000, "targetLatencyMs": 900,
		"priority": 1, "service": service, "maxAttempts": 1, "public": false, "targetGapMs": 300}
	maps.Copy(r, more)
	return r
}

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

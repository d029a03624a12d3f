package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// HealthPath is where replicas answer health checks.
	HealthPath = "/health"
	reportPath = "/api/report"
	// headerInstance names the replica that answers a health check.
	headerInstance = "Instance-Id"
)

// lastBorn is the start of the last Process, in Unix milliseconds.
var lastBorn struct {
	sync.Mutex
	millis int64
}

// Process is one process of a replica: what it says of itself when it is asked, and what its entry says.
type Process struct {
	ID, Stage string
	// Born is the Unix millisecond of its start. No two processes share one.
	Born int64
}

// NewProcess returns a process that starts now.
func NewProcess(id, stage string) Process {
	lastBorn.Lock()
	defer lastBorn.Unlock()
	lastBorn.millis = max(lastBorn.millis+1, time.Now().UnixMilli())
	return Process{ID: id, Stage: stage, Born: lastBorn.millis}
}

// Entry returns the first entry of the process in the store. It runs version v1.
func (p Process) Entry(service, addr string) map[string]any {
	entry := map[string]any{"service": service, "zone": "zone-a", "version": "v1", "slots": 48, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
		"address": addr, "born": p.Born}
	if p.Stage != "" {
		entry["stage"] = p.Stage
	}
	return entry
}

// report returns the body of the process's report.
func (p Process) report() string {
	body, err := json.Marshal(map[string]any{"stage": p.Stage, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"sequence": 1, "queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 76160, "kvHandles": 0, "runs": []any{}, "state": "ready", "born": p.Born})
	if err != nil {
		panic(err)
	}
	return string(body)
}

// isReport reports whether r asks a process for its report.
func isReport(r *http.Request) bool { return r.Method == http.MethodGet && r.URL.Path == reportPath }

// isHealthCheck reports whether r is a health check.
func isHealthCheck(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Path == HealthPath
}

// writeReport answers a request for the process's report.
func (p Process) writeReport(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, p.report())
}

// answerHealthCheck answers a health check, which fails if all requests do.
func (p Process) answerHealthCheck(w http.ResponseWriter, fails bool) {
	if fails {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set(headerInstance, p.ID)
}

// RawAnswer returns the bytes of the answer to a request for what the process says of itself, or "" for other requests.
func (p Process) RawAnswer(r *http.Request) string {
	body, contentType := "", "text/plain"
	switch {
	case isReport(r):
		body, contentType = p.report(), "application/json"
	case !isHealthCheck(r):
		return ""
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, r.Header.Get(HeaderAttempt), headerInstance, p.ID, contentType, len(body), body)
}

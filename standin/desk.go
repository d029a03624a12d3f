package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Desk is a test double of a plain service: an order desk whose release operations must not run twice.
type Desk struct {
	faultInjector
	mu           sync.Mutex
	runs         map[string]int
	requestLog   []string
	requestTimes []time.Time
}

// NewDesk returns a desk that has run no operations.
func NewDesk() *Desk { return &Desk{runs: map[string]int{}} }

// Runs returns the number of executions by operation ID.
func (d *Desk) Runs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := map[string]int{}
	for id, n := range d.runs {
		runs[id] = n
	}
	return runs
}

// RequestLog returns the URL and headers of each request, in order of arrival.
func (d *Desk) RequestLog() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.requestLog...)
}

// Handler serves releases, release status and prices, and the endpoints that tests use for inspection and faults.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /desk/release", d.withFaults(d.handleRelease))
	mux.HandleFunc("GET /desk/release/{operation}", d.withFaults(d.handleStatus))
	mux.HandleFunc("GET /desk/price/{item}", d.withFaults(d.handlePrice))
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Runs()) })
	mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.RequestLog()) })
	mux.HandleFunc("POST /faults", d.handleFaults)
	return mux
}

func (d *Desk) recordRequest(r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.requestLog = append(d.requestLog, fmt.Sprint(r.URL, r.Header))
	d.requestTimes = append(d.requestTimes, time.Now())
}

// RequestTimes returns the arrival time of each request.
func (d *Desk) RequestTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time{}, d.requestTimes...)
}

func (d *Desk) handleRelease(w http.ResponseWriter, r *http.Request) {
	d.recordRequest(r)
	body, _ := io.ReadAll(r.Body)
	operation := r.Header.Get("Operation-Id")
	d.mu.Lock()
	d.runs[operation]++
	n := d.runs[operation]
	d.mu.Unlock()
	writeJSON(w, map[string]any{"Operation": operation, "Run": n, "Bytes": len(body)})
}

func (d *Desk) handleStatus(w http.ResponseWriter, r *http.Request) {
	d.recordRequest(r)
	n := d.Runs()[r.PathValue("operation")]
	if n == 0 {
		http.Error(w, "not released", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"Operation": r.PathValue("operation"), "Run": n})
}

func (d *Desk) handlePrice(w http.ResponseWriter, r *http.Request) {
	d.recordRequest(r)
	writeJSON(w, map[string]any{"Item": r.PathValue("item"), "Price": len(strings.TrimSpace(r.PathValue("item")))})
}

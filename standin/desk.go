package standin

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Desk takes the place of a plain service: an order desk whose releases must not run twice.
type Desk struct {
	faulty
	mu   sync.Mutex
	runs map[string]int
	seen []string
	at   []time.Time
}

// NewDesk returns a desk without releases.
func NewDesk() *Desk { return &Desk{runs: map[string]int{}} }

// Runs returns how often each operation ran.
func (d *Desk) Runs() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	runs := map[string]int{}
	for id, n := range d.runs {
		runs[id] = n
	}
	return runs
}

// Seen returns the headers of every request.
func (d *Desk) Seen() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string{}, d.seen...)
}

// Handler serves releases, their status, and prices.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /desk/release", d.wrap(d.handleRelease))
	mux.HandleFunc("GET /desk/release/{operation}", d.wrap(d.handleStatus))
	mux.HandleFunc("GET /desk/price/{item}", d.wrap(d.handlePrice))
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Runs()) })
	mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Seen()) })
	mux.HandleFunc("POST /faults", d.handleFaults)
	return mux
}

func (d *Desk) note(r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = append(d.seen, fmt.Sprint(r.URL, r.Header))
	d.at = append(d.at, time.Now())
}

// Times returns when each request came.
func (d *Desk) Times() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time{}, d.at...)
}

func (d *Desk) handleRelease(w http.ResponseWriter, r *http.Request) {
	d.note(r)
	body, _ := io.ReadAll(r.Body)
	operation := r.Header.Get("Operation-Id")
	d.mu.Lock()
	d.runs[operation]++
	n := d.runs[operation]
	d.mu.Unlock()
	writeJSON(w, map[string]any{"Operation": operation, "Run": n, "Bytes": len(body)})
}

func (d *Desk) handleStatus(w http.ResponseWriter, r *http.Request) {
	d.note(r)
	n := d.Runs()[r.PathValue("operation")]
	if n == 0 {
		http.Error(w, "not released", http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"Operation": r.PathValue("operation"), "Run": n})
}

func (d *Desk) handlePrice(w http.ResponseWriter, r *http.Request) {
	d.note(r)
	writeJSON(w, map[string]any{"Item": r.PathValue("item"), "Price": len(strings.TrimSpace(r.PathValue("item")))})
}

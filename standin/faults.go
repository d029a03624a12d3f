// Package standin provides test doubles of the platform, the engines and a plain service for tests
// and demos.
//
// Each of them serves the protocol in docs/PROTOCOLS.md from an http.Handler. Most accept faults to
// inject as a JSON-encoded Faults posted to /faults.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults configures fault injection. The zero value injects no faults.
type Faults struct {
	// Down closes the connection without an answer, before the request is executed.
	Down bool
	// Silent keeps the connection open without executing or answering the request.
	Silent bool
	// LoseAnswers executes the request, then closes the connection without an answer.
	LoseAnswers bool
	// DelayMillis delays the execution of each request, in milliseconds.
	DelayMillis int
	// CutAfter aborts a stream after this number of tokens. 0 means never.
	CutAfter int
	// FreezeReports makes an engine repeat its last report.
	FreezeReports bool
	// DropCacheEvents omits the older half of the cache events from reports.
	DropCacheEvents bool
	// Unframed answers have neither a length nor chunks, and end with their connection.
	Unframed bool
	// Status, if not 0, is answered instead of executing the request.
	Status int
}

// faultInjector holds the current faults of a test double and applies them to its handlers.
type faultInjector struct {
	mu     sync.Mutex
	faults Faults
}

// Faults returns the current faults.
func (f *faultInjector) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// SetFaults replaces the current faults.
func (f *faultInjector) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faultInjector) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	f.SetFaults(faults)
	writeJSON(w, faults)
}

// withFaults returns a handler that applies the current faults to each request for next.
func (f *faultInjector) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := f.Faults()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.Silent {
			// The server detects a closed connection only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		if faults.Status != 0 {
			http.Error(w, "told to fail", faults.Status)
			return
		}
		if faults.LoseAnswers {
			next(discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		if faults.Unframed {
			w.Header().Set("Transfer-Encoding", "identity")
		}
		next(w, r)
	}
}

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d discardWriter) WriteHeader(int)             {}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

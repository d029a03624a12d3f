// Package standin takes the place of the platform, the engines and a plain service in tests and demos.
//
// Each stand-in is an http.Handler that speaks the format in docs/PROTOCOLS.md, and can be told
// to misbehave by posting Faults to /faults.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults says how a stand-in misbehaves. The zero value behaves.
type Faults struct {
	// Down closes connections without an answer, before any effect.
	Down bool
	// Silent neither answers nor closes, and has no effect.
	Silent bool
	// LoseAnswers closes connections without an answer, after the effect.
	LoseAnswers bool
	// DelayMillis delays each request before its effect.
	DelayMillis int
	// CutAfter ends a stream early after so many tokens. 0 means never.
	CutAfter int
	// FreezeReports keeps reports as they are.
	FreezeReports bool
	// DropCacheEvents leaves gaps in the cache events.
	DropCacheEvents bool
	// Status is answered in place of the effect, if set.
	Status int
}

type faulty struct {
	mu     sync.Mutex
	faults Faults
}

// Faults returns the faults in force.
func (f *faulty) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// SetFaults changes the faults in force.
func (f *faulty) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
}

func (f *faulty) handleFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !readJSON(w, r, &faults) {
		return
	}
	f.SetFaults(faults)
	writeJSON(w, faults)
}

// wrap applies the faults around a handler.
func (f *faulty) wrap(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		faults := f.Faults()
		if faults.Down {
			panic(http.ErrAbortHandler)
		}
		if faults.Silent {
			// The end of the connection is noticed only once the body has been read.
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
			next(discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(p []byte) (int, error) { return len(p), nil }
func (d discard) WriteHeader(int)             {}

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

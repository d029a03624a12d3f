package standin

import (
	"net/http"
	"sync"
	"time"
)

// ListedVM describes one VM on the platform's list.
type ListedVM struct {
	Name             string
	PeerAddress      string
	AvailabilityZone string
	Leaving          bool
}

// List is a test double of the platform's list of VMs, which shows changes with a delay.
type List struct {
	faultInjector
	mu  sync.Mutex
	lag time.Duration
	vms []ListedVM
}

// NewList returns a list of vms. Later changes become visible after lag.
func NewList(lag time.Duration, vms ...ListedVM) *List {
	return &List{lag: lag, vms: vms}
}

// Set replaces the list after the lag. It does not wait.
func (l *List) Set(vms ...ListedVM) {
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms = vms
	})
}

// Handler serves the list, and accepts a replacement by PUT and faults by POST.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.withFaults(func(w http.ResponseWriter, _ *http.Request) {
		l.mu.Lock()
		defer l.mu.Unlock()
		writeJSON(w, listBody{VMs: l.vms})
	}))
	mux.HandleFunc("PUT /vms", func(w http.ResponseWriter, r *http.Request) {
		var body listBody
		if readJSON(w, r, &body) {
			l.Set(body.VMs...)
			writeJSON(w, body)
		}
	})
	mux.HandleFunc("POST /faults", l.handleFaults)
	return mux
}

type listBody struct{ VMs []ListedVM }

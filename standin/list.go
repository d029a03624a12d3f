package standin

import (
	"net/http"
	"sync"
	"time"
)

// ListedVM is one VM on the list.
type ListedVM struct {
	Name             string
	PeerAddress      string
	AvailabilityZone string
	Leaving          bool
}

// List takes the place of the platform's lagging list of VMs.
type List struct {
	faulty
	mu  sync.Mutex
	lag time.Duration
	vms []ListedVM
}

// NewList returns a list that shows a change after a lag.
func NewList(lag time.Duration, vms ...ListedVM) *List {
	return &List{lag: lag, vms: vms}
}

// Set changes the list.
func (l *List) Set(vms ...ListedVM) {
	time.AfterFunc(l.lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms = vms
	})
}

// Handler serves the list, and takes a new one by PUT.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", l.wrap(func(w http.ResponseWriter, _ *http.Request) {
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

package site

import (
	"net/http"
	"sync"
)

// partitionOutage keeps the partition of a topic down: calls that name it are not answered, neither those under way nor
// new ones, and channels on which an answer was lost return nothing further. The operator's writes are accepted, as the
// pages say. It is safe for concurrent use.
type partitionOutage struct {
	next http.Handler

	mu    sync.Mutex
	topic string
}

// SetDown sets the topic whose partition is down, or none if it is empty.
func (p *partitionOutage) SetDown(topic string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.topic = topic
}

func (p *partitionOutage) down(r *http.Request) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.topic != "" && r.URL.Query().Get("topic") == p.topic
}

// ServeHTTP implements http.Handler.
func (p *partitionOutage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.down(r) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	p.next.ServeHTTP(&outageWriter{ResponseWriter: w, outage: p, request: r}, r)
}

// outageWriter loses the answer to a request if the partition is down when it is written.
type outageWriter struct {
	http.ResponseWriter
	outage  *partitionOutage
	request *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *outageWriter) WriteHeader(status int) {
	w.loseIfDown()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *outageWriter) Write(p []byte) (int, error) {
	w.loseIfDown()
	return w.ResponseWriter.Write(p)
}

// loseIfDown waits until the caller gives up if the partition is down.
func (w *outageWriter) loseIfDown() {
	if !w.outage.down(w.request) {
		return
	}
	<-w.request.Context().Done()
	panic(http.ErrAbortHandler)
}

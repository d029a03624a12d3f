package control

import (
	"context"
	"errors"
	"sync"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

// ErrKeyWithdrawn is the cancellation cause of requests whose key was withdrawn.
var ErrKeyWithdrawn = errors.New("the key was withdrawn")

// requestTracker holds the requests in flight with the key that admitted each.
type requestTracker struct {
	mu       sync.Mutex
	nextID   uint64
	requests map[uint64]trackedRequest
}

type trackedRequest struct {
	key    resource.Key
	cancel context.CancelCauseFunc
}

func newRequestTracker() *requestTracker {
	return &requestTracker{requests: map[uint64]trackedRequest{}}
}

func (t *requestTracker) add(key resource.Key, cancel context.CancelCauseFunc) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nextID++
	id := t.nextID
	t.requests[id] = trackedRequest{key: key, cancel: cancel}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.requests, id)
	}
}

// cancelWithdrawn cancels the requests whose key is no longer active.
func (t *requestTracker) cancelWithdrawn(view *catalog.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, request := range t.requests {
		if !view.IsKeyActive(request.key) {
			request.cancel(ErrKeyWithdrawn)
		}
	}
}

// CancelOnWithdrawal registers a request to be canceled with ErrKeyWithdrawn when its key is withdrawn. The
// returned function removes it. The caller must check the key again after CancelOnWithdrawal returns, because
// the key may have been withdrawn before the request was registered.
func (c *Controller) CancelOnWithdrawal(key resource.Key, cancel context.CancelCauseFunc) func() {
	return c.tracker.add(key, cancel)
}

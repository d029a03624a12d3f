package control

import (
	"context"
	"errors"
	"sync"

	"github.com/cassiabridge/cassiabridge/catalog"
	"github.com/cassiabridge/cassiabridge/resource"
)

// ErrKeyWithdrawn is the cause with which requests under a withdrawn key are canceled.
var ErrKeyWithdrawn = errors.New("the key was withdrawn")

// streamSet holds the requests in flight by the key that admitted them.
type streamSet struct {
	mu      sync.Mutex
	nextID  uint64
	streams map[uint64]stream
}

type stream struct {
	key    resource.Key
	cancel context.CancelCauseFunc
}

func newStreamSet() *streamSet { return &streamSet{streams: map[uint64]stream{}} }

func (s *streamSet) add(key resource.Key, cancel context.CancelCauseFunc) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	id := s.nextID
	s.streams[id] = stream{key: key, cancel: cancel}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, id)
	}
}

// cut cancels the requests whose key is no longer in force.
func (s *streamSet) cut(view *catalog.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, stream := range s.streams {
		if !view.KeyInForce(stream.key) {
			stream.cancel(ErrKeyWithdrawn)
		}
	}
}

// Track cancels a request with ErrKeyWithdrawn once its key is withdrawn. The returned function ends
// the tracking. The key must be checked again after Track has returned.
func (c *Controller) Track(key resource.Key, cancel context.CancelCauseFunc) func() {
	return c.streams.add(key, cancel)
}

package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/routing"
)

// TestOutdatedVMDeniesWhatNewerDeclarationsMayAllow guards against 404 and 401 by a VM that has heard of newer declarations than
// its own.
func TestOutdatedVMDeniesWhatNewerDeclarationsMayAllow(t *testing.T) {
	c := newTestController(t)
	client, closeClient := exchange.NewClient()
	t.Cleanup(closeClient)
	headers := Headers{Attempt: "Attempt", Timeout: "Timeout"}
	s := NewServer(c.Controller, headers.Protocol(), client, func() float64 { return 0 }, 1<<20)
	c.SetDeclarations(routing.Declarations{Version: 3, Accounts: []routing.Account{{Name: "a", Keys: []string{"k"}}}, Routes: []routing.Route{{Name: "r", Host: "h", Prefix: "/r/", Splits: []routing.Split{{Pool: "p", Weight: 1}}}}})
	c.flush()
	get := func(path string) *httptest.ResponseRecorder {
		r := httptest.NewRequest(http.MethodGet, "http://h"+path, nil)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		return w
	}
	assert.Equal(t, http.StatusNotFound, get("/new/").Code)
	assert.Equal(t, http.StatusUnauthorized, get("/r/").Code, "no key")
	c.HandleBeacon(peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: 1, Version: 4}, peerAddr)
	c.flush()
	for _, path := range []string{"/new/", "/r/"} {
		w := get(path)
		assert.Equal(t, http.StatusServiceUnavailable, w.Code, path)
		assert.NotEmpty(t, w.Header().Get("Retry-After"))
	}
	t.Run("the newer declarations arrive", func(t *testing.T) {
		c.SetDeclarations(routing.Declarations{Version: 4})
		c.flush()
		assert.Equal(t, http.StatusNotFound, get("/new/").Code)
	})
	t.Run("nobody tells of newer ones any more", func(t *testing.T) {
		c.HandleBeacon(peer.Beacon{VM: "vm-2", Incarnation: "y", Sequence: 2, Version: 5}, peerAddr)
		c.flush()
		assert.Equal(t, http.StatusServiceUnavailable, get("/new/").Code)
		c.clock.advance(silenceTimeout + time.Millisecond)
		assert.Equal(t, http.StatusNotFound, get("/new/").Code)
	})
}

// TestDeclarationsInQuickSuccessionAreNotReadAgain guards against a VM whose waiting read is lost and that waits anew for it with each
// version of which it hears.
func TestDeclarationsInQuickSuccessionAreNotReadAgain(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	reads := 0
	c := NewController(peer.Identity{VM: "vm", Incarnation: "x"}, "zone", func(c *Controller) { c.now = func() time.Time { return now } },
		WithRegions(map[string]string{"zone": "north", "other": "south"}), WithDeclarationsRefresh(func() { reads++ }))
	begin := now
	for version := uint64(1); reads == 0 && now.Sub(begin) < 10*time.Second; version++ {
		c.refreshIfNewer(now, "other-vm", version)
		now = now.Add(100 * time.Millisecond)
	}
	assert.LessOrEqual(t, now.Sub(begin), groupRefreshWait+200*time.Millisecond)
}

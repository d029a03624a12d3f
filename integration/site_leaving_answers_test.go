package integration

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// mixedLoad sends streams and calls for the desk to all VMs for a while.
func (s *site) mixedLoad(duration time.Duration) []sentRequest {
	return s.sendRepeatedly(25*time.Millisecond, duration, func(n int) siteRequest {
		if n/len(s.vms)%2 == 0 {
			return siteRequest{path: "/status/a"}
		}
		return streamRequest("/review/a")
	})
}

// runCount returns how many requests, prefills included, a replica has run.
func (s *site) runCount(id string) int { return len(s.replicas[id].Runs()) }

// TestSiteReplicaThatSaysItLeavesGetsWork guards against requests for a replica that says in its answers that it is leaving, while
// its entry in the store does not.
func TestSiteReplicaThatSaysItLeavesGetsWork(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	leaving := []string{"p-0", "d-0", "s-0"}
	s.mixedLoad(500 * time.Millisecond)
	for _, id := range leaving {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Leaving: "1"})
	}
	// Each VM sends to each of them at least once more, and learns of it.
	s.mixedLoad(2 * time.Second)
	time.Sleep(maxSitePropagationDelay)
	before := map[string]int{}
	for _, id := range leaving {
		before[id] = s.runCount(id)
	}
	sent := s.mixedLoad(1500 * time.Millisecond)
	for _, id := range leaving {
		assert.Equal(t, before[id], s.runCount(id), id)
		// A heartbeat that still says that the replica is ready changes nothing.
		s.updateEntry(id, "state", "ready")
	}
	served, total := countServed(sent, time.Time{})
	assert.Equal(t, total, served, "the other replicas serve all")
	time.Sleep(time.Second)
	s.mixedLoad(time.Second)
	for _, id := range leaving {
		assert.Equal(t, before[id], s.runCount(id), id)
	}
	t.Run("a new process under the same ID", func(t *testing.T) {
		for _, id := range leaving {
			s.replicas[id].SetFaults(standin.ReplicaFaults{})
			s.updateEntry(id, "born", time.Now().UnixMilli())
		}
		for _, id := range []string{"p-1", "d-1", "s-1"} {
			s.replicas[id].SetFaults(standin.ReplicaFaults{Leaving: "1"})
		}
		s.eventually(10*time.Second, "all VMs know of the new processes", func() bool {
			for _, v := range s.vms {
				if len(s.logLines(v, "replica-restarted")) < len(leaving) {
					return false
				}
			}
			return true
		})
		s.eventually(10*time.Second, "it gets work again", func() bool {
			s.mixedLoad(200 * time.Millisecond)
			return s.runCount("p-0") > before["p-0"] && s.runCount("d-0") > before["d-0"] && s.runCount("s-0") > before["s-0"]
		})
	})
	t.Run("all replicas leave", func(t *testing.T) {
		s.replicas["s-0"].SetFaults(standin.ReplicaFaults{Leaving: "1"})
		s.mixedLoad(time.Second)
		for _, v := range s.vms {
			refused := s.send(v, siteRequest{path: "/status/a"})
			s.assertNotRun(t, refused)
			assert.Equal(t, http.StatusServiceUnavailable, refused.status)
			assert.NotEmpty(t, refused.header.Get("Retry-After"))
		}
	})
	t.Run("an odd value", func(t *testing.T) {
		s.replicas["x-0"].SetFaults(standin.ReplicaFaults{Leaving: "maybe"})
		s.configure(func(c *standin.Configuration) {
			c.Routes = append(c.Routes, standin.Route("spare", host, "/spare/", "idempotent", spareService, map[string]any{"maxAttempts": 2}))
		})
		s.eventually(5*time.Second, "the route is in force", func() bool { return s.send(s.vms[0], siteRequest{path: "/spare/a"}).status == http.StatusOK })
		for range 5 {
			assert.Equal(t, http.StatusOK, s.send(s.vms[0], siteRequest{path: "/spare/a"}).status)
		}
		s.eventually(2*time.Second, "one log line names the value", func() bool { return len(s.logLines(s.vms[0], "replica-leaving-invalid", "Value=maybe")) == 1 })
	})
}

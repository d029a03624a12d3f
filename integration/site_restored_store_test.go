package integration

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	topicVMs  = "keyed.cassiabridge-vms"
	topicCopy = "keyed.cassiabridge-copy"
	// maxRewriteDelay is the time within which the VMs write again what a restored store has lost.
	maxRewriteDelay = 4 * time.Second
	// entryRewriteDelay is the time within which replicas write their entries again after the store is back.
	entryRewriteDelay = 2 * time.Second
)

// configurationWith returns the configuration of the site with the next version and a change, without writing it.
func (s *site) configurationWith(change func(c *standin.Configuration)) standin.Configuration {
	s.config.Version++
	change(&s.config)
	return s.config
}

// addRoute returns a change that adds a public route with a name.
func addRoute(name string) func(c *standin.Configuration) {
	return func(c *standin.Configuration) {
		c.Routes = append(c.Routes, standin.Route(name, host, "/"+name+"/", "idempotent", deskService, map[string]any{"public": true}))
	}
}

// awaitStatus waits until a VM answers a path with a status.
func (s *site) awaitStatus(v *gatewayVM, path string, status int) {
	s.t.Helper()
	s.eventually(maxSitePropagationDelay, v.name+" answers "+path, func() bool { return s.send(v, siteRequest{path: path}).status == status })
}

func TestSiteRestoredStoreHidesChangesBehindReusedOffsets(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	older := s.store.Copy()
	s.configure(addRoute("lost"))
	for _, v := range s.vms {
		s.awaitStatus(v, "/lost/a", http.StatusOK)
	}
	// The new change gets the offset of the lost one, which the VMs have read.
	s.store.Restore(older, standin.ConfigurationRecord(s.configurationWith(addRoute("new"))))
	for _, v := range s.vms {
		s.awaitStatus(v, "/new/a", http.StatusOK)
	}
}

func TestSiteRestoredStoreLosesWhatTheVMsWrote(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	older := s.store.Copy()
	s.configure(addRoute("later"))
	copied := func() int {
		var d struct{ Version int }
		_ = json.Unmarshal(s.store.Newest(topicCopy, "Declarations"), &d)
		return d.Version
	}
	s.eventually(maxRewriteDelay, "the copy is written", func() bool { return copied() == s.config.Version })
	newer := s.newVM("vm-later")
	s.start(newer)
	s.awaitServing(newer)
	s.eventually(maxRewriteDelay, "the VM is recorded", func() bool { return s.store.Newest(topicVMs, newer.name) != nil })
	s.store.Restore(older)
	t.Run("copy of the declarations", func(t *testing.T) {
		assert.Eventually(t, func() bool { return copied() == s.config.Version }, maxRewriteDelay, 20*time.Millisecond)
	})
	t.Run("record of a VM", func(t *testing.T) {
		assert.Eventually(t, func() bool { return s.store.Newest(topicVMs, newer.name) != nil }, maxRewriteDelay, 20*time.Millisecond)
	})
}

func TestSiteVMStartsWithARestoredConfiguration(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	older := s.store.Copy()
	s.configure(func(c *standin.Configuration) {
		c.Tenants[1]["apiKeys"] = []string{"another-key-of-clinics"}
		addRoute("later")(c)
	})
	for _, v := range s.vms {
		s.awaitStatus(v, "/later/a", http.StatusOK)
	}
	s.store.Restore(older)
	v := s.newVM("vm-later")
	s.start(v)
	served := false
	for deadline := time.Now().Add(maxRewriteDelay); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if !s.isReady(v) {
			continue
		}
		a := s.send(v, siteRequest{path: "/status/a", key: clinicsKey})
		require.NotEqual(t, http.StatusOK, a.status, "a key that was withdrawn is accepted again")
		served = served || s.send(v, siteRequest{path: "/later/a"}).status == http.StatusOK
	}
	assert.True(t, served, "the VM serves with the newest configuration")
}

func TestSiteRestoredEntryRevivesALeavingReplica(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	v := s.vms[0]
	for _, id := range []string{"s-0", "s-1"} {
		s.updateEntry(id, "state", "ready")
	}
	older := s.store.Copy()
	s.updateEntry("s-0", "state", "draining")
	s.store.PutReplica("d-0", nil)
	s.eventually(maxSitePropagationDelay, "the VM knows", func() bool {
		return len(s.logLines(v, "Event=replica-listed", "Replica=s-0", "Leaving=true")) > 0 && len(s.logLines(v, "Event=replica-gone", "Replica=d-0")) > 0
	})
	runsOf := func(id string) int { return len(s.replicas[id].Runs()) }
	leaving, gone := runsOf("s-0"), runsOf("d-0")
	s.replicas["s-1"].SetFaults(standin.ReplicaFaults{Refuse: true})
	s.store.Restore(older)
	for deadline := time.Now().Add(entryRewriteDelay); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		s.send(v, siteRequest{path: "/status/a"})
		s.send(v, streamRequest("/review/a"))
	}
	assert.Equal(t, leaving, runsOf("s-0"), "a leaving replica gets new requests")
	assert.Equal(t, gone, runsOf("d-0"), "a replica that has gone gets new requests")
}

func TestSiteRestoredStoreLosesAReplicaThatServes(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	v := s.vms[0]
	older := s.store.Copy()
	s.addReplica(replicaSpec{standin.ReplicaConfig{ID: "s-2", WorkDuration: time.Millisecond}, deskService})
	s.eventually(maxSitePropagationDelay, "the replica is listed", func() bool { return len(s.logLines(v, "Event=replica-listed", "Replica=s-2")) > 0 })
	s.store.Restore(older)
	time.Sleep(entryRewriteDelay)
	s.updateEntry("s-2", "state", "ready")
	for _, id := range []string{"s-0", "s-1"} {
		s.replicas[id].SetFaults(standin.ReplicaFaults{Refuse: true})
	}
	s.awaitStatus(v, "/status/a", http.StatusOK)
	assert.Empty(t, s.logLines(v, "Event=replica-gone", "Replica=s-2"), "its entry was written again in time")
}

package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// partialOutage is how long the topic with the configuration is not answered.
	partialOutage = 4 * time.Second
	// stableWindow is the time after an outage within which the VMs must know what was written during it.
	stableWindow = 3 * time.Second
)

// withdrawClinicsKey removes the key of an account.
func withdrawClinicsKey(c *standin.Configuration) { c.Tenants[1]["apiKeys"] = []string{} }

// TestSiteKeyWithdrawnInAPartialOutageWorksOn guards against reads whose answers are lost, on which all VMs wait for long
// after the store is well again while a withdrawn key works on.
func TestSiteKeyWithdrawnInAPartialOutageWorksOn(t *testing.T) {
	t.Parallel()
	scenarios := []struct {
		name string
		vms  int
		// duringOutage is called after the key has been withdrawn. It may be nil.
		duringOutage func(s *site)
	}{
		{name: "one VM", vms: 1},
		{name: "three VMs", vms: 3},
		{name: "the VM that checks for all is killed", vms: 3, duringOutage: func(s *site) {
			s.kill(s.vms[0])
			s.vms = s.vms[1:]
		}},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, scenario.vms)
			s.configure(func(*standin.Configuration) {})
			time.Sleep(500 * time.Millisecond)
			for _, v := range s.vms {
				assert.Equal(t, http.StatusOK, s.send(v, siteRequest{path: "/status/a", key: clinicsKey}).status)
			}
			s.store.SilenceTopics("keyed.op")
			time.Sleep(partialOutage / 4)
			s.configure(withdrawClinicsKey)
			if scenario.duringOutage != nil {
				scenario.duringOutage(s)
			}
			time.Sleep(partialOutage * 3 / 4)
			s.store.SilenceTopics()
			time.Sleep(stableWindow)
			for _, v := range s.vms {
				assert.Equal(t, http.StatusUnauthorized, s.send(v, siteRequest{path: "/status/a", key: clinicsKey}).status, fmt.Sprint(v.name, " knows the new version"))
			}
		})
	}
}

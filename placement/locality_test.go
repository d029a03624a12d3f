package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/routing"
)

// TestRequestsStayInTheirRegions guards against requests that are served outside the regions which their route or account
// allows, also when the engines inside are busy or gone.
func TestRequestsStayInTheirRegions(t *testing.T) {
	limit := routing.RegionLimit{Limited: true, Allowed: []string{"north"}}
	s := newTestScheduler(0, 0)
	s.SetRegions(map[string]string{"zone-a": "south", "zone-b": "north"})
	for _, r := range []Replica{
		{ID: "p-south", Pool: enginePool, Address: "10.0.1.1:1", Zone: "zone-a", Stage: StagePrefill}, {ID: "d-south", Pool: enginePool, Address: "10.0.1.2:1", Zone: "zone-a", Stage: StageDecode},
		{ID: "p-north", Pool: enginePool, Address: "10.0.1.3:1", Zone: "zone-b", Stage: StagePrefill}, {ID: "d-north", Pool: enginePool, Address: "10.0.1.4:1", Zone: "zone-b", Stage: StageDecode},
		{ID: "s-unknown", Pool: "services", Address: "10.0.1.5:1", Zone: "zone-x", Slots: 6}, {ID: "s-north", Pool: "services", Address: "10.0.1.6:1", Zone: "zone-b", Slots: 6},
	} {
		s.SetReplica(r)
	}
	submit := func(id uint64) Decision {
		s.Submit(Request{ID: id, Pool: enginePool, PromptTokens: 1000, OutputTokens: 100, ArrivedAt: at(0), FirstEventDueAt: at(900 * time.Millisecond), ExpiresAt: at(14 * time.Second), Regions: limit})
		return s.Poll(at(0))[0]
	}
	for id := range uint64(5) {
		decision := submit(id + 1)
		assert.Equal(t, "p-north d-north", decision.Prefill.ID+" "+decision.Decode.ID)
	}
	for range 5 {
		decision := s.PickService(at(0), ServiceCall{Pool: "services", Regions: limit})
		assert.True(t, decision.Found)
		assert.Equal(t, "s-north", decision.Replica.ID)
	}
	s.RemoveReplica(at(0), "p-north")
	assert.Equal(t, RefuseNoEngine, submit(9).Kind)
	decision := s.PickService(at(0), ServiceCall{Pool: "services", Avoid: []string{"s-north"}, Regions: limit})
	assert.False(t, decision.Found)
}

// TestLocalEnginesComeFirst guards against work that leaves its availability zone while there is room, and against requests
// that wait although another zone or region has room.
func TestLocalEnginesComeFirst(t *testing.T) {
	newScheduler := func(zones ...string) *Scheduler {
		s := newTestScheduler(0, 0)
		s.SetRegions(map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"})
		s.SetLocalFirst(true)
		s.SetVMCount(79)
		for i, zone := range zones {
			for n := range 3 {
				s.SetReplica(Replica{ID: fmt.Sprintf("p-%s-%d", zone, n), Pool: enginePool, Address: fmt.Sprintf("10.1.%d.%d:1", i, n), Zone: zone, Stage: StagePrefill})
				s.SetReplica(Replica{ID: fmt.Sprintf("d-%s-%d", zone, n), Pool: enginePool, Address: fmt.Sprintf("10.2.%d.%d:1", i, n), Zone: zone, Stage: StageDecode})
			}
		}
		return s
	}
	// place places requests that each need 0.3 of an engine and returns the zones of their engines.
	place := func(s *Scheduler, count int) []string {
		var zones []string
		for id := range count {
			s.Submit(request(uint64(id+1), 0, 3*engineMemoryTokens/10, 0))
			for _, decision := range s.Poll(at(0)) {
				zones = append(zones, decision.Prefill.Zone+" "+decision.Decode.Zone)
			}
		}
		return zones
	}
	t.Run("as long as its own zone has room", func(t *testing.T) {
		for _, zones := range place(newScheduler("zone-a", "zone-b", "zone-c"), 9) {
			assert.Equal(t, "zone-a", zones[len(zones)-6:])
		}
	})
	t.Run("then the region", func(t *testing.T) {
		zones := place(newScheduler("zone-a", "zone-b", "zone-c"), 12)
		for _, z := range zones[9:] {
			assert.Contains(t, z, "zone-b")
		}
		assert.Len(t, zones, 12)
	})
	t.Run("then another region, if an engine has room for two", func(t *testing.T) {
		zones := place(newScheduler("zone-a", "zone-c"), 20)
		decodes := 0
		for _, z := range zones {
			if z[len(z)-6:] == "zone-c" {
				decodes++
			}
		}
		assert.Equal(t, 6, decodes, "two of the three that an engine holds")
	})
}

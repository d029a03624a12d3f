package integration

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSiteOneVMOfAGroupReadsTheList guards against VMs of a group that each read all entries of replicas from the store, and
// against changes that reach only the VM that reads.
func TestSiteOneVMOfAGroupReadsTheList(t *testing.T) {
	t.Parallel()
	s := newSite(t, 0)
	s.regions = map[string]string{"zone-a": "north", "zone-b": "south"}
	for n := range 4 {
		v := s.newVM(fmt.Sprint("vm-", n))
		s.vms = append(s.vms, v)
		s.start(v)
	}
	for _, v := range s.vms {
		s.awaitServing(v)
	}
	// countLines returns how many of the VMs have logged a line with all of the given substrings.
	countLines := func(substrings ...string) int {
		count := 0
		for _, v := range s.vms {
			if len(s.logLines(v, substrings...)) > 0 {
				count++
			}
		}
		return count
	}
	s.eventually(2*time.Second, "all but one got the list from that one", func() bool { return countLines("list-adopted", "Whole=true") == len(s.vms)-1 })
	awaitUnused := func(id string, vms []*gatewayVM) {
		s.eventually(4*time.Second, id+" is known to leave", func() bool {
			for _, v := range vms {
				if len(s.logLines(v, "replica-listed", "Replica="+id, "Leaving=true")) == 0 {
					return false
				}
			}
			return true
		})
	}
	s.updateEntry("s-0", "state", "draining")
	awaitUnused("s-0", s.vms)
	s.eventually(2*time.Second, "the change was passed on", func() bool { return countLines("list-adopted", "Whole=false") == len(s.vms)-1 })
	t.Run("the reader is killed", func(t *testing.T) {
		s.kill(s.vms[0])
		s.updateEntry("d-0", "state", "draining")
		awaitUnused("d-0", s.vms[1:])
	})
	t.Run("it starts again", func(t *testing.T) {
		s.start(s.vms[0])
		s.awaitServing(s.vms[0])
		assert.Equal(t, http.StatusOK, s.send(s.vms[0], siteRequest{path: "/status/a"}).status)
	})
}

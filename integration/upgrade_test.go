package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// unreadableEvents are the events of messages and records that a VM could not read or did not take.
var unreadableEvents = []string{
	"Event=beacon-rejected", "Event=declarations-page-ignored", "Event=declarations-unreadable", "Event=declarations-ignored", "Event=replica-entry-unreadable",
	"Event=copy-unreadable", "Event=streams-unreadable", "Event=vm-record-ignored", "panic:",
}

// upgradeSite is a site whose VMs are replaced by other builds under load.
type upgradeSite struct {
	*versionedSite
	load *upgradeLoad
	// logs holds the logs of the processes that have ended, by VM.
	logs map[string][]string
	// slowest is the longest time that a change of the declarations took, and changes how many there were.
	slowest time.Duration
	changes int
	// killed counts the VMs of the last landing that did not end by themselves.
	killed int
}

// upgradeGrace is the Grace setting of the VMs.
const upgradeGrace = 3 * time.Second

// newUpgradeSite starts VMs of a build in two zones of a region and in another region.
func newUpgradeSite(t *testing.T, build string) *upgradeSite {
	t.Helper()
	s := &upgradeSite{versionedSite: newVersionedSite(t, 0, "v1", "v2"), logs: map[string][]string{}}
	s.graceMillis = int(upgradeGrace.Milliseconds())
	if *upgradeFrom != "30b7090" {
		s.regions = map[string]string{"zone-a": "north", "zone-b": "north", "zone-c": "south"}
	}
	s.configure(func(c *standin.Configuration) {
		c.Tenants[1]["ratePerS"], c.Tenants[1]["burst"] = clinicsRate, clinicsBurst
	})
	for n, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		v := s.newVMIn(fmt.Sprint("vm-", n), zone)
		v.build = build
		s.vms = append(s.vms, v)
		s.start(v)
	}
	for _, v := range s.vms {
		s.awaitServing(v)
	}
	// Streams of one engine of each version break, and go on at the other one.
	s.replicas["d-0"].SetFaults(cutStreams)
	s.replicas["d-2"].SetFaults(cutStreams)
	return s
}

// newVMIn returns a VM of an availability zone.
func (s *site) newVMIn(name, zone string) *gatewayVM {
	v := s.newVM(name)
	settings := s.settings(v, name, map[string]any{"Level": "info"})
	settings["AvailabilityZone"] = zone
	v.writeSettings(s.t, settings)
	return v
}

// replace stops a VM in an orderly way and starts it with another build.
func (s *upgradeSite) replace(t *testing.T, n int, build string) {
	t.Helper()
	v := s.vms[n]
	s.load.away[n].Add(1)
	s.stop(t, v)
	s.logs[v.name] = append(s.logs[v.name], s.log(v))
	v.build = build
	s.start(v)
	s.awaitServing(v)
	s.load.away[n].Add(1)
}

// stop stops a VM in an orderly way. One of the last landing may not end by itself (regression test TestStoppedVMDoesNotEnd), and is
// killed after its grace period, as the platform does.
func (s *upgradeSite) stop(t *testing.T, v *gatewayVM) {
	t.Helper()
	v.signal(t, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- v.cmd.Wait() }()
	select {
	case err := <-ended:
		require.NoError(t, err, v.name)
	case <-time.After(upgradeGrace):
		assert.NotEqual(t, binary, v.build, "%s ends within its grace period", v.name)
		s.killed++
		require.NoError(t, v.cmd.Process.Kill())
		<-ended
	}
}

// change declares another route and a key, withdraws the last key, and checks that all VMs apply that in time.
func (s *upgradeSite) change(t *testing.T) {
	t.Helper()
	s.changes++
	path, key := fmt.Sprintf("/new-%d/a", s.changes), fmt.Sprint("key-", s.changes)
	withdrawn := fmt.Sprint("key-", s.changes-1)
	start := time.Now()
	s.configure(func(c *standin.Configuration) {
		c.Routes = append(c.Routes[:5:5], standin.Route("new", host, strings.TrimSuffix(path, "a"), "idempotent", deskService, nil))
		c.Tenants = append(c.Tenants[:2:2], map[string]any{"name": "guests", "apiKeys": []string{key}, "unit": "token_count", "uncachedTokens": 200, "ratePerS": 1e7, "burst": 1e7})
	})
	var checks sync.WaitGroup
	took := make([]time.Duration, len(s.vms))
	for n, v := range s.vms {
		checks.Go(func() {
			for took[n] == 0 && time.Since(start) < 4*maxSitePropagationDelay {
				inForce := s.send(v, siteRequest{path: path, key: key}).status == http.StatusOK
				if inForce && s.send(v, siteRequest{path: "/status/a", key: withdrawn}).status == http.StatusUnauthorized {
					took[n] = time.Since(start)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	checks.Wait()
	for n, v := range s.vms {
		assert.NotZero(t, took[n], "%s applies change %d", v.name, s.changes)
		assert.LessOrEqual(t, took[n], maxSitePropagationDelay, "%s applies change %d in time", v.name, s.changes)
		s.slowest = max(s.slowest, took[n])
	}
	t.Logf("change %d is in force after %v", s.changes, took)
}

// assertAllRead checks that no VM, of either build, met a message or a record that it could not read.
func (s *upgradeSite) assertAllRead(t *testing.T) {
	t.Helper()
	for _, v := range s.vms {
		for _, log := range append(s.logs[v.name], s.log(v)) {
			for line := range strings.Lines(log) {
				for _, event := range unreadableEvents {
					assert.NotContains(t, line, event, v.name)
				}
			}
		}
	}
}

// TestSiteUpgrade guards against VMs of the last landing and of this one that do not understand each other while they run side by side.
func TestSiteUpgrade(t *testing.T) {
	t.Parallel()
	older := buildCommit(t, *upgradeFrom)
	s := newUpgradeSite(t, older)
	load, stopLoad := startLoad(s.site)
	s.load = load
	s.change(t)
	steps := []struct {
		vm    int
		build string
	}{{0, binary}, {1, binary}, {2, binary}, {3, binary}, {0, older}, {2, older}, {2, binary}, {0, binary}}
	for _, step := range steps {
		s.replace(t, step.vm, step.build)
		s.change(t)
	}
	stopLoad()
	t.Logf("%d calls, %d served, slowest change %v, %d VMs killed after their grace period", len(load.sent), load.countCalls(served), s.slowest, s.killed)
	load.assertCalls(t, map[string]string{"d-0": "v1", "d-1": "v1", "d-2": "v2", "d-3": "v2"})
	load.assertServed(t)
	load.assertQuota(t)
	s.assertAllRead(t)
}

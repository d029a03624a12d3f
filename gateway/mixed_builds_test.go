package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/peer"
)

// withoutCapabilities returns a message as builds send and forward it that do not know what is said of capabilities.
func withoutCapabilities(b peer.Beacon) peer.Beacon {
	b.Format, b.Capabilities = 0, 0
	b.Members = slices.Clone(b.Members)
	for n := range b.Members {
		b.Members[n].Capabilities = 0
	}
	return b
}

// withAllCapabilities returns a message as builds take it that do not know what is said of capabilities: they count on all VMs.
func withAllCapabilities(b peer.Beacon) peer.Beacon {
	b.Capabilities = passingOn | peer.RelaysConnections
	b.Members = slices.Clone(b.Members)
	for n := range b.Members {
		b.Members[n].Capabilities = b.Capabilities
	}
	return b
}

// runOlder has a VM run a new process, of a build that does not pass declarations on: it reads them by itself, and knows no messages about
// them.
func (f *simFleet) runOlder(v *simVM) {
	v.self.Incarnation, v.startedAt = "older", f.now
	v.silentBuild, v.setDeclarationsReading, v.waitsForConfig = true, nil, true
}

// forEachMixedFleet runs a test on fleets with filled links, fewer of the largest, which take long to simulate.
func forEachMixedFleet(t *testing.T, test func(t *testing.T, f *simFleet)) {
	t.Helper()
	for _, size := range simSizes {
		for _, seed := range simSeeds {
			if size == simSizes[len(simSizes)-1] && seed != simSeeds[0] {
				continue
			}
			t.Run(fmt.Sprintf("%d VMs, seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(t, size, size)
				f.random = rand.New(rand.NewPCG(seed, seed))
				f.fillLinks(0.9)
				f.run(4 * time.Second)
				test(t, f)
			})
		}
	}
}

// assertInForceInTime checks how long changes of long declarations take.
func assertInForceInTime(t *testing.T, f *simFleet) {
	t.Helper()
	f.run(2 * time.Second)
	f.declareRoutes(200)
	took := time.Duration(0)
	for range 3 {
		f.configure()
		took = max(took, f.runUntil(20*time.Second, isConfigured(f)))
		f.run(time.Duration(f.random.Int64N(int64(time.Second))))
	}
	t.Logf("%d kB in force after %v", f.configSize/1000, took)
	assert.LessOrEqual(t, took, configTarget)
}

// TestOlderReadersPassNoDeclarationsOn guards against a region whose VMs wait for readers of an older build, which pass nothing on.
func TestOlderReadersPassNoDeclarationsOn(t *testing.T) {
	t.Parallel()
	forEachMixedFleet(t, func(t *testing.T, f *simFleet) {
		for _, v := range farReaders(f)[:regionReaders] {
			f.runOlder(v)
		}
		assertInForceInTime(t, f)
	})
}

// TestOlderVMsInTheTreePassNoDeclarationsOn guards against VMs below one of an older build in the tree along which declarations are told.
func TestOlderVMsInTheTreePassNoDeclarationsOn(t *testing.T) {
	t.Parallel()
	forEachMixedFleet(t, func(t *testing.T, f *simFleet) {
		// The older VMs read for themselves, so they are few: each copy crosses the link between the regions.
		older := farReaders(f)
		for n := 0; n < 4; n++ {
			f.runOlder(older[n*len(older)/4])
		}
		assertInForceInTime(t, f)
	})
}

// TestUpgradedVMsBesideSilentOnes guards against an upgrade from a build that passes declarations on and does not say so.
func TestUpgradedVMsBesideSilentOnes(t *testing.T) {
	t.Parallel()
	forEachMixedFleet(t, func(t *testing.T, f *simFleet) {
		for n, v := range f.vms {
			v.silentBuild = n%2 == 0
		}
		assertInForceInTime(t, f)
	})
}

// TestPeersThatDoNotRelayAreNotAsked guards against connections through peers of an older build, which opens none for others.
func TestPeersThatDoNotRelayAreNotAsked(t *testing.T) {
	t.Parallel()
	for _, regions := range []map[string]string{nil, {"zone": "north", "far": "south"}} {
		t.Run(fmt.Sprintf("%d zones", len(regions)), func(t *testing.T) {
			c := NewController(peer.Identity{VM: "vm-0", Incarnation: "x"}, "zone", WithRegions(regions))
			for n, capabilities := range []peer.Capabilities{0, passingOn, peer.RelaysConnections} {
				name := fmt.Sprint("vm-", n+1)
				c.handleBeacon(peer.Beacon{VM: name, Incarnation: "y", AvailabilityZone: "zone", Sequence: 1, Capabilities: capabilities}, netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7500", n+2)))
			}
			c.updatePeers(c.now())
			var names []string
			for _, p := range c.RelayPeers() {
				names = append(names, p.VM)
			}
			assert.Equal(t, []string{"vm-3"}, names)
		})
	}
}

// TestSummariesOfOlderBuildsHideCapabilities guards against VMs that rely on others and do not by turns, since every other summary comes
// through a VM that drops what it does not know.
func TestSummariesOfOlderBuildsHideCapabilities(t *testing.T) {
	t.Parallel()
	said := peer.Member{VM: "m", Uptime: time.Minute, Capabilities: passingOn}
	assert.Equal(t, passingOn, knownCapabilities(said, peer.Member{VM: "m", Uptime: time.Minute + time.Second}), "the process runs on")
	assert.Zero(t, knownCapabilities(said, peer.Member{VM: "m", Uptime: time.Second}), "another process has taken its place")
	assert.Equal(t, peer.RelaysConnections, knownCapabilities(said, peer.Member{VM: "m", Uptime: 2 * time.Minute, Capabilities: peer.RelaysConnections}))
	assert.Zero(t, knownCapabilities(peer.Member{}, peer.Member{VM: "m", Uptime: time.Minute}))
}

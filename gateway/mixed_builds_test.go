package gateway

import (
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

// runOlder has a VM run a build that does not pass declarations on: it reads them by itself, and knows no messages about them.
func (f *simFleet) runOlder(v *simVM) {
	v.silentBuild, v.setDeclarationsReading, v.waitsForConfig = true, nil, true
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
	forEachSizeAndSeed(t, func(t *testing.T, f *simFleet) {
		for _, v := range farReaders(f)[:regionReaders] {
			f.runOlder(v)
		}
		assertInForceInTime(t, f)
	})
}

// TestOlderVMsInTheTreePassNoDeclarationsOn guards against VMs below one of an older build in the tree along which declarations are told.
func TestOlderVMsInTheTreePassNoDeclarationsOn(t *testing.T) {
	t.Parallel()
	forEachSizeAndSeed(t, func(t *testing.T, f *simFleet) {
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
	forEachSizeAndSeed(t, func(t *testing.T, f *simFleet) {
		for n, v := range f.vms {
			v.silentBuild = n%2 == 0
		}
		assertInForceInTime(t, f)
	})
}

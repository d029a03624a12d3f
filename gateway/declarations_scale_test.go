package gateway

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// configBound is the time within which declarations are in force in the users' largest deployment of two regions, whatever fails.
const configBound = 4 * time.Second

// simSeeds are the seeds of simulations in which requests fill the link between the regions at random.
var simSeeds = []uint64{1, 2, 3, 4, 5}

// forEachSizeAndSeed runs a test on a fleet of each size and with each seed that has run for some seconds while requests take nine
// tenths of the link between the regions.
func forEachSizeAndSeed(t *testing.T, test func(t *testing.T, f *simFleet)) {
	for _, size := range simSizes {
		for _, seed := range simSeeds {
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

// TestNewDeclarationsCrossTheLinkForEachVM guards against far VMs that each read new declarations over a link that requests fill, so that
// long ones are in force seconds late there.
func TestNewDeclarationsCrossTheLinkForEachVM(t *testing.T) {
	t.Parallel()
	const longDeclarations = 400
	forEachSizeAndSeed(t, func(t *testing.T, f *simFleet) {
		f.declareRoutes(longDeclarations)
		took := time.Duration(0)
		for range 3 {
			f.configure()
			took = max(took, f.runUntil(20*time.Second, isConfigured(f)))
			f.run(time.Duration(f.random.Int64N(int64(time.Second))))
		}
		t.Logf("%d kB in force after %v", f.configSize/1000, took)
		assert.LessOrEqual(t, took, configTarget)
	})
}

// TestChangesInQuickSuccessionFillTheLink guards against far VMs that each read one version after another of declarations that change
// faster than the link between the regions can carry them to each.
func TestChangesInQuickSuccessionFillTheLink(t *testing.T) {
	t.Parallel()
	forEachSizeAndSeed(t, func(t *testing.T, f *simFleet) {
		for range 12 {
			f.configure()
			f.run(time.Duration(100+f.random.IntN(300)) * time.Millisecond)
		}
		took := f.runUntil(20*time.Second, isConfigured(f))
		t.Logf("%d kB in force after %v", f.configSize/1000, took)
		assert.LessOrEqual(t, took, configTarget)
	})
}

// TestFarVMsGiveUpDeclarationsThatAreOnTheirWay guards against far VMs that ask again for declarations whose copies for all of them take
// the link between the regions for longer than each of them waits, so that what is under way is given up again and again.
func TestFarVMsGiveUpDeclarationsThatAreOnTheirWay(t *testing.T) {
	t.Parallel()
	for _, seed := range simSeeds {
		for _, size := range simSizes {
			t.Run(fmt.Sprintf("%d VMs, seed %d", size, seed), func(t *testing.T) {
				t.Parallel()
				f := newSimFleet(t, size, size)
				f.random = rand.New(rand.NewPCG(seed, seed))
				f.fillLinks(0.2)
				f.run(4 * time.Second)
				f.declareRoutes(200)
				f.configure()
				took := f.runUntil(20*time.Second, isConfigured(f))
				t.Logf("%d kB in force after %v", f.configSize/1000, took)
				assert.LessOrEqual(t, took, configTarget)
			})
		}
	}
}

// inForceAt returns a condition for all VMs but those that a test has taken the store from.
func inForceAt(f *simFleet) func(*simVM) bool {
	return func(v *simVM) bool { return v.cutFromStore || v.version() == f.config.Version }
}

// farReaders returns the VMs of the region far from the store in the order in which they read for it.
func farReaders(f *simFleet) []*simVM {
	var far []*simVM
	for _, v := range f.vms {
		if v.region == simSouth {
			far = append(far, v)
		}
	}
	slices.SortFunc(far, func(a, b *simVM) int { return cmp.Compare(a.self.VM, b.self.VM) })
	return far
}

// TestRegionWaitsForReadersThatFail guards against a region that gets no declarations while those that read them for it get no answers,
// or have frozen, and their beacons are still believed.
func TestRegionWaitsForReadersThatFail(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		far := farReaders(f)
		change := func(what string) {
			f.run(500 * time.Millisecond)
			f.configure()
			took := f.runUntil(2*configBound, inForceAt(f))
			t.Logf("%s: in force after %v", what, took)
			assert.LessOrEqual(t, took, configBound, what)
		}
		change("calm")
		for n, v := range far[:4] {
			v.cutFromStore = true
			change(fmt.Sprintf("%d readers without answers", n+1))
		}
		for _, v := range far[:4] {
			v.cutFromStore = false
		}
		f.run(3 * time.Second)
		change("with answers again")
		for n, v := range far[:3] {
			f.freeze(v)
			change(fmt.Sprintf("%d readers frozen", n+1))
		}
		for _, v := range far[:3] {
			f.thaw(v)
		}
		change("thawed")
	})
}

// TestVMThatHearsNoPeerMissesDeclarations guards against a VM that waits for others to tell it of declarations while it is cut off from
// all of them, and still reaches the store.
func TestVMThatHearsNoPeerMissesDeclarations(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		far := farReaders(f)
		alone := far[len(far)/2]
		alone.cutFromPeers = true
		for n := range 4 {
			f.run(time.Duration(n) * 400 * time.Millisecond)
			f.configure()
			took := f.runUntil(2*configBound, isConfigured(f))
			t.Logf("in force after %v", took)
			assert.LessOrEqual(t, took, configBound)
		}
		alone.cutFromPeers = false
		f.run(3 * time.Second)
		assert.False(t, alone.waitsForConfig, "others read for it again")
	})
}

// TestLostDatagramsHoldBackDeclarations guards against VMs that wait for a message which was lost.
func TestLostDatagramsHoldBackDeclarations(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		f.loss = 0.2
		before := f.configReadsOfAll()
		for range 3 {
			f.configure()
			took := f.runUntil(2*configBound, isConfigured(f))
			t.Logf("in force after %v", took)
			assert.LessOrEqual(t, took, configBound)
			f.run(time.Second)
		}
		reads := f.configReadsOfAll() - before
		t.Logf("%d reads", reads)
		assert.LessOrEqual(t, reads, len(f.vms)/2, "others have them")
	})
}

// TestDeclarationsOfAnOlderStoreAreToldAgain guards against VMs that take declarations for new which a store holds that has come back
// from an older copy.
func TestDeclarationsOfAnOlderStoreAreToldAgain(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 30, 30)
	f.run(4 * time.Second)
	f.config.Version = 70
	f.configure()
	f.run(configBound)
	older := f.config
	older.Version = 12
	f.config = older
	for _, v := range f.vms {
		f.readConfig(v)
	}
	f.run(configBound)
	for _, v := range f.vms {
		assert.EqualValues(t, 71, v.version(), v.self.VM)
	}
	f.config.Version = 95
	f.configure()
	assert.LessOrEqual(t, f.runUntil(2*configBound, isConfigured(f)), configTarget, "versions increase in uneven steps")
}

// TestEvacuationIsToldWithTheDeclarations guards against VMs that leave the operators' records to others, which tell them of declarations
// only.
func TestEvacuationIsToldWithTheDeclarations(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 79, 79)
	f.run(4 * time.Second)
	evacuated := func(v *simVM) bool { return v.zones.evacuated["b-north-2"] }
	f.configNext++
	next := f.configNext
	for _, v := range f.vms {
		if v.waitsForConfig {
			v.ApplyEvacuations(EvacuationUpdate{Requested: map[string]bool{"b-north-2": true}, Next: next})
			f.runTasks(v)
		}
	}
	took := f.runUntil(2*configBound, evacuated)
	t.Logf("in force after %v", took)
	assert.LessOrEqual(t, took, configTarget)
}

package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

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

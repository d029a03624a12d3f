package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Targets that hold for a fleet of any size.
const (
	configTarget = time.Second
	// drainBound is the time within which the users' largest deployment of two regions sends nothing more to a replica that leaves.
	drainBound = 4 * time.Second
	// maxBusiest bounds the traffic of the busiest VM, as a multiple of that in the middle.
	maxBusiest = 2
)

func isConfigured(f *simFleet) func(*simVM) bool {
	return func(v *simVM) bool { return v.version() == f.config.Version }
}

func knowsLeaving(id string) func(*simVM) bool {
	return func(v *simVM) bool { return !v.scheduler.Serves(id) }
}

// simSizes are the numbers of VMs that are simulated.
var simSizes = []int{30, 79, 300}

// forEachSize runs a test on a fleet of each size that has run for some seconds.
func forEachSize(t *testing.T, test func(t *testing.T, f *simFleet)) {
	for _, size := range simSizes {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(t, size, 4*size)
			f.run(4 * time.Second)
			test(t, f)
		})
	}
}

// TestRelaysOfALargeFleetFillTheirLinks guards against VMs that carry many times what others do, so that what waits behind it
// on their links is late.
func TestRelaysOfALargeFleetFillTheirLinks(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		const period = 2 * time.Second
		f.resetTraffic()
		f.run(period)
		rates := f.traffic(period)
		middle, busiest := rates[len(rates)/2], rates[len(rates)-1]
		t.Logf("%.0f kB/s in the middle, %.0f at the busiest, %.0f between the regions", middle/1000, busiest/1000, float64(f.between[simNorth].bytes)/period.Seconds()/1000)
		assert.LessOrEqual(t, busiest, maxBusiest*middle)
		took := time.Duration(0)
		for range 3 {
			f.configure()
			took = max(took, f.runUntil(10*time.Second, isConfigured(f)))
			f.run(time.Second)
		}
		t.Logf("declarations in force after %v", took)
		assert.LessOrEqual(t, took, configTarget)
	})
}

// TestLeavingReplicaIsUsedOnWhileTheReaderOfTheListFails guards against VMs that take the last read of the list for fresh after
// the VM that read it for all has frozen, or gets no more answers.
func TestLeavingReplicaIsUsedOnWhileTheReaderOfTheListFails(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		byRank := slices.SortedFunc(slices.Values(f.vms), func(a, b *simVM) int { return cmp.Compare(a.self.VM, b.self.VM) })
		leave := func(what string) {
			f.run(300 * time.Millisecond)
			id := f.leave(f.leaves).ID
			f.leaves++
			took := f.runUntil(2*drainBound, knowsLeaving(id))
			t.Logf("%s: in force after %v", what, took)
			assert.LessOrEqual(t, took, drainBound, what)
		}
		leave("calm")
		for n, v := range byRank[:3] {
			f.freeze(v)
			leave(fmt.Sprintf("%d readers frozen", n+1))
		}
		for _, v := range byRank[:3] {
			f.thaw(v)
		}
		f.run(3 * time.Second)
		for n, v := range byRank[:6] {
			v.cutFromStore = true
			f.run(time.Duration(n) * 150 * time.Millisecond)
			id := f.leave(f.leaves).ID
			f.leaves++
			took := f.runUntil(2*drainBound, func(other *simVM) bool { return other.cutFromStore || knowsLeaving(id)(other) })
			t.Logf("%d readers without answers: in force after %v", n+1, took)
			assert.LessOrEqual(t, took, drainBound)
		}
	})
}

// TestSummaryMakesAnOldReadLookFresh guards against a VM that passes on the age of a read as it was when it arrived, so that
// VMs of other groups do not take over from a reader that has failed.
func TestSummaryMakesAnOldReadLookFresh(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 30, 30)
	f.run(3 * time.Second)
	f.freeze(f.byName["vm-a-south-1-1"])
	f.run(3 * time.Second)
	f.thaw(f.byName["vm-a-south-1-1"])
	f.run(time.Second)
	f.byName["vm-a-south-1-1"].cutFromStore = true
	f.run(3 * time.Second)
	assert.Empty(t, f.tooYoung)
}

// TestAllVMsReadTheWholeListWhenTheyStart guards against a link between regions that is full for seconds when all VMs start, since
// each reads the entries of all replicas by itself, so that declarations are late.
func TestAllVMsReadTheWholeListWhenTheyStart(t *testing.T) {
	t.Parallel()
	for _, size := range simSizes {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(t, size, 10*size)
			f.run(700 * time.Millisecond)
			f.configure()
			took := f.runUntil(20*time.Second, isConfigured(f))
			t.Logf("declarations in force after %v", took)
			assert.LessOrEqual(t, took, drainBound)
			took += f.runUntil(20*time.Second, func(v *simVM) bool { return len(v.scheduler.Replicas()) == len(f.replicas) })
			reads := 0
			for _, v := range f.vms {
				reads += v.listReads
			}
			t.Logf("the list is known after %v, %d reads", took, reads)
			assert.LessOrEqual(t, took, drainBound)
		})
	}
}

// TestEachVMReadsWhatReplicasRewrite guards against VMs that each read all entries that replicas have rewritten without a change.
func TestEachVMReadsWhatReplicasRewrite(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		const period = 10 * time.Second
		f.resetTraffic()
		f.run(period)
		crossed := float64(f.between[simNorth].bytes) / period.Seconds()
		t.Logf("%.0f kB/s from the store's region", crossed/1000)
		assert.LessOrEqual(t, crossed, simRegionBytesPerSecond/2, "half of the link is for requests")
	})
}

// TestReadersOfTheListFillTheLinkToTheStore guards against a link between regions that is full of what thousands of replicas write
// to the store again and again, read by many VMs, so that declarations and leaving replicas are known late.
func TestReadersOfTheListFillTheLinkToTheStore(t *testing.T) {
	t.Parallel()
	for _, size := range simSizes {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(t, size, 10*size)
			f.churn(100 * time.Millisecond)
			f.run(5 * time.Second)
			const period = 5 * time.Second
			f.resetTraffic()
			f.run(period)
			crossed := float64(f.between[simNorth].bytes) / period.Seconds()
			t.Logf("%.0f kB/s from the store's region", crossed/1000)
			assert.LessOrEqual(t, crossed, simRegionBytesPerSecond/2, "half of the link is for requests")
			f.configure()
			took := f.runUntil(20*time.Second, isConfigured(f))
			t.Logf("declarations in force after %v", took)
			assert.LessOrEqual(t, took, configTarget)
			id := f.leave(f.leaves).ID
			took = f.runUntil(20*time.Second, knowsLeaving(id))
			t.Logf("a leaving replica is known after %v", took)
			assert.LessOrEqual(t, took, drainBound)
		})
	}
}

// TestNewReplicasFillTheLinksOfThoseThatTellOfThem guards against VMs whose messages about replicas that all start at once fill
// their links, are lost, and are asked for again.
func TestNewReplicasFillTheLinksOfThoseThatTellOfThem(t *testing.T) {
	t.Parallel()
	for _, size := range simSizes {
		t.Run(fmt.Sprintf("%d VMs", size), func(t *testing.T) {
			t.Parallel()
			const period = 4 * time.Second
			f := newSimFleet(t, size, 0)
			f.run(time.Second)
			f.resetTraffic()
			f.startReplicas(10*size, period)
			f.run(period / 2)
			f.configure()
			took := f.runUntil(20*time.Second, isConfigured(f))
			t.Logf("declarations in force after %v", took)
			assert.LessOrEqual(t, took, configTarget)
			f.run(period/2 - took)
			took = f.runUntil(20*time.Second, func(v *simVM) bool { return v.replicas.digest.Len() == 10*size })
			t.Logf("all replicas are known %v after the last has started", took)
			assert.LessOrEqual(t, took, drainBound)
			reads := 0
			for _, v := range f.vms {
				reads += v.listReads
			}
			rates := f.traffic(period + took)
			middle, busiest := rates[len(rates)/2], rates[len(rates)-1]
			sent := 0
			for _, v := range f.vms {
				sent = max(sent, v.up.bytes)
			}
			sentRate := float64(sent) / (period + took).Seconds()
			t.Logf("%d reads; %.0f kB/s in the middle, %.0f at the busiest; at most %.0f kB/s sent", reads, middle/1000, busiest/1000, sentRate/1000)
			assert.LessOrEqual(t, sentRate, simVMBytesPerSecond/2.0, "half of the link is for requests")
		})
	}
}

// TestEachVMReadsNewDeclarationsAgainAndAgain guards against VMs that hear of new declarations while their waiting read brings them, and
// read them once more, all over the same link.
func TestEachVMReadsNewDeclarationsAgainAndAgain(t *testing.T) {
	t.Parallel()
	forEachSize(t, func(t *testing.T, f *simFleet) {
		before := f.configReadsOfAll()
		const versions = 3
		for range versions {
			f.configure()
			took := f.runUntil(10*time.Second, isConfigured(f))
			assert.LessOrEqual(t, took, configTarget)
			f.run(2 * time.Second)
		}
		reads := float64(f.configReadsOfAll()-before) / versions / float64(len(f.vms))
		t.Logf("%.2f reads of a version by a VM", reads)
		assert.Less(t, reads, 1.1, "the waiting read is enough")
	})
}

// TestFarVMsLeaveTheListToThoseNearTheStore guards against a reader of the list for all that stands behind the link between regions.
func TestFarVMsLeaveTheListToThoseNearTheStore(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 79, 790)
	f.churn(100 * time.Millisecond)
	f.run(10 * time.Second)
	for _, v := range f.vms {
		if v.region == simSouth {
			assert.LessOrEqual(t, v.listReads, 1, v.self.VM)
		}
	}
}

// TestVMWithoutAnswersOfTheStoreReadsForAll guards against a reader for all that stays so while it gets no answers.
func TestVMWithoutAnswersOfTheStoreReadsForAll(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 30, 30)
	f.run(3 * time.Second)
	reader, next := f.byName["vm-b-north-1-1"], f.byName["vm-b-north-1-2"]
	assert.True(t, reader.readsForFleet())
	reader.cutFromStore = true
	f.run(drainBound)
	assert.False(t, reader.readsForFleet())
	assert.True(t, next.readsForFleet())
	reader.cutFromStore = false
	f.run(drainBound)
	assert.True(t, reader.readsForFleet(), "once it gets answers again")
}

// TestVMsReadTheListThatALostDatagramHeld guards against VMs that each read from the store, with all that replicas have rewritten,
// what a lost datagram would have told them.
func TestVMsReadTheListThatALostDatagramHeld(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 79, 790)
	f.loss = 0.2
	f.churn(100 * time.Millisecond)
	f.run(5 * time.Second)
	reads := func() (total, byReader int) {
		for _, v := range f.vms {
			total += v.listReads
			byReader = max(byReader, v.listReads)
		}
		return total, byReader
	}
	before, _ := reads()
	for range 10 {
		id := f.leave(f.leaves).ID
		f.leaves++
		took := f.runUntil(2*drainBound, knowsLeaving(id))
		t.Logf("in force after %v", took)
		assert.LessOrEqual(t, took, drainBound)
		f.run(time.Second)
	}
	after, byReader := reads()
	t.Logf("%d reads, %d by one VM", after-before, byReader)
	assert.LessOrEqual(t, after-before, 2*byReader, "one VM reads for all")
}

// TestListIsReadIfNobodyPassesItOn guards against VMs that wait for the list of replicas from a reader that cannot read it.
func TestListIsReadIfNobodyPassesItOn(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 30, 30)
	for n := 1; n <= 3; n++ {
		f.byName[fmt.Sprintf("vm-b-north-1-%d", n)].cutFromStore = true
	}
	took := f.runUntil(20*time.Second, func(v *simVM) bool { return v.cutFromStore || len(v.scheduler.Replicas()) == 30 })
	t.Logf("the list is known after %v", took)
	assert.LessOrEqual(t, took, drainBound)
}

package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
)

// simulatedVM is one VM of a simulated cluster that reads the replica list.
type simulatedVM struct {
	listReadSchedule
	// lastBeaconAt is when the last beacon of each peer arrived.
	lastBeaconAt map[int]time.Time
}

// countPrecedingPeers returns the number of live peers that take precedence over this VM.
func (r *simulatedVM) countPrecedingPeers(self int, now time.Time) int {
	count := 0
	for other, beaconAt := range r.lastBeaconAt {
		if other < self && now.Sub(beaconAt) <= silenceTimeout {
			count++
		}
	}
	return count
}

const (
	simulationStep = 10 * time.Millisecond
	// maxChangeDelay is the limit for the time until a change of the list is known to a VM that reaches the store.
	maxChangeDelay = 2 * time.Second
)

// faults tells which VMs cannot reach the store, and which pairs of VMs lose all beacons between them.
type faults struct {
	storeDown   func(vm int, at time.Duration) bool
	partitioned func(a, b int, at time.Duration) bool
}

// simulateReads simulates seven VMs for the given time, with a beacon loss of 5%. change returns the position of the
// last change of the list at a time, and vmCount the number of VMs for which the reads are paced. It returns the number of reads, and the longest time until a VM that reaches the store
// knew of a change.
func simulateReads(length time.Duration, vmCount int, change func(time.Duration) listPosition, f faults) (reads int, maxDelay time.Duration) {
	const vms = 7
	random := rand.New(rand.NewPCG(1, 2))
	var readers [vms]*simulatedVM
	var beaconAt, storeDownAt [vms]time.Duration
	for i := range readers {
		readers[i] = &simulatedVM{listReadSchedule: newListReadSchedule(), lastBeaconAt: map[int]time.Time{}}
		readers[i].vmCount, readers[i].readers = vmCount, vmCount
	}
	changedAt := time.Duration(0)
	for at := simulationStep; at < length; at += simulationStep {
		now := start.Add(at)
		changed := change(at)
		if changed != change(at-simulationStep) {
			changedAt = at
		}
		for i, r := range readers {
			dirty := false
			r.rank = r.countPrecedingPeers(i, now)
			if f.storeDown(i, at) {
				storeDownAt[i] = at
			} else if r.dueIn(now) <= 0 {
				reads++
				dirty = changed.after(r.changed)
				r.recordRead(now, changed)
				r.recordChange(changed)
			}
			if dirty || at-beaconAt[i] >= beaconInterval {
				beaconAt[i] = at
				for j, other := range readers {
					if j != i && !f.partitioned(i, j, at) && random.Float64() > 0.05 {
						other.lastBeaconAt[i] = now
						other.recordPeerRun(r.ranAt)
						other.recordPeerChange(now, r.changed)
					}
				}
			}
			if r.next != changed && storeDownAt[i] < changedAt {
				maxDelay = max(maxDelay, at-changedAt)
			}
		}
	}
	return reads, maxDelay
}

func noOutage(int, time.Duration) bool         { return false }
func noPartition(int, int, time.Duration) bool { return false }

// periodicChanges returns the last offset of a list that changes every 3.17 s, so that changes fall on varying moments
// between two reads.
func periodicChanges(at time.Duration) listPosition {
	return listPosition{offset: uint64(at / (3170 * time.Millisecond))}
}

// changesWithRestores is periodicChanges of a store that comes back from an older copy every 13 s: the offsets go back.
func changesWithRestores(at time.Duration) listPosition {
	const interval = 13 * time.Second
	return listPosition{era: uint64(at / interval), offset: uint64(at%interval/(3170*time.Millisecond)) + 2}
}

func TestOneVMReadsTheListForAll(t *testing.T) {
	const length = 60 * time.Second
	t.Run("without changes or faults", func(t *testing.T) {
		reads, _ := simulateReads(length, 7, func(time.Duration) listPosition { return listPosition{offset: 1} }, faults{noOutage, noPartition})
		perVM := int(length / listReadInterval)
		assert.Less(t, reads, 3*perVM, "fewer reads than three of the seven VMs polling on their own")
	})
	t.Run("constant changes at a large fleet", func(t *testing.T) {
		reads, _ := simulateReads(length, 95, func(at time.Duration) listPosition { return listPosition{offset: uint64(at / time.Second * 5)} }, faults{noOutage, noPartition})
		assert.LessOrEqual(t, reads, 7*int(length/maxChangeReadInterval)+int(length/listReadInterval), "each VM reads at most once in maxChangeReadInterval")
	})
	afterStart := func(at time.Duration) bool { return at > 10*time.Second }
	scenarios := []struct {
		name string
		faults
	}{
		{"no faults", faults{noOutage, noPartition}},
		{"the first VM never reaches the store", faults{func(vm int, _ time.Duration) bool { return vm == 0 }, noPartition}},
		{"the first three VMs lose the store", faults{func(vm int, at time.Duration) bool { return vm < 3 && afterStart(at) }, noPartition}},
		{"all beacons are lost", faults{noOutage, func(_, _ int, at time.Duration) bool { return afterStart(at) }}},
		{"the first VM is partitioned from the others", faults{noOutage, func(a, b int, at time.Duration) bool { return afterStart(at) && (a == 0) != (b == 0) }}},
		{"the last VM is partitioned from the others", faults{noOutage, func(a, b int, at time.Duration) bool { return afterStart(at) && (a == 6) != (b == 6) }}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for _, vmCount := range []int{7, 95} {
				for _, change := range []func(time.Duration) listPosition{periodicChanges, changesWithRestores} {
					_, maxDelay := simulateReads(length, vmCount, change, s.faults)
					assert.Less(t, maxDelay, maxChangeDelay, "%d VMs", vmCount)
					t.Logf("changes were known after at most %v with reads paced for %d VMs", maxDelay, vmCount)
				}
			}
		})
	}
}

// TestReadBeforeAToldChangeMakesAVMUpToDate guards against a VM that counts as up to date since it has read the list, though not up to the
// change of which a peer has told.
func TestReadBeforeAToldChangeMakesAVMUpToDate(t *testing.T) {
	l := newListReadSchedule()
	now := time.Now()
	l.recordRead(now, listPosition{1, 5})
	l.recordPeerChange(now, listPosition{1, 9})
	l.recordRead(now, listPosition{1, 8})
	assert.True(t, l.stale)
	l.recordRead(now, listPosition{1, 9})
	assert.False(t, l.stale)
	l.recordPeerChange(now, listPosition{1, 20})
	l.recordRead(now, listPosition{2, 3})
	assert.False(t, l.stale, "positions of an era that is over")
}

// TestReplicaThatCameAndWentIsForgotten guards against a software version that is not known since the entry of its replica was removed before
// it was read, and against an incomplete read that counts as evidence.
func TestReplicaThatCameAndWentIsForgotten(t *testing.T) {
	decode := func(id string, data []byte) (ReplicaEntry, error) {
		return ReplicaEntry{Replica: placement.Replica{ID: id, Pool: "p", SoftwareVersion: string(data)}}, nil
	}
	sentAt := time.Now()
	batch := follow.Batch{NextOffset: 4, SentAt: sentAt, Records: []follow.Record{{Key: "a", Value: []byte("v1")}, {Key: "b", Value: []byte("v2")}, {Key: "b"}}}
	update := NewReplicaUpdate(batch, decode)
	assert.Equal(t, sentAt, update.CompleteAt)
	c := NewController(peer.Identity{VM: "vm", Incarnation: "x"}, "zone")
	c.applyReplicas(c.now(), update)
	assert.Equal(t, []string{"v1", "v2"}, c.findOrigin(c.now(), "begun-elsewhere", "p", true).versions)
	batch.Partial = true
	assert.Zero(t, NewReplicaUpdate(batch, decode).CompleteAt)
}

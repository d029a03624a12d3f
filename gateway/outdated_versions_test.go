package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// takeUp is a caller that takes up a stream which the VM does not know. goesOn is nil while it waits, and then whether the stream goes on at
// the only version of which the VM knows.
type takeUp struct{ goesOn *bool }

// takeUpUnknown has a caller take up a stream at a VM that does not know it.
func takeUpUnknown(f *simFleet, v *simVM) *takeUp {
	caller := &takeUp{}
	f.onVM(v, f.now, func() {
		v.inquire("begun-elsewhere", "p", func(origin knownOrigin) {
			goesOn := origin.unknown == resumption.Known
			caller.goesOn = &goesOn
		})
	})
	return caller
}

// decide lets time pass until a caller has its answer, and returns whether the stream goes on.
func (u *takeUp) decide(f *simFleet) bool {
	for deadline := f.now.Add(2 * time.Second); u.goesOn == nil && f.now.Before(deadline); {
		f.run(time.Millisecond)
	}
	return assert.NotNil(f.t, u.goesOn, "the caller gets an answer") && *u.goesOn
}

// takeUpOften has callers take up unknown streams every 20 ms for a period, and returns whether any of them goes on.
func takeUpOften(f *simFleet, v *simVM, period time.Duration) (any bool) {
	var callers []*takeUp
	for end := f.now.Add(period); f.now.Before(end); f.run(20 * time.Millisecond) {
		callers = append(callers, takeUpUnknown(f, v))
	}
	for _, caller := range callers {
		any = caller.decide(f) || any
	}
	return any
}

// join has a replica of another software version join the fleet.
func join(f *simFleet) {
	replica := f.newReplica()
	replica.SoftwareVersion = "v2"
	f.changes[f.endOffset()] = replica
	f.replicas = append(f.replicas, replica)
}

// TestVMOutOfStepJoinsSoftwareVersions guards against a VM that goes on with streams which began elsewhere at the version that it knows,
// while it does not hear that replicas of another one have joined.
func TestVMOutOfStepJoinsSoftwareVersions(t *testing.T) {
	t.Parallel()
	const outOfStep = 3 * time.Second
	newFleet := func(t *testing.T, uptime time.Duration) (*simFleet, *simVM) {
		f := newSimFleet(t, 30, 60)
		f.run(uptime)
		v := f.vms[17]
		assert.True(t, takeUpUnknown(f, v).decide(f), "a single version in a calm fleet")
		return f, v
	}
	for name, uptime := range map[string]time.Duration{"cut off from peers and the store": 4 * time.Second, "cut off, after it has run for longer than peers are waited for": peerExpiry + 5*time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, v := newFleet(t, uptime)
			v.cutFromPeers, v.cutFromStore = true, true
			join(f)
			assert.False(t, takeUpOften(f, v, outOfStep), "from the beginning of the cut on")
			v.cutFromPeers, v.cutFromStore = false, false
			assert.False(t, takeUpOften(f, v, 2*time.Second), "after the cut")
		})
	}
	t.Run("cut off from peers", func(t *testing.T) {
		t.Parallel()
		f, v := newFleet(t, 4*time.Second)
		v.cutFromPeers = true
		f.run(outOfStep)
		join(f)
		assert.False(t, takeUpOften(f, v, outOfStep), "it reads the list by itself")
	})
	t.Run("cut off from the store", func(t *testing.T) {
		t.Parallel()
		f, v := newFleet(t, 4*time.Second)
		v.cutFromStore = true
		f.run(outOfStep)
		join(f)
		assert.True(t, takeUpUnknown(f, v).decide(f), "no VM that could begin a stream there has heard of it")
		f.run(1500 * time.Millisecond)
		assert.False(t, takeUpOften(f, v, outOfStep), "its peers know")
	})
	t.Run("frozen", func(t *testing.T) {
		t.Parallel()
		f, v := newFleet(t, 4*time.Second)
		f.freeze(v)
		join(f)
		f.run(outOfStep)
		v.held = nil
		f.thaw(v)
		assert.False(t, takeUpOften(f, v, 2*time.Second), "as it wakes up and later")
	})
	for name, read := range map[string]time.Duration{"frozen while an answer of the store is under way": simStoreTime, "frozen for longer than the store waits": simCallTimeout} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, v := newFleet(t, 4*time.Second)
			v.readList()
			f.run(read)
			f.freeze(v)
			f.run(simStoreTime)
			join(f)
			f.run(outOfStep)
			caller := takeUpUnknown(f, v)
			f.run(time.Millisecond)
			f.thaw(v)
			assert.False(t, caller.decide(f))
		})
	}
	t.Run("suspended, while its steady clock stood still", func(t *testing.T) {
		t.Parallel()
		f, v := newFleet(t, 4*time.Second)
		v.ageEvidence(outOfStep)
		assert.True(t, takeUpUnknown(f, v).decide(f), "it asks, so that what it knew does not count")
		join(f)
		assert.False(t, takeUpOften(f, v, time.Second))
	})
	t.Run("the store does not answer anybody", func(t *testing.T) {
		t.Parallel()
		f, v := newFleet(t, 4*time.Second)
		for _, other := range f.vms {
			other.cutFromStore = true
		}
		f.run(outOfStep)
		assert.True(t, takeUpUnknown(f, v).decide(f), "all peers answer, and none knows of another version")
		f.vms[3].cutFromPeers = true
		assert.False(t, takeUpOften(f, v, outOfStep), "one may know of another version")
	})
}

// TestVersionsOfAPeerAreIgnored guards against a VM that goes on with streams at the version that it knows, although a peer has told it of
// another one at which they may have begun.
func TestVersionsOfAPeerAreIgnored(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 7, 20)
	f.run(4 * time.Second)
	v, other := f.vms[1], f.vms[4]
	answer := peer.Beacon{VM: other.self.VM, Answer: &resumption.Answer{Versions: map[string][]string{"p": {"", "v2"}}}}
	v.handleStreamsMessage(answer, other.address)
	assert.Equal(t, resumption.SeveralVersions, v.findOrigin(f.now, "begun-elsewhere", "p", true).unknown)
}

// TestStreamsOfAFarGroupAreRefused guards against streams of which a VM of another group has never heard, and that it refuses although the VM
// at which they began answers.
func TestStreamsOfAFarGroupAreRefused(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 30, 60)
	join(f)
	f.run(4 * time.Second)
	v, far := f.vms[17], f.vms[3]
	assert.False(t, v.isMate(far.self.VM))
	far.cutFromPeers = true
	far.recordStreams([]string{"begun-elsewhere"}, placement.Replica{ID: "r", Pool: "p", SoftwareVersion: "v2"})
	f.run(4 * time.Second)
	assert.False(t, takeUpUnknown(f, v).decide(f), "it cannot be asked")
	far.cutFromPeers = false
	f.run(time.Second)
	assert.True(t, takeUpUnknown(f, v).decide(f))
}

// TestSharedQuestion guards against callers that each cause a question and a read of the store while one serves all.
func TestSharedQuestion(t *testing.T) {
	t.Parallel()
	f := newSimFleet(t, 30, 60)
	f.run(4 * time.Second)
	v := f.vms[17]
	reads := v.listReads
	var callers []*takeUp
	for range 200 {
		callers = append(callers, takeUpUnknown(f, v))
	}
	f.run(5 * time.Millisecond)
	for _, caller := range callers {
		assert.True(t, caller.decide(f))
	}
	assert.LessOrEqual(t, f.messages["StreamsQuestion"], 2)
	assert.LessOrEqual(t, v.listReads-reads, 3)
}

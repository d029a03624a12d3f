package gateway

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/fleet"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// groupFleet runs the control state of VMs in two regions, and passes their beacons on without a network.
type groupFleet struct {
	t       *testing.T
	regions map[string]string

	mu  sync.Mutex
	vms map[string]*groupVM
	// cut is whether the regions cannot reach each other.
	cut bool
	// crossed counts the messages between the regions.
	crossed int
}

// groupVM is one VM of a groupFleet.
type groupVM struct {
	*Controller
	zone    string
	address netip.AddrPort
	stop    func()
}

// newGroupFleet starts a number of VMs in each of two zones of each region.
func newGroupFleet(t *testing.T, vmsPerZone int) *groupFleet {
	t.Helper()
	f := &groupFleet{t: t, regions: map[string]string{"n-a": "north", "n-b": "north", "s-a": "south", "s-b": "south"}, vms: map[string]*groupVM{}}
	for zone := range f.regions {
		for n := range vmsPerZone {
			f.start(zone, fmt.Sprintf("%s-%d", zone, n))
		}
	}
	f.introduceAll()
	t.Cleanup(func() {
		for name := range f.vms {
			f.end(name)
		}
	})
	return f
}

func (f *groupFleet) start(zone, name string) *groupVM {
	f.mu.Lock()
	defer f.mu.Unlock()
	v := &groupVM{zone: zone, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(1000+len(f.vms)))}
	v.Controller = NewController(peer.Identity{VM: name, Incarnation: fmt.Sprint(time.Now().UnixNano())}, zone, WithRegions(f.regions),
		WithBeaconSender(func(b peer.Beacon, to []*net.UDPAddr) error {
			f.deliver(v, b, to)
			return nil
		}))
	v.address = netip.AddrPortFrom(v.address.Addr(), uint16(1000+len(f.vms)))
	v.Controller.address = v.address.String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		v.Run(ctx)
	}()
	v.stop = func() {
		cancel()
		<-done
	}
	f.vms[name] = v
	return v
}

// introduceAll tells each VM of all others, as the list of VMs does.
func (f *groupFleet) introduceAll() {
	for _, v := range f.vms {
		for other, peerVM := range f.vms {
			v.post(func() {
				v.registerVM(other, peerVM.address.String())
				v.setPeerZone(other, peerVM.zone)
			})
		}
		v.SetDeclarations(routing.Declarations{Version: 1, Accounts: []routing.Account{{Name: "a", Priority: -1, TokensPerSecond: 1, BurstTokens: 1000}},
			Pools: []routing.Pool{{Name: "p", Engine: &routing.EngineSpec{MaxRunning: 6, MemoryTokens: 10_000}}}})
	}
}

func (f *groupFleet) end(name string) {
	f.mu.Lock()
	v := f.vms[name]
	delete(f.vms, name)
	f.mu.Unlock()
	v.stop()
}

func (f *groupFleet) setCut(cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// deliver passes a message on, unless the regions are cut off from each other.
func (f *groupFleet) deliver(from *groupVM, b peer.Beacon, to []*net.UDPAddr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, addr := range to {
		for _, v := range f.vms {
			if int(v.address.Port()) != addr.Port {
				continue
			}
			crosses := f.regions[v.zone] != f.regions[from.zone]
			if crosses {
				f.crossed++
			}
			if crosses && f.cut {
				continue
			}
			select {
			case v.events <- event{func() { v.handleBeacon(b, from.address) }, time.Now()}:
			default:
			}
		}
	}
}

// awaitAll waits until a condition holds on all VMs.
func (f *groupFleet) awaitAll(timeout time.Duration, what string, condition func(v *groupVM) bool) {
	f.t.Helper()
	assert.Eventually(f.t, func() bool {
		for _, v := range f.vms {
			if !ask(v.Controller, func() bool { return condition(v) }) {
				return false
			}
		}
		return true
	}, timeout, 20*time.Millisecond, what)
}

// activePeers returns the number of peers that are not silent. It runs on the control goroutine.
func (v *groupVM) activePeers() int {
	count := 0
	for _, p := range v.peers {
		if !p.silent && !p.lastBeaconAt.IsZero() {
			count++
		}
	}
	return count
}

func (v *groupVM) level() float64 { return v.quotas.Level(time.Now(), "a") }

// TestGroupsOfVMsHearOfEachOther guards against state that does not cross groups and regions, a sender whose loss parts the
// groups for longer than a second, and messages between regions that grow with the number of pairs of VMs.
func TestGroupsOfVMsHearOfEachOther(t *testing.T) {
	t.Parallel()
	f := newGroupFleet(t, 4)
	f.awaitAll(4*time.Second, "all VMs are known to be active", func(v *groupVM) bool { return v.activePeers() == 15 && v.listSchedule.vmCount == 16 })
	t.Run("loads and spent tokens", func(t *testing.T) {
		for _, v := range f.vms {
			v.ApplyReplicas(ReplicaUpdate{Listed: []placement.Replica{
				{ID: "p", Pool: "p", Address: "10.1.0.2:1", Slots: 6, Zone: "n-a", Stage: placement.StagePrefill}, {ID: "e", Pool: "p", Address: "10.1.0.1:1", Slots: 6, Zone: "n-a", Stage: placement.StageDecode},
			}})
		}
		for _, name := range []string{"n-a-3", "s-b-2"} {
			v := f.vms[name]
			assert.True(t, v.admit("a", "p", 300).ok)
			for range 2 {
				decision, _ := v.place(context.Background(), placement.Request{Pool: "p", PromptTokens: 500, ArrivedAt: time.Now(), FirstEventDueAt: time.Now().Add(time.Second), ExpiresAt: time.Now().Add(time.Second)})
				assert.Equal(t, "e", decision.Decode.ID)
			}
		}
		f.awaitAll(2*time.Second, "each VM knows what all have spent", func(v *groupVM) bool { return v.level() < 420 && v.level() > 390 })
		f.awaitAll(2*time.Second, "each VM knows the load of all others", func(v *groupVM) bool {
			own := v.scheduler.OwnLoads()["e"].Requests
			return v.scheduler.PeerInFlight("e")+own == 4
		})
	})
	t.Run("the sender of a group is killed", func(t *testing.T) {
		group := []string{"s-a-0", "s-a-1", "s-a-2", "s-a-3"}
		sender := fleet.SenderTo("n-a/0", group)
		rest := slices.DeleteFunc(group, func(vm string) bool { return vm == sender })
		leaving := rest[0]
		f.end(sender)
		killed := time.Now()
		f.vms[leaving].Leave()
		f.awaitAll(2500*time.Millisecond, "the groups hear of each other through another sender", func(v *groupVM) bool {
			return v.self.VM == leaving || v.peers[leaving].leaving
		})
		assert.Less(t, time.Since(killed), 2500*time.Millisecond)
		f.awaitAll(4*time.Second, "its end is known", func(v *groupVM) bool { return v.activePeers() == 14 })
		f.awaitAll(time.Second, "what was spent still counts", func(v *groupVM) bool { return v.level() < 450 })
	})
	t.Run("messages between the regions", func(t *testing.T) {
		f.mu.Lock()
		before := f.crossed
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		f.mu.Lock()
		crossed := f.crossed - before
		f.mu.Unlock()
		// Two groups of each region send each other a summary five times a second.
		assert.LessOrEqual(t, crossed, 2*2*2*2*5*12/10)
	})
	t.Run("the regions are cut off from each other", func(t *testing.T) {
		f.setCut(true)
		f.awaitAll(4*time.Second, "VMs of the other region are silent", func(v *groupVM) bool { return v.activePeers() <= 7 && v.listSchedule.vmCount >= 15 })
		f.setCut(false)
		f.awaitAll(4*time.Second, "they are heard again", func(v *groupVM) bool { return v.activePeers() == 14 })
	})
	t.Run("a VM is added", func(t *testing.T) {
		added := f.start("s-b", "s-b-9")
		for name, v := range f.vms {
			added.post(func() {
				added.registerVM(name, v.address.String())
				added.setPeerZone(name, v.zone)
			})
		}
		f.awaitAll(4*time.Second, "all others hear of it", func(v *groupVM) bool {
			p := v.peers["s-b-9"]
			return v.self.VM == "s-b-9" || p != nil && !p.silent && !p.lastBeaconAt.IsZero()
		})
	})
}

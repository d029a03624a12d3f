package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// Parameters of a simulated fleet in two regions, whose store stands in the north.
const (
	// simVMBytesPerSecond is the rate of each VM's link in each direction, simRegionBytesPerSecond that of the link between
	// the regions.
	simVMBytesPerSecond     = 10e6 / 8
	simRegionBytesPerSecond = 60e6 / 8
	simZoneDelay            = 500 * time.Microsecond
	simRegionDelay          = 20 * time.Millisecond
	simStoreTime            = 4 * time.Millisecond
	// simMaxLinkWait is the time that a datagram may wait at a link before it is dropped.
	simMaxLinkWait = time.Second
	// simEntryBytes is the size of an entry of the list of replicas, simRoutes the number of routes that are declared.
	simEntryBytes = 230
	simRoutes     = 60
	// simCallTimeout is how long a VM waits for an answer of the store that does not come.
	simCallTimeout = 1500 * time.Millisecond
	// simRetryDelay is the pause before a failed read is tried again.
	simRetryDelay = 700 * time.Millisecond
	// simRewriteInterval is how often each replica writes its entry again, without a change of the list.
	simRewriteInterval = 1200 * time.Millisecond
	// simAgeUnit is the unit of the ages in messages.
	simAgeUnit = time.Millisecond
)

// simVM is one VM of a simFleet.
type simVM struct {
	*Controller
	zone, region string
	address      netip.AddrPort
	up, down     simLink
	// wake numbers the planned wake-ups; an older one does nothing.
	wake int
	// held holds what arrives while the VM is frozen.
	held   []func()
	frozen bool
	// silentBuild is whether the VM runs a build that does not say what it does for others.
	silentBuild bool
	// cutFromPeers is whether no message reaches this VM or leaves it.
	cutFromPeers bool
	// cutFromStore is whether reads of the store fail, listNext the offset that its next read of the list starts at.
	cutFromStore bool
	listNext     uint64
	listSnapshot bool
	listReads    int
	// reading is whether a read of the list is in flight, and readAgain whether another one has been asked for meanwhile.
	reading, readAgain bool
	// listReading and checkReading are the newest read of the list and the newest check of the declarations that it knows of.
	listReading, checkReading simReading
	// waitsForConfig is whether this VM keeps a waiting read of the declarations.
	waitsForConfig bool
	configReads    int
}

// simFleet runs the control state of VMs in simulated time, with links of limited rate and a store.
type simFleet struct {
	t       testing.TB
	now     time.Time
	start   time.Time
	events  simQueue
	order   int
	vms     []*simVM
	byName  map[string]*simVM
	byAddr  map[netip.AddrPort]*simVM
	between map[string]*simLink
	// replicas holds the list of replicas, changes the entries that changed it, by offset.
	replicas []placement.Replica
	zones    []string
	changes  map[uint64]placement.Replica
	// config holds the newest declarations, of which each answer of the store holds configSize bytes.
	config     routing.Declarations
	configSize int
	// configNext is the offset after the last of the operators' records.
	configNext uint64
	// listed is the number of replicas at the start, and rewrites how many entries have been rewritten until rewrittenAt.
	listed      int
	rewrites    float64
	rewrittenAt time.Time
	// leaves counts the replicas that have left.
	leaves int
	// listReadAt and checkedAt are when the store last answered a read of the list, and a check of the declarations, of any VM.
	// tooYoung holds messages by which that was later.
	listReadAt, checkedAt time.Time
	tooYoung              []string
	// messages counts the messages that were sent, by scope.
	messages map[peer.Scope]int
	// loss is the share of datagrams that are lost, and random decides which.
	loss   float64
	random *rand.Rand
}

const (
	simNorth = "north"
	simSouth = "south"
)

// newSimFleet returns a fleet of VMs in three zones of each region that know each other, before a number of replicas.
func newSimFleet(t testing.TB, vms, replicas int) *simFleet {
	t.Helper()
	begin := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := &simFleet{messages: map[peer.Scope]int{}, random: rand.New(rand.NewPCG(1, 2)), t: t, now: begin, start: begin, listed: replicas, rewrittenAt: begin, byName: map[string]*simVM{}, byAddr: map[netip.AddrPort]*simVM{}, changes: map[uint64]placement.Replica{},
		between: map[string]*simLink{simNorth: {rate: simRegionBytesPerSecond}, simSouth: {rate: simRegionBytesPerSecond}}}
	zones := []string{"a-south-1", "a-south-2", "a-south-3", "b-north-1", "b-north-2", "b-north-3"}
	regions := map[string]string{}
	for n, zone := range zones {
		regions[zone] = simNorth
		if n < 3 {
			regions[zone] = simSouth
		}
	}
	f.zones = zones
	for range replicas {
		f.replicas = append(f.replicas, f.newReplica())
	}
	var accounts []routing.Account
	for n := range 16 {
		accounts = append(accounts, routing.Account{Name: fmt.Sprintf("account-%03d", n), Priority: -1, TokensPerSecond: 1e6, BurstTokens: 1e7})
	}
	f.config = routing.Declarations{Version: 1, Accounts: accounts, Pools: []routing.Pool{{Name: "p", Engine: &routing.EngineSpec{MaxRunning: 32, MemoryTokens: 75_000}}}}
	f.declareRoutes(simRoutes)
	for n := range vms {
		f.addVM(fmt.Sprintf("vm-%s-%d", zones[n%6], n/6+1), zones[n%6], regions)
	}
	for _, v := range f.vms {
		for _, other := range f.vms {
			v.registerVM(other.self.VM, other.address.String())
		}
		for _, other := range f.vms {
			if p := v.peers[other.self.VM]; p != nil {
				p.zone = other.zone
			}
		}
		v.groups.layoutOutdated = true
		v.SetDeclarations(f.config)
		v.ApplyEvacuations(EvacuationUpdate{Snapshot: true, Next: f.configNext})
		f.wakeAt(v, f.now.Add(time.Duration(len(v.self.VM)*7)*time.Millisecond))
		f.every(v, 100*time.Millisecond)
	}
	return f
}

// newReplica returns the next replica.
func (f *simFleet) newReplica() placement.Replica {
	n := len(f.replicas)
	return placement.Replica{ID: fmt.Sprintf("i-%010x", n*7_654_321), Pool: "p", Address: fmt.Sprintf("10.%d.64.%d:8080", n/200+1, n%200+1), Zone: f.zones[n%6], Slots: 32,
		Stage: []placement.Stage{placement.StagePrefill, placement.StageDecode, placement.StageDecode}[n/6%3]}
}

// startReplicas has replicas start one after the other within a period.
func (f *simFleet) startReplicas(count int, period time.Duration) {
	for n := range count {
		f.at(f.now.Add(period*time.Duration(n)/time.Duration(count)), func() {
			replica := f.newReplica()
			f.changes[f.endOffset()] = replica
			f.replicas = append(f.replicas, replica)
		})
	}
}

func (f *simFleet) addVM(name, zone string, regions map[string]string) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(f.vms) / 250), byte(1 + len(f.vms)%250)}), 7500)
	v := &simVM{waitsForConfig: true, zone: zone, region: regions[zone], address: addr, up: simLink{rate: simVMBytesPerSecond}, down: simLink{rate: simVMBytesPerSecond}}
	v.Controller = NewController(peer.Identity{VM: name, Incarnation: "x"}, zone, func(c *Controller) { c.now = func() time.Time { return f.now } }, WithRegions(regions),
		WithBeaconSender(func(b peer.Beacon, to []*net.UDPAddr) error { return f.sendBeacon(v, b, to) }),
		WithDeclarationsRefresh(func() { f.readConfig(v) }), WithListReader(func() { f.readList(v) }), WithDeclarationsCheck(func() { f.check(v) }),
		WithDeclarationsFeed(func(reads bool) { f.setWaiting(v, reads) }, func(uint64, uint64) {}),
		WithStoreDelay(func() time.Duration { return f.storeDelay(v.region) }),
		WithListFeed(func(offset, _ uint64) { v.listNext, v.listSnapshot = max(v.listNext, offset), true }))
	v.Controller.address = addr.String()
	f.vms = append(f.vms, v)
	f.byName[name], f.byAddr[addr] = v, v
}

// every keeps a VM busy: it admits a request at the interval, and holds some at engines.
func (f *simFleet) every(v *simVM, interval time.Duration) {
	account := 0
	var admit func()
	admit = func() {
		account++
		now := f.now
		v.quotas.Take(now, fmt.Sprintf("account-%03d", account%16), 100)
		v.beacon.tokensSpent = true
		if account%5 == 0 {
			v.beacon.dirty = true
		}
		f.at(now.Add(interval), admit)
	}
	f.at(f.now.Add(interval), admit)
	for n := range 4 {
		v.scheduler.Submit(placement.Request{ID: uint64(1_000_000 + n), Pool: "p", PromptTokens: 3000, OutputTokens: 70, ArrivedAt: f.now, FirstEventDueAt: f.now.Add(time.Hour), ExpiresAt: f.now.Add(time.Hour)})
	}
}

func (f *simFleet) at(at time.Time, run func()) {
	f.order++
	heap.Push(&f.events, simEvent{at: at, order: f.order, run: run})
}

// onVM runs a function on a VM at a time, or when it wakes up if it is frozen, and then the tasks that are due.
func (f *simFleet) onVM(v *simVM, at time.Time, run func()) {
	f.at(at, func() {
		if v.frozen {
			v.held = append(v.held, run)
			return
		}
		run()
		f.runTasks(v)
	})
}

func (f *simFleet) wakeAt(v *simVM, at time.Time) {
	v.wake++
	wake := v.wake
	f.at(at, func() {
		if wake == v.wake && !v.frozen {
			f.runTasks(v)
		}
	})
}

// runTasks runs what has been posted to a VM and its due tasks, as its event loop does.
func (f *simFleet) runTasks(v *simVM) {
	for len(v.events) > 0 {
		(<-v.events).run()
	}
	f.wakeAt(v, f.now.Add(v.runDueTasks(f.now)))
}

// run lets a period pass.
func (f *simFleet) run(period time.Duration) {
	end := f.now.Add(period)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// runUntil lets time pass until a condition holds on all VMs but those that are frozen, and returns how long that took.
func (f *simFleet) runUntil(limit time.Duration, condition func(v *simVM) bool) time.Duration {
	begin := f.now
	for f.now.Sub(begin) < limit {
		f.run(10 * time.Millisecond)
		if !slices.ContainsFunc(f.vms, func(v *simVM) bool { return !v.frozen && !condition(v) }) {
			break
		}
	}
	return f.now.Sub(begin)
}

// transfer returns when a message has passed the links from one place to another, and false if it is dropped at an overfull one.
func (f *simFleet) transfer(from, to *simLink, fromRegion, toRegion string, size int, drops bool) (time.Time, bool) {
	at, delay := f.now, simZoneDelay
	for _, link := range []*simLink{from, f.between[fromRegion], to} {
		if link == nil || link == f.between[fromRegion] && fromRegion == toRegion {
			continue
		}
		if drops && link.wait(at) > simMaxLinkWait {
			return at, false
		}
		at = link.send(at, size)
	}
	if fromRegion != toRegion {
		delay += simRegionDelay
	}
	return at.Add(delay), true
}

func (f *simFleet) sendBeacon(v *simVM, b peer.Beacon, to []*net.UDPAddr) error {
	if v.silentBuild {
		b = withoutCapabilities(b)
	}
	data, err := peer.EncodeBeacon(b)
	require.NoError(f.t, err)
	f.checkAges(v, b)
	f.messages[b.Scope]++
	for _, addr := range to {
		other := f.byAddr[addr.AddrPort()]
		if f.random.Float64() < f.loss || v.cutFromPeers || other.cutFromPeers {
			continue
		}
		if at, ok := f.transfer(&v.up, &other.down, v.region, other.region, len(data), true); ok {
			received := b
			if other.silentBuild {
				received = withAllCapabilities(b)
			}
			list, check, link := v.listReading, v.checkReading, at.Sub(f.now)
			f.onVM(other, at, func() {
				other.hearAges(b, at, list, check, link)
				other.handleBeacon(received, v.address)
			})
		}
	}
	return nil
}

func (f *simFleet) freeze(v *simVM) { v.frozen = true }

func (f *simFleet) thaw(v *simVM) {
	v.frozen = false
	held := v.held
	v.held = nil
	for _, run := range held {
		run()
	}
	f.runTasks(v)
}

// traffic returns the bytes per second that the VMs send and receive, in ascending order, since resetTraffic.
func (f *simFleet) traffic(period time.Duration) []float64 {
	var rates []float64
	for _, v := range f.vms {
		rates = append(rates, float64(v.up.bytes+v.down.bytes)/period.Seconds())
	}
	slices.Sort(rates)
	return rates
}

// fillLinks has requests take what is left up to a share of the link between the regions, in each direction, in bursts.
func (f *simFleet) fillLinks(share float64) {
	const interval = 10 * time.Millisecond
	budget := int(share * simRegionBytesPerSecond * interval.Seconds())
	sent := map[string]int{}
	var fill func()
	fill = func() {
		for _, region := range []string{simNorth, simSouth} {
			link := f.between[region]
			left := max(0, budget-(link.bytes-sent[region]))
			link.send(f.now, int(2*f.random.Float64()*float64(left)))
			sent[region] = link.bytes
		}
		f.at(f.now.Add(interval), fill)
	}
	f.at(f.now, fill)
}

func (f *simFleet) resetTraffic() {
	for _, v := range f.vms {
		v.up.bytes, v.down.bytes = 0, 0
	}
	for _, link := range f.between {
		link.bytes = 0
	}
}

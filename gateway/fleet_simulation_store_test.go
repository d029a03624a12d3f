package gateway

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// storeDelay returns how long a call to the store takes from a region while no link is busy.
func (f *simFleet) storeDelay(region string) time.Duration {
	if region == simNorth {
		return simStoreTime + 2*simZoneDelay
	}
	return simStoreTime + 2*(simZoneDelay+simRegionDelay)
}

// endOffset is the offset after the last record of the list of replicas.
func (f *simFleet) endOffset() uint64 {
	f.rewrites += f.now.Sub(f.rewrittenAt).Seconds() / simRewriteInterval.Seconds() * float64(len(f.replicas))
	f.rewrittenAt = f.now
	return uint64(f.listed+len(f.changes)) + uint64(f.rewrites)
}

// answer sends an answer of the store to a VM, after the way there and back. A VM that is cut off from the store gives up after
// simCallTimeout.
func (f *simFleet) answer(v *simVM, size func() int, apply, giveUp func()) {
	timeOut := f.now.Add(simCallTimeout)
	if v.cutFromStore {
		f.onVM(v, timeOut, giveUp)
		return
	}
	asked, _ := f.transfer(&v.up, nil, v.region, simNorth, 200, false)
	f.at(asked.Add(simStoreTime), func() {
		at, _ := f.transfer(nil, &v.down, simNorth, v.region, size(), false)
		f.onVM(v, at, func() {
			if v.cutFromStore {
				f.onVM(v, later(f.now, timeOut), giveUp)
				return
			}
			apply()
		})
	})
}

// readList lets a VM read the list of replicas, after the read that is in flight if there is one.
func (f *simFleet) readList(v *simVM) {
	if v.reading {
		v.readAgain = true
		return
	}
	v.reading = true
	sentAt := f.now
	var update ReplicaUpdate
	f.answer(v, func() int {
		v.listReads++
		update = ReplicaUpdate{Next: f.endOffset(), CompleteAt: sentAt, offsets: map[string]uint64{}, versions: map[string]EntryVersion{}, coldFor: map[string]time.Duration{}}
		records := update.Next - v.listNext
		if !v.listSnapshot {
			update.Snapshot, update.Listed, records = true, slices.Clone(f.replicas), uint64(len(f.replicas))
		} else {
			for offset, replica := range f.changes {
				if offset >= v.listNext {
					update.Listed = append(update.Listed, replica)
					update.offsets[replica.ID] = offset
				}
			}
		}
		return int(records) * simEntryBytes
	}, func() {
		v.listSnapshot, f.listReadAt = true, f.now
		v.listReading.hear(f.now, 0)
		v.listNext = max(v.listNext, update.Next)
		v.applyReplicas(f.now, update)
		f.endRead(v)
		v.SetStoreReachable(true)
	}, func() {
		f.endRead(v)
		v.SetStoreReachable(false)
		f.onVM(v, f.now.Add(simRetryDelay), func() { f.readList(v) })
	})
}

// endRead ends a read of the list, and begins the next one if it has been asked for.
func (f *simFleet) endRead(v *simVM) {
	again := v.readAgain
	v.reading, v.readAgain = false, false
	if again {
		f.readList(v)
	}
}

func (f *simFleet) readConfig(v *simVM) {
	// A new read gives up the last one, whose answer crosses the links all the same.
	v.configReads++
	read := v.configReads
	var d routing.Declarations
	var next uint64
	f.answer(v, func() int {
		d, next = f.config, f.configNext
		return f.configSize
	}, func() {
		if read != v.configReads {
			return
		}
		v.SetDeclarations(d)
		v.ApplyEvacuations(EvacuationUpdate{Snapshot: true, Next: next})
	}, func() {})
}

// setWaiting sets whether a VM keeps a waiting read of the declarations. What it has missed is read at once.
func (f *simFleet) setWaiting(v *simVM, waits bool) {
	v.waitsForConfig = waits
	if waits && v.version() < f.config.Version {
		f.readConfig(v)
	}
}

// check answers whether there are newer declarations.
func (f *simFleet) check(v *simVM) {
	var version uint64
	f.answer(v, func() int {
		version = f.config.Version
		return 200
	}, func() {
		f.checkedAt = f.now
		v.checkReading.hear(f.now, 0)
		v.RecordDeclarationsCheck()
		if version > v.version() {
			f.readConfig(v)
		}
	}, func() {})
}

// declareRoutes declares a number of routes from the next version on.
func (f *simFleet) declareRoutes(count int) {
	f.config.Routes = nil
	for n := range count {
		host := fmt.Sprintf("%08x%08x.example", f.random.Uint32(), f.random.Uint32())
		f.config.Routes = append(f.config.Routes, routing.Route{Name: fmt.Sprintf("route-%08x", f.random.Uint32()), Host: host, Prefix: fmt.Sprintf("/%08x/", f.random.Uint32()),
			Timeout: 14 * time.Second, LatencyTarget: time.Duration(n) * time.Millisecond, MaxAttempts: 2, Splits: []routing.Split{{Pool: "p", Weight: 1}}})
	}
	data, err := json.Marshal(f.config)
	require.NoError(f.t, err)
	f.configSize = len(data)
}

// configure writes new declarations. All waiting reads are answered.
func (f *simFleet) configure() {
	f.config.Version++
	f.configNext++
	for _, v := range f.vms {
		if v.waitsForConfig {
			f.readConfig(v)
		}
	}
}

// leave has a replica write that it is leaving.
func (f *simFleet) leave(n int) placement.Replica {
	offset := f.endOffset()
	replica := f.replicas[n]
	replica.Leaving = true
	f.replicas[n] = replica
	f.changes[offset] = replica
	return replica
}

// churn has one replica after another write a changed entry, at an interval.
func (f *simFleet) churn(interval time.Duration) {
	n := 0
	var change func()
	change = func() {
		n = (n + 1) % len(f.replicas)
		offset := f.endOffset()
		f.replicas[n].Slots++
		f.changes[offset] = f.replicas[n]
		f.at(f.now.Add(interval), change)
	}
	f.at(f.now, change)
}

// configReadsOfAll returns how often VMs have read the declarations.
func (f *simFleet) configReadsOfAll() int {
	reads := 0
	for _, v := range f.vms {
		reads += v.configReads
	}
	return reads
}

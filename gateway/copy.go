package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
	"github.com/cassiabridge/cassiabridge/routing"
)

// Keys of the backup copy of the declarations and the replica list. The copy is kept in a topic of its own, because
// single topics of the store may be unavailable while all VMs are restarted.
const (
	copyKeyDeclarations = "Declarations"
	copyKeyReplicas     = "Replicas"
	copyKeyQuarantine   = "Quarantine"
	copyKeyVMs          = "VMs"
	copyKeyEvacuated    = "EvacuatedZones"
	copyKeyVersions     = "SoftwareVersions"
)

const (
	// copyInterval is how often the leader checks whether the copy is outdated.
	copyInterval = time.Second
	// copyTimeout is the timeout of one store call.
	copyTimeout = 1500 * time.Millisecond
	// maxCopyBytes is below the record size limit of the store.
	maxCopyBytes = 200 << 10
	// copyRetryDelay is the delay before a failed read is retried.
	copyRetryDelay = 300 * time.Millisecond
)

// CopyStore gives access to the stored backup copy. Put replaces the value of a key, and Newest returns the newest
// record of each key. Era returns the era of the store: what was written in an older one may be lost.
type CopyStore struct {
	Era    func() uint64
	Put    func(ctx context.Context, key string, value []byte) error
	Newest func(ctx context.Context) ([]follow.Record, error)
}

// copyState is the state that the copy contains. leader is whether this VM is the one that writes it.
type copyState struct {
	leader   bool
	table    *routing.Table
	replicas []placement.Replica
	// quarantined is the evidence on the quarantined parts of prompts.
	quarantined map[string]quarantine.Evidence
	// vms holds the records of all VMs by name, or nothing if the list of VMs has not been read.
	vms map[string]VMRecord
	// evacuated holds the evacuated availability zones.
	evacuated []string
	// versions holds the software versions at which streams may have begun that can still be resumed, by pool.
	versions map[string][]string
}

// collectCopyState returns the state to copy, without doubtful replicas, if this VM is the leader. The leader is the VM with the lowest name
// among those that are neither silent nor leaving. It returns false if ctx is done before.
func (c *Controller) collectCopyState(ctx context.Context) (copyState, bool) {
	return askUntilDone(ctx, c, func() copyState {
		k := copyState{leader: true}
		for name, p := range c.peers {
			if name < c.self.VM && !p.silent && !p.leaving {
				k.leader = false
			}
		}
		if !k.leader {
			return k
		}
		k.table, k.quarantined, k.vms, k.evacuated = c.table.Load(), c.quarantine.Quarantined(), c.vmRecords(), slices.Sorted(maps.Keys(c.zones.evacuated))
		k.versions = c.streamVersions()
		for _, replica := range c.scheduler.Replicas() {
			if !replica.Doubtful {
				k.replicas = append(k.replicas, replica)
			}
		}
		return k
	})
}

// MaintainCopy writes the declarations and the replicas whenever they have changed, as long as this VM is the leader.
// It returns when ctx is done. Two VMs that both consider themselves the leader write the same values.
func (c *Controller) MaintainCopy(ctx context.Context, copies CopyStore) {
	written, writtenIn := map[string]string{}, copies.Era()
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if era := copies.Era(); era != writtenIn {
			clear(written)
			writtenIn = era
		}
		k, ok := c.collectCopyState(ctx)
		if !ok {
			return
		}
		if !k.leader || k.table == nil || len(k.replicas) == 0 {
			clear(written)
			continue
		}
		c.writeCopy(ctx, copies, written, copyKeyDeclarations, k.table.Declarations)
		c.writeCopy(ctx, copies, written, copyKeyReplicas, k.replicas)
		if k.versions != nil {
			c.writeCopy(ctx, copies, written, copyKeyVersions, k.versions)
		}
		if len(k.vms) > 0 {
			c.writeCopy(ctx, copies, written, copyKeyVMs, k.vms)
		}
		if len(k.evacuated) > 0 || written[copyKeyEvacuated] != "" {
			c.writeCopy(ctx, copies, written, copyKeyEvacuated, k.evacuated)
		}
		if len(k.quarantined) > 0 || written[copyKeyQuarantine] != "" {
			c.writeCopy(ctx, copies, written, copyKeyQuarantine, k.quarantined)
		}
	}
}

func (c *Controller) writeCopy(ctx context.Context, copies CopyStore, written map[string]string, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		c.log.Error("copy-not-written", zap.String("Key", key), zap.Error(err))
		return
	}
	if written[key] == string(data) {
		return
	}
	if len(data) > maxCopyBytes {
		written[key] = string(data)
		c.log.Warn("copy-too-large", zap.String("Key", key), zap.Int("Bytes", len(data)))
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	if err := copies.Put(callCtx, key, data); err != nil {
		c.log.Info("copy-not-written", zap.String("Key", key), zap.Error(err))
		return
	}
	written[key] = string(data)
	c.log.Info("copy-written", zap.String("Key", key), zap.Int("Bytes", len(data)))
}

// RestoreCopy restores the state from the copy when the process starts, except for parts of which newer data has been
// read already. It retries until the copy has been read or ctx is done.
func (c *Controller) RestoreCopy(ctx context.Context, copies CopyStore) {
	for ctx.Err() == nil && !c.ReadCopy(ctx, copies) {
		select {
		case <-ctx.Done():
		case <-time.After(copyRetryDelay):
		}
	}
}

// ReadCopy reads the copy once and applies what is newer than the state of this VM. It returns false if it cannot be read.
func (c *Controller) ReadCopy(ctx context.Context, copies CopyStore) bool {
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	records, err := copies.Newest(callCtx)
	if err != nil {
		c.log.Info("copy-not-read", zap.Error(err))
		return false
	}
	c.applyCopy(records)
	return true
}

func (c *Controller) applyCopy(records []follow.Record) {
	versions, versionsReadable := map[string][]string{}, true
	for _, record := range records {
		var err error
		switch record.Key {
		case copyKeyDeclarations:
			var d routing.Declarations
			if err = json.Unmarshal(record.Value, &d); err == nil {
				c.SetDeclarations(d)
			}
		case copyKeyReplicas:
			var replicas []placement.Replica
			if err = json.Unmarshal(record.Value, &replicas); err == nil {
				c.restoreReplicas(replicas)
			}
		case copyKeyQuarantine:
			var quarantined map[string]quarantine.Evidence
			if err = json.Unmarshal(record.Value, &quarantined); err == nil {
				c.restoreQuarantine(quarantined)
			}
		case copyKeyEvacuated:
			var evacuated []string
			if err = json.Unmarshal(record.Value, &evacuated); err == nil {
				c.restoreEvacuations(evacuated)
			}
		case copyKeyVersions:
			err = json.Unmarshal(record.Value, &versions)
			versionsReadable = err == nil
		case copyKeyVMs:
			var vms map[string]VMRecord
			if err = json.Unmarshal(record.Value, &vms); err == nil {
				c.restoreVMs(vms)
			}
		}
		if err != nil {
			c.log.Warn("copy-unreadable", zap.String("Key", record.Key), zap.Error(err))
		}
	}
	if versionsReadable {
		c.restoreStreamVersions(versions)
	}
}

// vmRecords returns the records of all VMs by name, without those that have not been heard for a long time. It returns
// nil if the list of VMs has not been read.
func (c *Controller) vmRecords() map[string]VMRecord {
	if !c.vmListRead || c.address == "" {
		return nil
	}
	records := map[string]VMRecord{c.self.VM: {Address: c.address, AvailabilityZone: c.zone}}
	for name, p := range c.peers {
		if c.now().Sub(later(p.lastBeaconAt, p.listedAt)) <= peerExpiry {
			records[name] = VMRecord{Address: p.address.String(), AvailabilityZone: p.zone}
		}
	}
	return records
}

// restoreVMs registers the VMs of the copy, unless the list of VMs itself has been read already. All VMs may have been
// restarted while that list cannot be read; without it, each would take itself for the only one.
func (c *Controller) restoreVMs(vms map[string]VMRecord) {
	c.post(func() {
		if c.vmListRead || len(vms) == 0 {
			return
		}
		for name, vm := range vms {
			c.registerVM(name, vm.Address)
			c.setPeerZone(name, vm.AvailabilityZone)
		}
		c.fleetListed, c.peersChanged = true, true
		c.log.Info("vms-adopted", zap.Int("VMs", len(vms)))
	})
}

// restoreReplicas adds the replicas of the copy, unless the replica list itself has been read already.
func (c *Controller) restoreReplicas(replicas []placement.Replica) {
	c.post(func() {
		if c.replicas.everRead {
			return
		}
		for _, replica := range replicas {
			c.scheduler.SetReplica(replica)
		}
		c.log.Info("replicas-adopted", zap.Int("Replicas", len(replicas)))
	})
}

package app

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/platform"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	// declarationsPollTimeout is the long-poll timeout for a new version of the declarations.
	declarationsPollTimeout = 10 * time.Second
	// vmsReadInterval is the interval between two reads of the list of VMs. Beacons announce new VMs in between.
	vmsReadInterval = 60 * time.Second
	// replicasReadInterval is the interval between two reads of the list of replicas if the controller triggers none.
	replicasReadInterval = time.Hour
	// announceRetryDelay is the delay after which a VM retries a failed write of its own record.
	announceRetryDelay = 500 * time.Millisecond
	// announceTimeout is the timeout of a write of a VM's own record.
	announceTimeout = 2 * time.Second
	// storeDialTimeout is the timeout for opening a connection to the store.
	storeDialTimeout = 700 * time.Millisecond
)

// newStoreSource returns a configSource that follows the platform's metadata store, and a function that closes it.
func newStoreSource(cfg settings.Settings, log *zap.Logger, gatewayMetrics *metrics.Gateway) (configSource, func()) {
	client, closeClient := exchange.NewClient(exchange.WithDialTimeout(storeDialTimeout))
	syncer := newStoreSyncer(cfg, log)
	eras := follow.NewEraTracker(log, syncer.refreshAll)
	observeTraffic := func(topic string, bytes int) { gatewayMetrics.StoreBytes.WithLabelValues(topic).Add(float64(bytes)) }
	syncer.eras, syncer.store = eras, platform.NewStore(client, cfg.Gateway.Store, eras.Observe, platform.WithTrafficObserver(observeTraffic), platform.WithDelayObserver(syncer.fastestCall.record))
	return configSource{
		protocol: platform.Protocol(), readinessPath: platform.ReadinessPath, run: syncer.follow,
		options: []gateway.Option{gateway.WithDeclarationsRefresh(syncer.refreshDeclarations), gateway.WithListReader(syncer.refreshReplicas),
			gateway.WithDeclarationsCheck(syncer.checkDeclarations),
			gateway.WithSharedStore(cfg.Listen.Peers, syncer.refreshCopy), gateway.WithListFeed(syncer.advanceReplicas), gateway.WithDeclarationsFeed(syncer.setDeclarationsReading, syncer.advanceDeclarations), gateway.WithStoreDelay(syncer.fastestCall.get)},
		reload: func(*gateway.Controller) error { return nil },
	}, closeClient
}

// storeSyncer applies changes in the metadata store to the controller of a VM, and writes the VM's own record to the
// store.
type storeSyncer struct {
	store *platform.Store
	eras  *follow.EraTracker
	log   *zap.Logger
	vm    string
	// ownRecord is this VM's record. announceNeeded is signaled if the store does not hold it.
	ownRecord      gateway.VMRecord
	announceNeeded chan struct{}
	// declarationsRefresh and replicasRefresh trigger an immediate read of the declarations and the list of replicas.
	declarationsRefresh chan struct{}
	replicasRefresh     chan struct{}
	// declarationsCheck triggers a check for newer declarations.
	declarationsCheck chan struct{}
	// vmsRefresh and copyRefresh trigger a read of the list of VMs and of the backup copy.
	vmsRefresh  chan struct{}
	copyRefresh chan struct{}
	// fastestCall is the time that the store's fastest answer has taken.
	fastestCall minDuration
	// replicas follows the list of replicas, and declarations the operators' records. They are nil before that begins.
	replicas, declarations atomic.Pointer[follow.Follower]
}

// newStoreSyncer returns a storeSyncer that lacks its store and eras: what follows a new era is its own.
func newStoreSyncer(cfg settings.Settings, log *zap.Logger) *storeSyncer {
	return &storeSyncer{log: log, vm: cfg.VM, ownRecord: gateway.VMRecord{Address: cfg.Listen.Peers, AvailabilityZone: cfg.AvailabilityZone},
		announceNeeded: make(chan struct{}, 1), declarationsRefresh: make(chan struct{}, 1), declarationsCheck: make(chan struct{}, 1), replicasRefresh: make(chan struct{}, 1), vmsRefresh: make(chan struct{}, 1),
		copyRefresh: make(chan struct{}, 1)}
}

// refreshDeclarations triggers an immediate read of the declarations.
func (s *storeSyncer) refreshDeclarations() { follow.Notify(s.declarationsRefresh) }

// checkDeclarations triggers a check for newer declarations.
func (s *storeSyncer) checkDeclarations() { follow.Notify(s.declarationsCheck) }

// refreshReplicas triggers an immediate read of the list of replicas.
func (s *storeSyncer) refreshReplicas() { follow.Notify(s.replicasRefresh) }

// advanceReplicas records that the list of replicas is known up to an offset from a peer.
func (s *storeSyncer) advanceReplicas(offset, era uint64) {
	if f := s.replicas.Load(); f != nil {
		f.Advance(offset, era)
	}
}

// setDeclarationsReading sets whether the operators' records are read whenever there are new ones.
func (s *storeSyncer) setDeclarationsReading(reads bool) {
	if f := s.declarations.Load(); f != nil {
		f.SetPaused(!reads)
	}
}

// advanceDeclarations records that the operators' records are known up to an offset from a peer.
func (s *storeSyncer) advanceDeclarations(offset, era uint64) {
	if f := s.declarations.Load(); f != nil {
		f.Advance(offset, era)
	}
}

// refreshCopy triggers an immediate read of the backup copy.
func (s *storeSyncer) refreshCopy() { follow.Notify(s.copyRefresh) }

// refreshAll triggers an immediate read of all topics, since the store has come back from an older copy.
func (s *storeSyncer) refreshAll() {
	follow.Notify(s.declarationsRefresh)
	follow.Notify(s.replicasRefresh)
	follow.Notify(s.vmsRefresh)
}

// follow applies changes in the store to the controller until ctx is done.
func (s *storeSyncer) follow(ctx context.Context, control *gateway.Controller) {
	commonOptions := []follow.Option{follow.WithExpired(platform.Expired), follow.WithLogger(s.log)}
	newFollower := func(topic string, apply func(follow.Batch), opts ...follow.Option) *follow.Follower {
		return follow.New(s.store.Topic(topic), apply, append(opts, commonOptions...)...)
	}
	declarations := newFollower(platform.TopicConfiguration, func(b follow.Batch) {
		applyDeclarations(control, s.log, b)
		control.ApplyEvacuations(gateway.NewEvacuationUpdate(b, platform.EvacuatedZone))
	}, follow.WithWait(declarationsPollTimeout), follow.WithWakeups(s.declarationsRefresh))
	s.declarations.Store(declarations)
	replicas := newFollower(platform.TopicReplicas, func(b follow.Batch) {
		control.ApplyReplicas(gateway.NewReplicaUpdate(b, platform.DecodeReplica))
	}, follow.WithInterval(replicasReadInterval), follow.WithWakeups(s.replicasRefresh), follow.WithFirstReadOnWakeup(), follow.WithAvailabilityObserver(control.SetStoreReachable))
	s.replicas.Store(replicas)
	vms := newFollower(platform.TopicVMs, func(b follow.Batch) {
		control.ApplyVMRecords(b)
		if b.Snapshot && !s.containsOwnRecord(b) {
			follow.Notify(s.announceNeeded)
		}
	}, follow.WithInterval(vmsReadInterval), follow.WithWakeups(s.vmsRefresh))
	copies := newCopies(s.store, s.eras)
	stopBackground := runInBackground(declarations.Run, func(ctx context.Context) { s.runChecks(ctx, control, declarations) }, replicas.Run, vms.Run, s.announce,
		func(ctx context.Context) { s.readCopies(ctx, control, copies) }, func(ctx context.Context) { control.MaintainCopy(ctx, copies) }, func(ctx context.Context) { control.MaintainStreams(ctx, newStreamStore(s.store)) })
	<-ctx.Done()
	stopBackground()
}

// runChecks checks whenever declarationsCheck is signaled whether the store has newer declarations than the follower has read.
// If so, it interrupts the follower's waiting read, whose answer may be lost.
func (s *storeSyncer) runChecks(ctx context.Context, control *gateway.Controller, declarations *follow.Follower) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.declarationsCheck:
		}
		upToDate, err := declarations.UpToDate(ctx)
		if err != nil {
			s.log.Info("declarations-not-checked", zap.Error(err))
			continue
		}
		control.RecordDeclarationsCheck()
		if !upToDate {
			s.log.Info("declarations-overdue")
			s.refreshDeclarations()
		}
	}
}

// readCopies reads the backup copy when the process starts, and whenever copyRefresh is signaled.
func (s *storeSyncer) readCopies(ctx context.Context, control *gateway.Controller, copies gateway.CopyStore) {
	control.RestoreCopy(ctx, copies)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.copyRefresh:
			control.ReadCopy(ctx, copies)
		}
	}
}

// applyDeclarations applies the newest declarations in the batch that can be decoded.
func applyDeclarations(control *gateway.Controller, log *zap.Logger, batch follow.Batch) {
	for i := len(batch.Records) - 1; i >= 0; i-- {
		record := batch.Records[i]
		if record.Key != platform.ConfigurationKey || len(record.Value) == 0 {
			continue
		}
		d, err := platform.DecodeDeclarations(record.Value)
		if err == nil {
			control.SetDeclarations(d)
			return
		}
		log.Error("declarations-unreadable", zap.Uint64("Offset", record.Offset), zap.Error(err))
	}
}

// newCopies returns access to the backup copy of the VMs' shared state in the store.
func newCopies(store *platform.Store, eras *follow.EraTracker) gateway.CopyStore {
	topic := store.Topic(platform.TopicCopy)
	return gateway.CopyStore{
		Era: eras.Current,
		Put: func(ctx context.Context, key string, value []byte) error {
			return store.Put(ctx, platform.TopicCopy, key, value)
		},
		Newest: func(ctx context.Context) ([]follow.Record, error) {
			found, err := topic.Newest(ctx)
			return found.Records, err
		},
	}
}

// newStreamStore returns access to the records of the streams that VMs have begun.
func newStreamStore(store *platform.Store) gateway.StreamStore {
	topic := store.Topic(platform.TopicStreams)
	return gateway.StreamStore{
		Put: func(ctx context.Context, vm string, value []byte) error {
			return store.Put(ctx, platform.TopicStreams, vm, value)
		},
		Newest: func(ctx context.Context) ([]follow.Record, error) {
			found, err := topic.Newest(ctx)
			return found.Records, err
		},
	}
}

// containsOwnRecord reports whether the batch contains this VM's record with its current address and availability zone.
func (s *storeSyncer) containsOwnRecord(batch follow.Batch) bool {
	return slices.ContainsFunc(batch.Records, func(r follow.Record) bool {
		var listed gateway.VMRecord
		return r.Key == s.vm && json.Unmarshal(r.Value, &listed) == nil && listed == s.ownRecord
	})
}

// announce writes this VM's record whenever announceNeeded is signaled, and then has the list of VMs read again. So of
// any two VMs that start together at least one finds the other's record, and the other hears of it from its beacons.
// Waiting reads of the list would answer every VM whenever a VM starts.
func (s *storeSyncer) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.announceNeeded:
		}
		data, err := json.Marshal(s.ownRecord)
		if err != nil {
			s.log.Error("vm-not-announced", zap.Error(err))
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err = s.store.Put(callCtx, platform.TopicVMs, s.vm, data)
		cancel()
		if err == nil {
			s.log.Info("vm-announced", zap.String("Address", s.ownRecord.Address))
			follow.Notify(s.vmsRefresh)
			continue
		}
		s.log.Warn("vm-not-announced", zap.Error(err))
		time.AfterFunc(announceRetryDelay, func() { follow.Notify(s.announceNeeded) })
	}
}

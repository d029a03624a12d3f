package app

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/platform"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	// declarationsWait is how long a read of the declarations waits for a new version.
	declarationsWait = 10 * time.Second
	// vmsWait is how long a read of the list of VMs waits for a new one.
	vmsWait = 20 * time.Second
	// announceRetry is the pause before a VM writes its own record again after a failure.
	announceRetry = 500 * time.Millisecond
	// announceTimeout bounds the writing of a VM's own record.
	announceTimeout = 2 * time.Second
	// storeDialTimeout bounds the opening of a connection to the store.
	storeDialTimeout = 700 * time.Millisecond
)

// newStoreSource returns a source that follows a platform's metadata store, and a function that closes it.
func newStoreSource(cfg settings.Settings, log *zap.Logger) (source, func()) {
	client, closeClient := exchange.NewClient(exchange.WithDialTimeout(storeDialTimeout))
	link := newStoreLink(cfg, platform.NewStore(client, cfg.Gateway.Store), log)
	return source{
		protocol: platform.Protocol(), readinessPath: platform.ReadinessPath, run: link.follow,
		options: []gateway.Option{gateway.WithNudge(link.readDeclarations), gateway.WithListReader(link.readReplicas)},
		reload:  func(*gateway.Controller) error { return nil },
	}, closeClient
}

// storeLink is what one VM reads from the metadata store and writes there.
type storeLink struct {
	store *platform.Store
	log   *zap.Logger
	vm    string
	// record says where this VM is reached, and unlisted is signaled when the store does not say so.
	record   gateway.VMRecord
	unlisted chan struct{}
	// nudges ask for the declarations to be read again, and listReads for the list of replicas.
	nudges    chan struct{}
	listReads chan struct{}
}

func newStoreLink(cfg settings.Settings, store *platform.Store, log *zap.Logger) *storeLink {
	return &storeLink{store: store, log: log, vm: cfg.VM, record: gateway.VMRecord{Address: cfg.Listen.Peers, AvailabilityZone: cfg.AvailabilityZone},
		unlisted: make(chan struct{}, 1), nudges: make(chan struct{}, 1), listReads: make(chan struct{}, 1)}
}

// readDeclarations has the declarations read again at once.
func (l *storeLink) readDeclarations() { signalOnce(l.nudges) }

// readReplicas has the list of replicas read at once.
func (l *storeLink) readReplicas() { signalOnce(l.listReads) }

// follow keeps a controller up to date until its context is done.
func (l *storeLink) follow(ctx context.Context, control *gateway.Controller) {
	common := []follow.Option{follow.WithExpired(platform.Expired), follow.WithLogger(l.log)}
	follower := func(topic string, apply func(follow.Batch), opts ...follow.Option) *follow.Follower {
		return follow.New(l.store.Topic(topic), apply, append(opts, common...)...)
	}
	declarations := follower(platform.TopicConfiguration, func(b follow.Batch) { applyDeclarations(control, l.log, b) }, follow.WithWait(declarationsWait), follow.WithNudges(l.nudges))
	replicas := follower(platform.TopicReplicas, func(b follow.Batch) {
		control.ApplyReplicas(gateway.NewReplicaUpdate(b, platform.DecodeReplica))
	}, follow.WithPace(gateway.ListOwnPace), follow.WithNudges(l.listReads))
	vms := follower(platform.TopicVMs, func(b follow.Batch) {
		control.ApplyVMs(b)
		if b.Whole && !l.lists(b) {
			signalOnce(l.unlisted)
		}
	}, follow.WithWait(vmsWait))
	copies := copiesIn(l.store)
	stop := startWork(declarations.Run, replicas.Run, vms.Run, l.announce,
		func(ctx context.Context) { control.ReadCopy(ctx, copies) }, func(ctx context.Context) { control.KeepCopy(ctx, copies) })
	<-ctx.Done()
	stop()
}

// applyDeclarations puts the newest declarations of a batch in force.
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

// copiesIn keeps the copy of what VMs know in a topic of the store.
func copiesIn(store *platform.Store) gateway.Copies {
	topic := store.Topic(platform.TopicCopy)
	return gateway.Copies{
		Put: func(ctx context.Context, key string, value []byte) error {
			return store.Put(ctx, platform.TopicCopy, key, value)
		},
		Newest: func(ctx context.Context) ([]follow.Record, error) {
			records, _, err := topic.Newest(ctx)
			return records, err
		},
	}
}

// lists reports whether a batch says where this VM is reached.
func (l *storeLink) lists(batch follow.Batch) bool {
	return slices.ContainsFunc(batch.Records, func(r follow.Record) bool {
		var listed gateway.VMRecord
		return r.Key == l.vm && json.Unmarshal(r.Value, &listed) == nil && listed == l.record
	})
}

// signalOnce signals a channel with room for one signal, unless it has one already.
func signalOnce(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// announce writes where this VM is reached whenever the topic does not say so. A VM that comes back at its old address
// writes nothing, so that the others are not woken.
func (l *storeLink) announce(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.unlisted:
		}
		data, err := json.Marshal(l.record)
		if err != nil {
			l.log.Error("vm-not-announced", zap.Error(err))
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err = l.store.Put(callCtx, platform.TopicVMs, l.vm, data)
		cancel()
		if err == nil {
			l.log.Info("vm-announced", zap.String("Address", l.record.Address))
			continue
		}
		l.log.Warn("vm-not-announced", zap.Error(err))
		time.AfterFunc(announceRetry, func() { signalOnce(l.unlisted) })
	}
}

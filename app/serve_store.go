package app

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/platform"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	// declarationsWait is how long a read of the declarations waits for a new version.
	declarationsWait = 10 * time.Second
	// vmsWait is how long a read of the list of VMs waits for a new one.
	vmsWait = 20 * time.Second
	// replicasPace is the pause between two reads of the list of replicas, whose entries are written all the time. A
	// leaving replica must get no more requests 2 s after it said so.
	replicasPace = 800 * time.Millisecond
	// announceRetry is the pause before a VM writes its own record again after a failure.
	announceRetry = 500 * time.Millisecond
	// announceTimeout bounds the writing of a VM's own record.
	announceTimeout = 2 * time.Second
	// balancerNotice is how long the balancer takes to notice that a VM is not ready: two questions, a second apart,
	// and the time for connections on their way.
	balancerNotice = 2600 * time.Millisecond
	// killMargin is how long before it is killed a stopping process gives up waiting.
	killMargin = 200 * time.Millisecond
	// memoryShare is the part of the memory limit at which garbage collection becomes eager.
	memoryShare = 0.7
	// bodyShare is the part of the memory limit that bodies of requests under way may take.
	bodyShare = 0.2
	// unknownMemory is assumed if no memory limit is known, in megabytes.
	unknownMemory = 1024
	// storeDialTimeout bounds the opening of a connection to the store.
	storeDialTimeout = 700 * time.Millisecond
)

// ServeStore runs the router on a platform with a metadata store until ctx is done, and then shuts down without
// cutting a request. reload is called at each SIGHUP and returns the settings read again.
func ServeStore(ctx context.Context, cfg settings.Settings, log *zap.Logger, measures *metrics.Gateway, reload func() (settings.Settings, error)) error {
	if cfg.Store.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Store.Memory) * (1 << 20)))
	}
	self := peer.Identity{VM: cfg.VM, Incarnation: uuid.NewString()[:8]}
	upstreams, closeUpstreams := exchange.NewClient(exchange.WithDialObserver(func(string) { measures.Connections.Inc() }))
	defer closeUpstreams()
	storeClient, closeStore := exchange.NewClient(exchange.WithDialTimeout(storeDialTimeout))
	defer closeStore()
	store := platform.NewStore(storeClient, cfg.Store.Address)

	var declarations *follow.Follower
	var beacons *peer.Beacons
	control := gateway.NewController(self, cfg.AvailabilityZone, gateway.WithLogger(log), gateway.WithMetrics(measures),
		gateway.WithRetryBudget(cfg.Store.RetryRatio, cfg.Store.RetrySlack, time.Duration(cfg.Store.RetryWindow)*time.Millisecond),
		gateway.WithNudge(func() { declarations.Nudge() }),
		gateway.WithBeacons(func(b peer.Beacon, to []*net.UDPAddr) error { return beacons.Send(b, to) }))
	declarations = follow.New(store.Topic(platform.TopicConfiguration), func(b follow.Batch) { applyDeclarations(control, log, b) },
		follow.WithWait(declarationsWait), follow.WithExpired(platform.Expired), follow.WithLogger(log))
	replicas := follow.New(store.Topic(platform.TopicReplicas), func(b follow.Batch) {
		control.ApplyReplicas(gateway.NewReplicaUpdate(b, platform.DecodeReplica))
	}, follow.WithPace(replicasPace), follow.WithExpired(platform.Expired), follow.WithLogger(log))
	ownRecord, err := json.Marshal(gateway.VMRecord{Address: cfg.Listen.Peers, AvailabilityZone: cfg.AvailabilityZone})
	if err != nil {
		return &Error{Op: "encode own record", Kind: "Failed", Err: err}
	}
	unlisted := make(chan struct{}, 1)
	vms := follow.New(store.Topic(platform.TopicVMs), func(b follow.Batch) {
		control.ApplyVMs(b)
		if b.Whole && !lists(b, cfg.VM, ownRecord) {
			signalOnce(unlisted)
		}
	}, follow.WithWait(vmsWait), follow.WithExpired(platform.Expired), follow.WithLogger(log))

	var closeBeacons func()
	beacons, closeBeacons, err = peer.ListenBeacons(cfg.Listen.Peers, control.HearBeacon, func(err error) { log.Warn("beacon-rejected", zap.Error(err)) })
	if err != nil {
		return err
	}
	defer closeBeacons()
	failed := make(chan error, 3)
	closeReadiness, err := serveHTTP(cfg.Listen.Readiness, platform.ReadinessPath, control.ReadinessHandler(), failed)
	if err != nil {
		return err
	}
	defer closeReadiness()
	closeMetrics, err := serveHTTP(cfg.Listen.Metrics, "/metrics", promhttp.HandlerFor(measures.Registry, promhttp.HandlerOpts{}), failed)
	if err != nil {
		return err
	}
	defer closeMetrics()
	stopCallers, err := gateway.NewServer(control, platform.Protocol(), upstreams, rand.Float64, maxBodyMemory(cfg)).ListenCallers(cfg.Listen.Callers, failed)
	if err != nil {
		return err
	}

	workCtx, stopWork := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for _, work := range []func(context.Context){control.Run, declarations.Run, replicas.Run, vms.Run} {
		workers.Go(func() { work(workCtx) })
	}
	workers.Go(func() { announce(workCtx, store, cfg.VM, ownRecord, unlisted, log) })
	copies := copiesIn(store)
	workers.Go(func() { control.ReadCopy(workCtx, copies) })
	workers.Go(func() { control.KeepCopy(workCtx, copies) })
	defer workers.Wait()
	defer stopWork()
	log.Info("started", zap.String("Incarnation", self.Incarnation), zap.String("Version", Version), zap.String("Callers", cfg.Listen.Callers),
		zap.String("Store", cfg.Store.Address), zap.String("Zone", cfg.AvailabilityZone))
	if err := waitForStop(ctx, log, reload, failed); err != nil {
		return err
	}
	return leave(cfg, control, stopCallers, log)
}

// maxBodyMemory returns how much the bodies of requests under way may take, in bytes.
func maxBodyMemory(cfg settings.Settings) int64 {
	megabytes := cfg.Store.Memory
	if megabytes == 0 {
		megabytes = unknownMemory
	}
	return int64(bodyShare * float64(megabytes) * (1 << 20))
}

// waitForStop reloads the settings at each SIGHUP until ctx is done or a listener fails.
func waitForStop(ctx context.Context, log *zap.Logger, reload func() (settings.Settings, error), failed <-chan error) error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-hangups:
			cfg, err := reload()
			if err != nil {
				log.Error("settings-not-reloaded", zap.Error(err))
				continue
			}
			log.Info("settings-reloaded", zap.String("Level", cfg.Log.Level))
		}
	}
}

// leave tells the balancer and the peers that this VM leaves, and waits for the requests under way.
func leave(cfg settings.Settings, control *gateway.Controller, stopCallers func(context.Context) error, log *zap.Logger) error {
	log.Info("draining")
	grace := time.Duration(cfg.Store.Grace) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), grace-killMargin)
	defer cancel()
	control.Leave()
	time.Sleep(min(balancerNotice, grace/2))
	if err := stopCallers(ctx); err != nil {
		log.Error("drain-incomplete", zap.Error(err))
		return &Error{Op: "drain", Kind: "Timeout", Err: err}
	}
	log.Info("stopped")
	return nil
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

// lists reports whether a batch has a record of a VM.
func lists(batch follow.Batch, vm string, record []byte) bool {
	return slices.ContainsFunc(batch.Records, func(r follow.Record) bool { return r.Key == vm && bytes.Equal(r.Value, record) })
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
func announce(ctx context.Context, store *platform.Store, vm string, record []byte, unlisted chan struct{}, log *zap.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-unlisted:
		}
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		err := store.Put(callCtx, platform.TopicVMs, vm, record)
		cancel()
		if err == nil {
			log.Info("vm-announced", zap.ByteString("Record", record))
			continue
		}
		log.Warn("vm-not-announced", zap.Error(err))
		time.AfterFunc(announceRetry, func() { signalOnce(unlisted) })
	}
}

// serveHTTP serves one path at an address until the returned function is called.
func serveHTTP(addr, path string, handler http.Handler, failed chan<- error) (func(), error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: "Failed", Err: err}
	}
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- &Error{Op: "serve " + addr, Kind: "Failed", Err: err}
		}
	}()
	return func() { server.Close() }, nil
}

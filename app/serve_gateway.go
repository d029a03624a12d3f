package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
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
)

// source is where a gateway learns its declarations, its upstreams and the other VMs.
type source struct {
	protocol gateway.Protocol
	// readinessPath is where balancers ask whether the VM takes connections.
	readinessPath string
	options       []gateway.Option
	// run keeps a controller up to date until its context is done.
	run func(context.Context, *gateway.Controller)
	// reload takes what has changed beside the settings.
	reload func(*gateway.Controller) error
}

// newSource returns the source that the settings name, and a function that closes it.
func newSource(cfg settings.Settings, log *zap.Logger) (source, func(), error) {
	if cfg.Gateway.Store != "" {
		s, closeStore := newStoreSource(cfg, log)
		return s, closeStore, nil
	}
	s, err := newFileSource(cfg, log)
	return s, func() {}, err
}

// ServeGateway serves routes by host and path until ctx is done, and then shuts down without cutting a request. reload is
// called at each SIGHUP and returns the settings read again.
func ServeGateway(ctx context.Context, cfg settings.Settings, log *zap.Logger, measures *metrics.Gateway, reload func() (settings.Settings, error)) error {
	// A hang-up ends a process that does not listen for it, also while it starts.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	if cfg.Gateway.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.Gateway.Memory) * (1 << 20)))
	}
	self := peer.Identity{VM: cfg.VM, Incarnation: uuid.NewString()[:8]}
	from, closeSource, err := newSource(cfg, log)
	if err != nil {
		return err
	}
	defer closeSource()

	var beacons *peer.Beacons
	options := append(from.options, gateway.WithLogger(log), gateway.WithMetrics(measures),
		gateway.WithRetryBudget(cfg.Gateway.RetryRatio, cfg.Gateway.RetrySlack, time.Duration(cfg.Gateway.RetryWindow)*time.Millisecond),
		gateway.WithBeacons(func(b peer.Beacon, to []*net.UDPAddr) error { return beacons.Send(b, to) }))
	control := gateway.NewController(self, cfg.AvailabilityZone, options...)
	beacons, closeBeacons, err := peer.ListenBeacons(cfg.Listen.Peers, control.HearBeacon, func(err error) { log.Warn("beacon-rejected", zap.Error(err)) })
	if err != nil {
		return err
	}
	defer closeBeacons()
	stopWork := startWork(control.Run, func(ctx context.Context) { from.run(ctx, control) })
	defer stopWork()

	failed := make(chan error, 3)
	closeSide, err := serveSide(cfg, control, from.readinessPath, measures, log, failed)
	if err != nil {
		return err
	}
	defer closeSide()
	upstreams, closeUpstreams := exchange.NewClient(exchange.WithDialObserver(func(string) { measures.Connections.Inc() }))
	defer closeUpstreams()
	server := gateway.NewServer(control, from.protocol, upstreams, rand.Float64, maxBodyMemory(cfg))
	stopCallers, err := server.ListenCallers(cfg.Listen.Callers, failed)
	if err != nil {
		return err
	}
	log.Info("started", zap.String("Incarnation", self.Incarnation), zap.String("Version", Version), zap.String("Callers", cfg.Listen.Callers),
		zap.String("Store", cfg.Gateway.Store), zap.String("File", cfg.Gateway.File), zap.String("Zone", cfg.AvailabilityZone))
	reloadAll := func() (settings.Settings, error) {
		cfg, err := reload()
		if err != nil {
			return cfg, err
		}
		return cfg, from.reload(control)
	}
	if err := waitForStop(ctx, log, hangups, reloadAll, failed); err != nil {
		return err
	}
	return leave(cfg, control, stopCallers, log)
}

// startWork runs functions until the returned function is called, which waits for their ends.
func startWork(works ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for _, work := range works {
		workers.Go(func() { work(ctx) })
	}
	return func() {
		cancel()
		workers.Wait()
	}
}

// serveSide serves readiness and metrics until the returned function is called.
func serveSide(cfg settings.Settings, control *gateway.Controller, readinessPath string, measures *metrics.Gateway, log *zap.Logger, failed chan<- error) (func(), error) {
	closeReadiness, err := serveHTTP(cfg.Listen.Readiness, readinessPath, control.ReadinessHandler(), failed)
	if err != nil {
		return nil, err
	}
	closeMetrics, err := serveHTTP(cfg.Listen.Metrics, "/metrics", promhttp.HandlerFor(measures.Registry, promhttp.HandlerOpts{}), failed)
	if err != nil {
		// The port is the same on all installations and may be taken. Callers are served without metrics too.
		log.Error("metrics-not-served", zap.String("Address", cfg.Listen.Metrics), zap.Error(err))
		closeMetrics = func() {}
	}
	return func() {
		closeMetrics()
		closeReadiness()
	}, nil
}

// maxBodyMemory returns how much the bodies of requests under way may take, in bytes.
func maxBodyMemory(cfg settings.Settings) int64 {
	megabytes := cfg.Gateway.Memory
	if megabytes == 0 {
		megabytes = unknownMemory
	}
	return int64(bodyShare * float64(megabytes) * (1 << 20))
}

// waitForStop reloads the settings at each SIGHUP until ctx is done or a listener fails.
func waitForStop(ctx context.Context, log *zap.Logger, hangups <-chan os.Signal, reload func() (settings.Settings, error), failed <-chan error) error {
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
	grace := time.Duration(cfg.Gateway.Grace) * time.Millisecond
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

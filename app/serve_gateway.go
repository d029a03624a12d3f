package app

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/gateway"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/relay"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	// balancerDetectionDelay is how long the load balancer may take to detect that a VM is not ready: two polls, one
	// second apart, and the time for connections that are being established.
	balancerDetectionDelay = 2600 * time.Millisecond
	// killSafetyMargin is subtracted from the grace period, so that the process stops waiting before it is killed.
	killSafetyMargin = 200 * time.Millisecond
	// gcMemoryFraction is the fraction of the memory limit above which the garbage collector runs more often. It sets the
	// soft memory limit of the Go runtime.
	gcMemoryFraction = 0.7
	// bodyMemoryFraction is the fraction of the memory limit that bodies of requests in flight may use.
	bodyMemoryFraction = 0.2
	// defaultMemoryMB is the memory limit that is assumed if none is known, in megabytes.
	defaultMemoryMB = 1024
)

// configSource provides a gateway with its declarations, its upstreams and the list of the other VMs.
type configSource struct {
	protocol gateway.Protocol
	// readinessPath is the path of the readiness check for load balancers.
	readinessPath string
	options       []gateway.Option
	// run applies the declarations, and later changes if the source is followed, until the context is done.
	run func(context.Context, *gateway.Controller)
	// reload is called on SIGHUP and applies changes of the source that run does not follow.
	reload func(*gateway.Controller) error
}

// newConfigSource returns the source that is set in cfg, and a function that closes it.
func newConfigSource(cfg settings.Settings, log *zap.Logger, gatewayMetrics *metrics.Gateway) (configSource, func(), error) {
	if cfg.Gateway.Store != "" {
		src, closeStore := newStoreSource(cfg, log, gatewayMetrics)
		return src, closeStore, nil
	}
	src, err := newFileSource(cfg, log)
	return src, func() {}, err
}

// gatewayOptions are what tests may replace of a gateway.
type gatewayOptions struct {
	dialUpstream exchange.Dial
}

// GatewayOption configures ServeGateway.
type GatewayOption func(*gatewayOptions)

// WithUpstreamDial sets the function that opens connections to upstreams.
func WithUpstreamDial(dial exchange.Dial) GatewayOption {
	return func(o *gatewayOptions) { o.dialUpstream = dial }
}

// ServeGateway serves routes by host and path until ctx is done, and then shuts down gracefully: requests in flight are
// completed. It returns an *Error if they take longer than the grace period. reload is called on each of reloadSignals and
// returns the settings as read again.
func ServeGateway(ctx context.Context, cfg settings.Settings, log *zap.Logger, gatewayMetrics *metrics.Gateway, reloadSignals <-chan os.Signal, reload func() (settings.Settings, error), opts ...GatewayOption) error {
	own := gatewayOptions{dialUpstream: exchange.DirectDial}
	for _, opt := range opts {
		opt(&own)
	}
	if cfg.Gateway.Memory > 0 {
		debug.SetMemoryLimit(int64(gcMemoryFraction * float64(cfg.Gateway.Memory) * (1 << 20)))
	}
	self := peer.Identity{VM: cfg.VM, Incarnation: uuid.NewString()[:8]}
	src, closeSource, err := newConfigSource(cfg, log, gatewayMetrics)
	if err != nil {
		return err
	}
	defer closeSource()

	var beacons beaconListener
	var control *gateway.Controller
	var upstreams *exchange.Client
	paths := relay.NewPaths(func(cutOff bool, lost int) {
		control.SetCutOff(cutOff, lost)
		// What is sent on a connection that was opened before would be lost.
		upstreams.CloseIdle()
	})
	options := append(src.options, gateway.WithPathCheck(func(addr string) bool { return paths.Lost(time.Now(), addr) }), gateway.WithLogger(log), gateway.WithMetrics(gatewayMetrics),
		gateway.WithRetryBudget(cfg.Gateway.RetryRatio, cfg.Gateway.RetrySlack, time.Duration(cfg.Gateway.RetryWindow)*time.Millisecond),
		gateway.WithBeaconSender(func(b peer.Beacon, to []*net.UDPAddr) error { return beacons.socket.Send(b, to) }))
	if len(cfg.Gateway.Regions) > 0 {
		options = append(options, gateway.WithRegions(cfg.Gateway.Regions))
	}
	if cfg.Gateway.ColdOverrun > 0 {
		options = append(options, gateway.WithColdTolerance(quota.ColdTolerance{Overrun: cfg.Gateway.ColdOverrun, Slack: cfg.Gateway.ColdSlack}))
	}
	control = gateway.NewController(self, cfg.AvailabilityZone, options...)
	beacons, err = whenPortFree(ctx, log, cfg.Listen.Peers, func() (beaconListener, error) {
		socket, closeSocket, err := peer.ListenBeacons(cfg.Listen.Peers, control.HandleBeacon, func(err error) { log.Warn("beacon-rejected", zap.Error(err)) },
			peer.WithTrafficObserver(func(direction peer.Direction, scope peer.Scope, bytes int) {
				gatewayMetrics.PeerBytes.WithLabelValues(string(direction), string(scope)).Add(float64(bytes))
			}))
		return beaconListener{socket, closeSocket}, err
	})
	if err != nil {
		return err
	}
	defer beacons.close()
	relays, err := whenPortFree(ctx, log, cfg.Listen.Peers, func() (relayServer, error) {
		server, stop, err := relay.Listen(cfg.Listen.Peers, paths, own.dialUpstream, control.AllowsRelay, log)
		return relayServer{server, stop}, err
	})
	if err != nil {
		return err
	}
	defer relays.stopNow()
	dialer := relay.NewDialer(paths, own.dialUpstream, control.RelayPeers, relay.WithDialerLogger(log), relay.WithRelayObserver(gatewayMetrics.RelayedConnections.Inc))
	stopBackground := runInBackground(control.Run, func(ctx context.Context) { src.run(ctx, control) })
	defer stopBackground()

	failed := make(chan error, 3)
	var closeUpstreams func()
	upstreams, closeUpstreams = exchange.NewClient(exchange.WithDial(dialer.Dial), exchange.WithDialTimeout(relay.DialTimeout), exchange.WithDialObserver(func(string) { gatewayMetrics.Connections.Inc() }))
	defer closeUpstreams()
	server := gateway.NewServer(control, src.protocol, upstreams, rand.Float64, maxBodyMemory(cfg))
	stopCallers, err := whenPortFree(ctx, log, cfg.Listen.Callers, func() (func(context.Context) error, error) {
		return server.ListenCallers(cfg.Listen.Callers, failed)
	})
	if err != nil {
		return err
	}
	// The VM reports that it is ready only once callers can connect.
	closeAuxiliary, err := serveAuxiliary(ctx, cfg, control, src.readinessPath, gatewayMetrics, log, failed)
	if err != nil {
		return err
	}
	defer closeAuxiliary()
	log.Info("started", zap.String("Incarnation", self.Incarnation), zap.String("Version", Version), zap.String("Callers", cfg.Listen.Callers),
		zap.String("Store", cfg.Gateway.Store), zap.String("File", cfg.Gateway.File), zap.String("Zone", cfg.AvailabilityZone))
	reloadAll := func() (settings.Settings, error) {
		cfg, err := reload()
		if err != nil {
			return cfg, err
		}
		return cfg, src.reload(control)
	}
	if err := waitForStop(ctx, log, reloadSignals, reloadAll, failed); err != nil {
		return err
	}
	return drainGateway(cfg, server, relays, stopCallers, log)
}

// relayServer is a server that opens connections for peers, and the function that stops it.
type relayServer struct {
	*relay.Server
	stop func(context.Context)
}

// stopNow stops the server without waiting for the connections that it relays.
func (r relayServer) stopNow() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r.stop(ctx)
}

// beaconListener is an open socket for beacons and the function that closes it.
type beaconListener struct {
	socket *peer.BeaconSocket
	close  func()
}

// runInBackground starts each task in a goroutine. The returned function cancels their context and waits for them to
// return.
func runInBackground(tasks ...func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, task := range tasks {
		wg.Go(func() { task(ctx) })
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// serveAuxiliary serves the readiness check and the metrics until the returned function is called.
func serveAuxiliary(ctx context.Context, cfg settings.Settings, control *gateway.Controller, readinessPath string, gatewayMetrics *metrics.Gateway, log *zap.Logger, failed chan<- error) (func(), error) {
	closeReadiness, err := whenPortFree(ctx, log, cfg.Listen.Readiness, func() (func(), error) {
		return serveHTTP(cfg.Listen.Readiness, readinessPath, control.ReadinessHandler(), log, failed)
	})
	if err != nil {
		return nil, err
	}
	closeMetrics, err := serveHTTP(cfg.Listen.Metrics, "/metrics", promhttp.HandlerFor(gatewayMetrics.Registry, promhttp.HandlerOpts{}), log, failed)
	if err != nil {
		// The metrics port is the same on all installations and may be in use. Callers can be served without metrics.
		log.Error("metrics-not-served", zap.String("Address", cfg.Listen.Metrics), zap.Error(err))
		closeMetrics = func() {}
	}
	return func() {
		closeMetrics()
		closeReadiness()
	}, nil
}

// maxBodyMemory returns the memory that bodies of requests in flight may use, in bytes.
func maxBodyMemory(cfg settings.Settings) int64 {
	megabytes := cfg.Gateway.Memory
	if megabytes == 0 {
		megabytes = defaultMemoryMB
	}
	return int64(bodyMemoryFraction * float64(megabytes) * (1 << 20))
}

// waitForStop calls reload on each SIGHUP until ctx is done or a listener fails. It returns the listener's error.
func waitForStop(ctx context.Context, log *zap.Logger, reloadSignals <-chan os.Signal, reload func() (settings.Settings, error), failed <-chan error) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-failed:
			return err
		case <-reloadSignals:
			cfg, err := reload()
			if err != nil {
				log.Error("settings-not-reloaded", zap.Error(err))
				continue
			}
			log.Info("settings-reloaded", zap.String("Level", cfg.Log.Level))
		}
	}
}

// drainGateway reports to the load balancer and the peers that this VM is leaving, and waits for the requests in
// flight.
func drainGateway(cfg settings.Settings, server *gateway.Server, relays relayServer, stopCallers func(context.Context) error, log *zap.Logger) error {
	log.Info("draining")
	grace := time.Duration(cfg.Gateway.Grace) * time.Millisecond
	endsAt := time.Now().Add(grace - killSafetyMargin)
	ctx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	server.BeginStop(endsAt)
	relays.Leave()
	time.Sleep(min(balancerDetectionDelay, grace/2))
	if err := stopCallers(ctx); err != nil {
		log.Error("drain-incomplete", zap.Error(err))
		return &Error{Op: "drain", Kind: "Timeout", Err: err}
	}
	relays.stop(ctx)
	log.Info("stopped")
	return nil
}

// serveHTTP serves handler for path at addr until the returned function is called. A later failure is sent to failed.
func serveHTTP(addr, path string, handler http.Handler, log *zap.Logger, failed chan<- error) (func(), error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &Error{Op: "listen", Kind: "Failed", Err: err}
	}
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(log)}
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- &Error{Op: "serve " + addr, Kind: "Failed", Err: err}
		}
	}()
	return func() { server.Close() }, nil
}

package app

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/caller"
	"github.com/cassiabridge/cassiabridge/control"
	"github.com/cassiabridge/cassiabridge/engine"
	"github.com/cassiabridge/cassiabridge/metrics"
	"github.com/cassiabridge/cassiabridge/operator"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/service"
	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	cancelGrace   = 5 * time.Second
	// envSettings is the environment variable with the path of the settings file, if no argument gives it.
	envSettings = "CASSIABRIDGE_SETTINGS"
)

func serveCommand() command {
	return command{
		name: "serve", synopsis: "Run the router on this VM.", args: "[SETTINGS]",
		examples:      []string{"cassiabridge serve settings.jsonc"},
		handlesHangup: true,
		setup: func(*flag.FlagSet) func(Output, []string) error {
			return func(out Output, args []string) error {
				path, err := settingsPath(args)
				if err != nil {
					return err
				}
				// Otherwise a log line ends the process when the reader of its output has gone.
				signal.Ignore(syscall.SIGPIPE)
				// A reload that is requested from here on finds its handler, since the settings may be read before it.
				reloadSignals := make(chan os.Signal, 1)
				signal.Notify(reloadSignals, syscall.SIGHUP)
				defer signal.Stop(reloadSignals)
				cfg, err := settings.Load(path)
				if err != nil {
					return err
				}
				ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
				defer stop()
				if !cfg.Gateway.Enabled() {
					log, _, closeLog := newAsyncLogger(out.Stderr, cfg, func(int64) {})
					defer closeLog()
					return Serve(ctx, cfg, log)
				}
				gatewayMetrics := metrics.NewGateway()
				log, level, closeLog := newAsyncLogger(out.Stdout, cfg, func(lines int64) { gatewayMetrics.LogLinesDropped.Add(float64(lines)) })
				defer closeLog()
				return ServeGateway(ctx, cfg, log, gatewayMetrics, reloadSignals, func() (settings.Settings, error) {
					reloaded, err := settings.Load(path)
					if err == nil {
						setLevel(level, reloaded)
					}
					return reloaded, err
				})
			}
		},
	}
}

// settingsPath returns the path of the settings file from the command line or else from the environment.
func settingsPath(args []string) (string, error) {
	path := os.Getenv(envSettings)
	switch {
	case len(args) > 1, len(args) == 0 && path == "":
		return "", usageError("serve takes one settings file, as an argument or in %s", envSettings)
	case len(args) == 1:
		path = args[0]
	}
	return path, nil
}

// Serve runs the router until ctx is done, and then shuts down gracefully: requests in flight are completed. It returns an
// *Error if they take longer than cfg.Timing.Drain.
func Serve(ctx context.Context, cfg settings.Settings, log *zap.Logger) error {
	self := peer.Identity{VM: cfg.VM, Incarnation: uuid.NewString()[:8]}
	routerMetrics := metrics.New()
	engines, closeEngines := engine.NewClient()
	defer closeEngines()
	canceller, closeCancels := engine.NewCanceller(engines, cancelGrace)
	services, closeServices := service.NewClient(cfg.Limits.ServiceBytes)
	defer closeServices()
	ctl, err := whenPortFree(ctx, log, cfg.Listen.Peers, func() (runningControl, error) {
		ctl, closeControl, err := control.New(cfg, self, engines, canceller, control.WithLogger(log), control.WithMetrics(routerMetrics))
		return runningControl{ctl, closeControl}, err
	})
	if err != nil {
		closeCancels()
		return err
	}
	defer ctl.close()
	defer closeCancels()
	callers := caller.New(cfg, ctl.Controller, engines, canceller, services, caller.WithLogger(log), caller.WithMetrics(routerMetrics))
	operators, err := operator.New(cfg, ctl.Controller, routerMetrics, operator.WithLogger(log))
	if err != nil {
		return err
	}
	callerServer, err := whenPortFree(ctx, log, cfg.Listen.Callers, func() (runningServer, error) {
		return listen(cfg.Listen.Callers, callers.Handler(), cfg.Limits.HeaderBytes, log)
	})
	if err != nil {
		return err
	}
	operatorServer, err := whenPortFree(ctx, log, cfg.Listen.Operators, func() (runningServer, error) {
		return listen(cfg.Listen.Operators, operators, cfg.Limits.HeaderBytes, log)
	})
	if err != nil {
		return err
	}
	defer operatorServer.Close()
	log.Info("started", zap.String("Incarnation", self.Incarnation), zap.String("Version", Version),
		zap.String("Callers", cfg.Listen.Callers), zap.String("Operators", cfg.Listen.Operators), zap.String("Peers", cfg.Listen.Peers))
	select {
	case <-ctx.Done():
	case err := <-callerServer.failed:
		return err
	case err := <-operatorServer.failed:
		return err
	}
	return drain(cfg, ctl.Controller, callerServer.Server, log)
}

// runningControl is a controller that runs, and the function that stops it.
type runningControl struct {
	*control.Controller
	close func()
}

// runningServer is an HTTP server that serves. failed receives an error if it stops before it is shut down.
type runningServer struct {
	*http.Server
	failed <-chan error
}

// listen starts serving handler at addr.
func listen(addr string, handler http.Handler, headerBytes int, log *zap.Logger) (runningServer, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return runningServer{}, &Error{Op: "listen", Kind: "Failed", Err: err}
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes, ConnContext: caller.WithConn, ErrorLog: zap.NewStdLog(log)}
	failed := make(chan error, 1)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- &Error{Op: "serve " + addr, Kind: "Failed", Err: err}
		}
	}()
	return runningServer{server, failed}, nil
}

// drain reports to the peers and the load balancer that this VM is draining, and waits for the requests in flight.
func drain(cfg settings.Settings, ctl *control.Controller, server *http.Server, log *zap.Logger) error {
	log.Info("draining")
	ctl.Drain()
	ctx, cancel := context.WithTimeout(context.Background(), cfg.Timing.Drain())
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.Error("drain-incomplete", zap.Error(err))
		return &Error{Op: "drain", Kind: "Timeout", Err: fmt.Errorf("requests were still in flight: %w", err)}
	}
	log.Info("stopped")
	return nil
}

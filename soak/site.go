package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	siteHost = "notes.example"
	siteKey  = "key-of-schools"
	// engineService has prefill and decode engines, plainService replicas without stages.
	engineService = "engines"
	plainService  = "plain"
	// vmGrace is the time that a VM has after SIGTERM.
	vmGrace = 3 * time.Second
	// readyTimeout is the time within which all VMs of a new site must be ready, and readyPoll the time between two questions.
	readyTimeout = time.Minute
	readyPoll    = 20 * time.Millisecond
	// retrySlack lets all retries pass.
	retrySlack = 100_000
	// storeHeaderTimeout bounds the time of the store to read the head of a request.
	storeHeaderTimeout = 10 * time.Second
)

// site holds the processes and stand-ins of a run.
type site struct {
	opts     Options
	store    *standin.Store
	ports    *ports
	vms      []*vm
	replicas []*replica
}

// vm is a VM as a process of its own.
type vm struct {
	process
	binary, settings   string
	callers, readiness string
	// entry is the address for callers: that of the forwarder, if there is one.
	entry string
	// faulty is locked while a fault is applied.
	faulty sync.Mutex
}

// startSite starts the processes of a run. The returned function ends them; it is not nil in case of an error.
func startSite(opts Options, plan Plan) (*site, func(), error) {
	s := &site{opts: opts, store: standin.NewStore()}
	var closers []func()
	stop := func() {
		for _, c := range closers {
			c()
		}
	}
	blockOfPorts, release, err := claimPorts()
	if err != nil {
		return s, stop, err
	}
	s.ports, closers = blockOfPorts, append(closers, release)
	storeAddr, closeStore, err := serveStore(s.store)
	if err != nil {
		return s, stop, err
	}
	closers = append(closers, closeStore)
	s.store.Configure(opts.layout.configuration())
	for n := range opts.Replicas {
		r, closeReplica, err := startReplica(s, n, plan.unframed)
		closers = append(closers, closeReplica)
		if err != nil {
			return s, stop, err
		}
		s.replicas = append(s.replicas, r)
	}
	for n := range opts.VMs {
		v, err := newVM(s, n, storeAddr)
		if err == nil {
			closers = append(closers, v.close)
			err = v.run()
		}
		if err != nil {
			return s, stop, err
		}
		s.vms = append(s.vms, v)
		if opts.Fronts {
			closeFront, err := v.addFront(s.ports)
			if err != nil {
				return s, stop, err
			}
			closers = append(closers, closeFront)
		}
	}
	return s, stop, nil
}

func serveStore(store *standin.Store) (string, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, &Error{"start store", err}
	}
	server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: storeHeaderTimeout}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), func() { server.Close() }, nil
}

func (l *layout) configuration() standin.Configuration {
	c := standin.Configuration{
		Version: 1,
		Limits:  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []map[string]any{{"name": "schools", "apiKeys": []string{siteKey}, "unit": "token_count", "uncachedTokens": 200, "ratePerS": 1e9, "burst": 1e9}},
	}
	for _, s := range l.services {
		fields := map[string]any{"name": s.Name, "healthPath": standin.HealthPath, "maxConnections": s.MaxConnections}
		if s.Stride > 0 {
			fields["engine"] = map[string]any{"slots": s.Slots, "kvCapacityTokens": s.CapacityTokens, "kvBytes": 163840, "kvRetentionS": 0.5, "stride": s.Stride}
		}
		c.Services = append(c.Services, fields)
	}
	for _, r := range l.requests {
		overrides := map[string]any{"resumable": r.resumable, "maxAttempts": r.attempts, "timeoutMs": r.timeout.Milliseconds()}
		c.Routes = append(c.Routes, standin.Route(r.prefix, siteHost, r.prefix, r.kind, r.service, overrides))
	}
	return c
}

// newVM writes the settings of a VM.
func newVM(s *site, n int, storeAddr string) (*vm, error) {
	opts := s.opts
	addrs, err := s.ports.addresses(4)
	if err != nil {
		return nil, err
	}
	name := vmName(n)
	v := &vm{process: process{name: name, dir: opts.Dir}, binary: opts.Binaries[n%len(opts.Binaries)], settings: filepath.Join(opts.Dir, name+".json"), callers: addrs[0], entry: addrs[0], readiness: addrs[1]}
	data, err := json.Marshal(map[string]any{
		"VM": name, "AvailabilityZone": "zone-a",
		"Listen":  map[string]any{"Callers": addrs[0], "Readiness": addrs[1], "Metrics": addrs[2], "Peers": addrs[3]},
		"Gateway": map[string]any{"Store": storeAddr, "RetrySlack": retrySlack, "Grace": vmGrace.Milliseconds(), "Memory": 134},
		"Log":     map[string]any{"Level": "info"},
	})
	if err == nil {
		err = os.WriteFile(v.settings, data, 0o600)
	}
	if err != nil {
		return nil, &Error{"write settings", err}
	}
	return v, nil
}

// addFront starts the forwarder before a VM.
func (v *vm) addFront(p *ports) (func(), error) {
	addrs, err := p.addresses(1)
	if err != nil {
		return nil, err
	}
	v.entry = addrs[0]
	return startFront(v.entry, v.callers, v.name)
}

func (v *vm) run() error { return v.start(v.binary, "serve", v.settings) }

// awaitReady waits until all VMs are ready.
func (s *site) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(readyTimeout)
	for _, v := range s.vms {
		for !v.isReady() {
			if ctx.Err() != nil || time.Now().After(deadline) {
				return &Error{"await VMs", fmt.Errorf("%s is not ready, see %s", v.name, logPath(s.opts.Dir, v.name))}
			}
			sleep(ctx, readyPoll)
		}
	}
	return nil
}

func (v *vm) isReady() bool {
	resp, err := http.Get("http://" + v.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// instance is a process of a replica with its address.
type instance struct {
	process
	// listen is the address of the process, and address that in the entry: that of the proxy, if there is one.
	listen, address string
}

// replica is a replica, whose current process is one of two instances.
type replica struct {
	*instance
	instances [2]*instance
	cfg       replicaConfig
	service   string
	// starts is the number of starts, and sequence that of the entry.
	starts, sequence int
	// restartDelay is the time between the end of a process and the next start, or 0 for that of the fault.
	restartDelay time.Duration
	store        *standin.Store
	layout       *layout
}

// softwareVersions are the versions of replicas that serve at once.
var softwareVersions = [2]string{"v1", "v2"}

// startReplica starts the n-th replica and its proxies. The returned function ends them; it is not nil in case of an error.
func startReplica(s *site, n int, unframed bool) (*replica, func(), error) {
	layout := s.opts.layout
	r := &replica{store: s.store, layout: layout, restartDelay: s.opts.RestartDelay}
	r.cfg = replicaConfig{Version: softwareVersions[0], Seed: s.opts.Seed, Odd: odditiesOf(s.opts.Faults), Copies: s.opts.Faults.Has(Copies),
		Breaks: s.opts.Faults.Has(Breaks), Unframed: unframed}
	r.takePlace(layout.places[n%len(layout.places)])
	if s.opts.Faults.Has(Versions) {
		r.cfg.Version = softwareVersions[(n/len(layout.places)+n)%len(softwareVersions)]
	}
	var closers []func()
	stop := func() {
		for _, c := range closers {
			c()
		}
	}
	for k := range r.instances {
		i, closeInstance, err := newInstance(s, replicaName(n))
		if err != nil {
			return r, stop, err
		}
		r.instances[k], closers = i, append(closers, closeInstance)
	}
	r.instance = r.instances[0]
	r.nextID()
	err := r.run()
	if err == nil {
		r.putEntry("ready")
	}
	return r, stop, err
}

// newInstance returns a process that is not started, and starts its proxy. The returned function ends both.
func newInstance(s *site, name string) (*instance, func(), error) {
	addrs, err := s.ports.addresses(2)
	if err != nil {
		return nil, nil, err
	}
	i := &instance{process: process{name: name, dir: s.opts.Dir}, listen: addrs[0], address: addrs[0]}
	if s.opts.Direct {
		return i, i.close, nil
	}
	i.address = addrs[1]
	closeProxy, err := startProxy(i.address, i.listen, name, s.opts.Seed, s.opts.Faults.Has(Network))
	return i, func() { closeProxy(); i.close() }, err
}

// takePlace has the next process serve another place.
func (r *replica) takePlace(p place) {
	r.service, r.cfg.Stage, r.cfg.Prefixes = p.service, p.stage, r.layout.prefixes(p.service)
}

// otherPlace returns a place of another service, or the present one if there is none.
func (r *replica) otherPlace() place {
	for _, p := range r.layout.places {
		if p.service != r.service {
			return p
		}
	}
	return place{r.service, r.cfg.Stage}
}

func (r *replica) nextID() {
	r.starts++
	r.cfg.ID = fmt.Sprint(r.name, "-", r.starts)
}

// run starts the process with the current configuration.
func (r *replica) run() error {
	r.cfg.Address = r.listen
	r.sequence, r.cfg.Born = 0, time.Now().UnixMilli()
	cfg, err := json.Marshal(r.cfg)
	if err != nil {
		return &Error{"encode configuration", err}
	}
	program, err := os.Executable()
	if err != nil {
		return &Error{"find program", err}
	}
	return r.start(program, replicaArgument, string(cfg))
}

// putEntry writes the replica's entry to the store.
func (r *replica) putEntry(state string) {
	r.sequence++
	entry := map[string]any{"service": r.service, "address": r.address, "zone": "zone-a", "version": r.cfg.Version, "slots": 48, "state": state,
		"coldRemainingMs": 0, "sequence": r.sequence, "born": r.cfg.Born}
	if r.cfg.Stage != "" {
		entry["stage"] = r.cfg.Stage
	}
	r.store.PutReplica(r.cfg.ID, entry)
}

func (r *replica) kill() { r.end(syscall.SIGKILL) }

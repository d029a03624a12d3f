package site

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

// Names in the configuration of a site.
const (
	Host          = "sheets.example"
	Key           = "key-of-the-schools"
	EngineService = "dieline-model"
	DeskService   = "order-desk"
	zone          = "zarqa-a"
)

// Sizes of the installation zarqa-cut, as its sheet and its configuration give them.
const (
	MemoryMB        = 134
	engineSlots     = 48
	engineTokens    = 76160
	tokensPerEvent  = 77
	maxBodyBytes    = 4 << 20
	handleRetention = 500 * time.Millisecond
)

// Site is a small deployment: a store, servers that the case starts, and routers.
type Site struct {
	Record  *Record
	Store   *standin.Store
	Config  standin.Configuration
	Routers []*Router

	dir       string
	outage    *partitionOutage
	storeAddr string
	closers   []func()
}

// newSite starts the store and returns a function that ends everything that the site started.
func newSite(record *Record) (*Site, func(), error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, nil, &Error{Op: "create folder", Err: err}
	}
	s := &Site{Record: record, Store: standin.NewStore(), Config: configuration(), dir: dir}
	s.closers = append(s.closers, func() { _ = os.RemoveAll(dir) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, &Error{Op: "listen", Err: err}
	}
	s.outage = &partitionOutage{next: s.Store.Handler()}
	server := &http.Server{Handler: s.outage, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.storeAddr = listener.Addr().String()
	s.closers = append(s.closers, func() { server.Close() })
	return s, s.close, nil
}

func (s *Site) close() {
	for _, r := range s.Routers {
		r.Kill()
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

// configuration returns the configuration of the installation zarqa-cut with names of its own.
func configuration() standin.Configuration {
	stream := func(overrides map[string]any) map[string]any {
		all := map[string]any{"timeoutMs": 14000, "targetLatencyMs": 900, "sticky": true, "resumable": false}
		for name, value := range overrides {
			all[name] = value
		}
		return all
	}
	desk := map[string]any{"timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2}
	return standin.Configuration{
		Version: 1,
		Routes: []map[string]any{
			standin.Route("cutpath-review", Host, "/cutpath/", "streaming", EngineService, stream(nil)),
			standin.Route("layout-check", Host, "/layout/", "streaming", EngineService, stream(map[string]any{"resumable": true, "maxAttempts": 2})),
			standin.Route("job-release", Host, "/release/", "non_idempotent", DeskService, desk),
			standin.Route("order-status", Host, "/status/", "idempotent", DeskService, map[string]any{"timeoutMs": 2000, "targetLatencyMs": 300, "priority": 2, "maxAttempts": 2}),
		},
		Services: []map[string]any{
			{"name": EngineService, "healthPath": "/health", "maxConnections": 300, "engine": map[string]any{"slots": engineSlots,
				"kvCapacityTokens": engineTokens, "kvBytes": 163840, "stride": tokensPerEvent, "kvRetentionS": handleRetention.Seconds()}},
			{"name": DeskService, "healthPath": "/health", "maxConnections": 100},
		},
		Limits: map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []map[string]any{
			{"name": "schools", "apiKeys": []string{Key}, "unit": "token_count", "uncachedTokens": 200, "ratePerS": 1e7, "burst": 1e7},
		},
	}
}

// EngineSpec returns the configuration of the engines' service, which a case may change before Start.
func (s *Site) EngineSpec() map[string]any { return s.Config.Services[0]["engine"].(map[string]any) }

// SetPartitionDown sets the topic whose partition of the store is down, or none if it is empty.
func (s *Site) SetPartitionDown(topic string) { s.outage.SetDown(topic) }

// Configure writes the configuration to the store as a new version.
func (s *Site) Configure() {
	s.Config.Version++
	s.Store.Configure(s.Config)
}

// Start writes the configuration and starts a number of routers. It returns when all of them are ready.
func (s *Site) Start(routers int) error {
	s.Configure()
	for n := range routers {
		r, err := s.newRouter(n)
		if err != nil {
			return err
		}
		s.Routers = append(s.Routers, r)
		if err := r.Start(); err != nil {
			return err
		}
	}
	for _, r := range s.Routers {
		if err := r.awaitReady(); err != nil {
			return err
		}
	}
	// Clients start 10 s after the machines; a shorter time lets the routers hear each other too.
	time.Sleep(settleTime)
	return nil
}

// settleTime is the time from the readiness of the routers to the first requests.
const settleTime = 3 * time.Second

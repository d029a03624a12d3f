package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	zone     = "zone-a"
	hostName = "orders.example"
	apiKey   = "key-of-schools"
	tenant   = "schools"
	// memoryMB is what a machine of the small sites allows a process.
	memoryMB = 134
	// graceMillis is graceS of the small sites.
	graceMillis = 8000
	// readyTimeout is how long a process may take until it serves.
	readyTimeout = 15 * time.Second
	pollInterval = 10 * time.Millisecond
	// Ports of processes are chosen among portCount from firstPort on.
	firstPort    = 20_000
	portCount    = 12_000
	maxPortTries = 100
	// vmCount is the number of machines of the small sites.
	vmCount = 7
)

// site is a small deployment: a store, routers and replicas.
type site struct {
	trouble bool
	store   *standin.Store
	// storeAddr is the address of the store.
	storeAddr string
	router    string
	dir       string
	start     time.Time

	mu       sync.Mutex
	record   *os.File
	children map[*child]bool
	// heartbeats holds what ends the heartbeat of a replica when it is closed, by ID.
	heartbeats map[string]chan struct{}
	version    int
}

// child is a process that the case has started.
type child struct {
	name string
	cmd  *exec.Cmd
	// done is closed once the process has ended.
	done chan struct{}
}

// newSite starts the store. The returned function ends everything that was started.
func newSite(recordPath, router string, trouble bool) (*site, func(), error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, nil, err
	}
	if _, err := os.Stat(router); err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, nil, err
	}
	s := &site{trouble: trouble, store: standin.NewStore(), router: router, dir: dir, start: time.Now(), record: record, children: map[*child]bool{}, heartbeats: map[string]chan struct{}{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	s.storeAddr = listener.Addr().String()
	server := &http.Server{Handler: s.store.Handler(), ReadHeaderTimeout: readyTimeout}
	go func() { _ = server.Serve(listener) }()
	return s, func() {
		s.endChildren()
		server.Close()
		_ = record.Close()
		_ = os.RemoveAll(dir)
	}, nil
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.start).Seconds(), fmt.Sprintf(format, args...))
}

// configure writes a configuration with these routes and services.
func (s *site) configure(routes, services []map[string]any) {
	s.version++
	s.store.Configure(standin.Configuration{
		Version: s.version, Routes: routes, Services: services,
		Limits:  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants: []map[string]any{{"name": tenant, "apiKeys": []string{apiKey}, "unit": "token_count", "uncachedTokens": 200, "ratePerS": 1e7, "burst": 1e7}},
	})
}

// freeAddr returns a loopback address whose port is free for TCP and UDP, and is none that the kernel gives to connections.
func freeAddr() (string, error) {
	for range maxPortTries {
		addr := "127.0.0.1:" + strconv.Itoa(firstPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", addr)
		listener.Close()
		if err != nil {
			continue
		}
		_ = packets.Close()
		return addr, nil
	}
	return "", errors.New("no port is free")
}

// startChild starts a process, which ends with this one.
func (s *site) startChild(name string, env []string, program string, args ...string) (*child, error) {
	output, err := os.Create(filepath.Join(s.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = output.Close() }()
	c := &child{name: name, cmd: exec.Command(program, args...), done: make(chan struct{})}
	c.cmd.Stdout, c.cmd.Stderr = output, output
	c.cmd.Env = append(os.Environ(), env...)
	c.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = c.cmd.Wait()
		close(c.done)
	}()
	s.mu.Lock()
	s.children[c] = true
	s.mu.Unlock()
	s.note("%s started", name)
	return c, nil
}

// signal sends a signal to a process.
func (s *site) signal(c *child, sig syscall.Signal) {
	s.note("%s gets %v", c.name, sig)
	_ = c.cmd.Process.Signal(sig)
}

// kill kills a process and waits for its end.
func (s *site) kill(c *child) {
	s.stopHeartbeat(c.name)
	s.signal(c, syscall.SIGKILL)
	<-c.done
}

// endChildren kills all processes that still run.
func (s *site) endChildren() {
	s.mu.Lock()
	children := s.children
	s.children = map[*child]bool{}
	s.mu.Unlock()
	for c := range children {
		_ = c.cmd.Process.Kill()
		<-c.done
	}
}

// vm is a router process with its addresses.
type vm struct {
	*child
	name, callers, readiness, peers, metrics, settings string
}

// newVM writes the settings of a router, as the template of the deploy file gives them.
func (s *site) newVM(name string) (*vm, error) {
	var addrs []string
	for range 4 {
		addr, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	v := &vm{name: name, callers: addrs[0], readiness: addrs[1], peers: addrs[2], metrics: addrs[3], settings: filepath.Join(s.dir, name+".jsonc")}
	return v, s.writeSettings(v, s.storeAddr)
}

// writeSettings writes the settings of a router that finds the store at an address.
func (s *site) writeSettings(v *vm, storeAddr string) error {
	settings := map[string]any{
		"VM": v.name, "AvailabilityZone": zone,
		"Listen": map[string]any{"Callers": v.callers, "Readiness": v.readiness, "Peers": v.peers, "Metrics": v.metrics},
		"Gateway": map[string]any{"Store": storeAddr, "RetryRatio": 0.2, "RetrySlack": 54, "RetryWindow": 10000, "Grace": graceMillis,
			"Regions": map[string]string{zone: "region-a"}, "Memory": memoryMB},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(v.settings, data, 0o600)
}

// startVM starts a router.
func (s *site) startVM(v *vm) error {
	c, err := s.startChild(v.name, []string{"CASSIABRIDGE_SETTINGS=" + v.settings}, s.router, "serve")
	v.child = c
	return err
}

// isReady reports whether a router says that it is ready.
func isReady(v *vm) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + v.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// await waits until a condition holds.
func await(what string, condition func() bool) error {
	deadline := time.Now().Add(readyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			return errors.New("not in time: " + what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// startServingVM starts a router and waits until it answers requests for path.
func (s *site) startServingVM(name, path string) (*vm, error) {
	v, err := s.newVM(name)
	if err != nil {
		return nil, err
	}
	if err := s.startVM(v); err != nil {
		return nil, err
	}
	return v, await(name+" serves", func() bool {
		return isReady(v) && s.send(v, call{method: http.MethodGet, path: path}).status == http.StatusOK
	})
}

// startServingVMs starts the routers of a small site and waits until they answer.
func (s *site) startServingVMs() ([]*vm, error) {
	var vms []*vm
	for n := range vmCount {
		v, err := s.startServingVM("vm-"+strconv.Itoa(n), "/status/ready")
		if err != nil {
			return nil, err
		}
		vms = append(vms, v)
	}
	return vms, nil
}

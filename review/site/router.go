package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// routerProgram and routerCommand are the command of the deploy file.
	routerProgram = "target/cassiabridge"
	routerCommand = "serve"
	// readyTimeout bounds the start of a router.
	readyTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
)

// Router is one router process and its settings. It is safe for concurrent use.
type Router struct {
	Name string
	// Callers is the address for clients.
	Callers string

	readiness string
	settings  string
	logPath   string
	record    *Record

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// newRouter writes the settings of a router, with the fields of the template in the deploy folder.
func (s *Site) newRouter(n int) (*Router, error) {
	name := fmt.Sprintf("edge-%s-%d", zone, n+1)
	addrs, err := freeAddrs(4)
	if err != nil {
		return nil, err
	}
	settings := map[string]any{
		"VM": name, "AvailabilityZone": zone,
		"Listen": map[string]any{"Callers": addrs[0], "Readiness": addrs[1], "Metrics": addrs[2], "Peers": addrs[3]},
		"Gateway": map[string]any{"Store": s.storeAddr, "RetryRatio": 0.2, "RetrySlack": 54, "RetryWindow": 10000, "Grace": 8000,
			"Memory": MemoryMB},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, &Error{Op: "encode settings", Err: err}
	}
	r := &Router{Name: name, Callers: addrs[0], readiness: addrs[1], settings: filepath.Join(s.dir, name+".jsonc"),
		logPath: filepath.Join(s.dir, name+".log"), record: s.Record}
	if err := os.WriteFile(r.settings, data, 0o600); err != nil {
		return nil, &Error{Op: "write settings", Err: err}
	}
	return r, nil
}

// freeAddrs returns loopback addresses with ports that are free for TCP now.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, &Error{Op: "find a free port", Err: err}
		}
		defer listener.Close()
		addrs = append(addrs, listener.Addr().String())
	}
	return addrs, nil
}

// Start starts the process.
func (r *Router) Start() error {
	log, err := os.OpenFile(r.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return &Error{Op: "open log", Err: err}
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(routerProgram, routerCommand)
	cmd.Env = []string{"CASSIABRIDGE_SETTINGS=" + r.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return &Error{Op: "start " + r.Name, Err: err}
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	r.mu.Lock()
	r.cmd, r.ended = cmd, ended
	r.mu.Unlock()
	r.record.Printf("%s started as process %d", r.Name, cmd.Process.Pid)
	return nil
}

// Kill ends the process at once and waits for its end.
func (r *Router) Kill() { r.signal(syscall.SIGKILL, true) }

// Terminate asks the process to end.
func (r *Router) Terminate() { r.signal(syscall.SIGTERM, false) }

func (r *Router) signal(sig syscall.Signal, wait bool) {
	r.mu.Lock()
	cmd, ended := r.cmd, r.ended
	r.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(sig)
	if wait {
		<-ended
	}
}

// PID returns the ID of the process.
func (r *Router) PID() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cmd.Process.Pid
}

// Log returns what the processes of the router have logged.
func (r *Router) Log() string {
	data, _ := os.ReadFile(r.logPath)
	return string(data)
}

// Ready reports whether the router takes new channels.
func (r *Router) Ready() bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.readiness + "/api/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the router is ready.
func (r *Router) awaitReady() error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if r.Ready() {
			return nil
		}
	}
	return &Error{Op: "await " + r.Name, Err: errors.New("it is not ready in time: " + r.Log())}
}

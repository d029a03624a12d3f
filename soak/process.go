package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time after SIGTERM at which a process is killed.
const stopTimeout = vmGrace + time.Second

// process is a process that is started again and again. It is safe for concurrent use.
type process struct {
	name, dir string
	mu        sync.Mutex
	cmd       *exec.Cmd
	ended     chan struct{}
	// stopping is whether the process was told to end, and closed whether it is not started again.
	stopping, closed bool
}

// start starts the process. Its output is added to its log, and it is killed if this process ends.
func (p *process) start(program string, args ...string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	output, err := createLog(p.dir, p.name)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return &Error{"start " + p.name, err}
	}
	ended := make(chan struct{})
	go func() {
		err := cmd.Wait()
		if !p.isStopping() {
			fmt.Fprintln(os.Stderr, p.name, "ended by itself:", err)
		}
		close(ended)
	}()
	p.cmd, p.ended, p.stopping = cmd, ended, false
	return nil
}

// signal sends a signal to the process, if it runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) isStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// end sends a signal, and SIGKILL if the process has not ended after a timeout.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	p.stopping = true
	ended := p.ended
	p.mu.Unlock()
	p.signal(s)
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		p.signal(syscall.SIGKILL)
		<-ended
	}
}

// close kills the process for good.
func (p *process) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.end(syscall.SIGKILL)
}

// Build builds the program under test at path.
func Build(path string) error {
	build := exec.Command("go", "build", "-o", path, "github.com/cassiabridge/cassiabridge")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return &Error{"build", err}
	}
	return nil
}

package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	darkStreams = 96
	darkEvents  = 60
	// darkFor is how long the machine of an engine is dark. Callers wait longer for an event.
	darkFor = 2 * time.Second
	// darkAfter is when it goes dark, and darkBegin the time within which the streams begin.
	darkAfter = 800 * time.Millisecond
	darkBegin = 500 * time.Millisecond
	darkVMs   = 2
)

func init() { cases["dark"] = runDark }

// darkProxy stands for the network before the machine of a replica. While the machine is dark it carries nothing and ends nothing; when the
// machine is back, connections from before are reset.
type darkProxy struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	dark  bool
	conns map[*net.TCPConn]bool
}

// newDarkProxy returns a proxy for a replica.
func newDarkProxy(backend string) (*darkProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &darkProxy{listener: listener, backend: backend, conns: map[*net.TCPConn]bool{}}
	go p.accept()
	return p, nil
}

func (p *darkProxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(conn.(*net.TCPConn))
	}
}

// carry relays a connection.
func (p *darkProxy) carry(conn *net.TCPConn) {
	p.mu.Lock()
	p.conns[conn] = true
	dark := p.dark
	p.mu.Unlock()
	if dark {
		return
	}
	backend, err := net.Dial("tcp", p.backend)
	if err != nil {
		p.end(conn, true)
		return
	}
	done := make(chan error, 2)
	go func() { done <- p.copy(backend, conn) }()
	go func() { done <- p.copy(conn, backend) }()
	err = <-done
	if p.isDark() {
		return
	}
	backend.Close()
	p.end(conn, err != nil)
}

// copy copies from one end to the other until either ends or the machine goes dark.
func (p *darkProxy) copy(dst, src net.Conn) error {
	buffer := make([]byte, 16<<10)
	for {
		n, err := src.Read(buffer)
		if p.isDark() {
			return io.ErrClosedPipe
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *darkProxy) isDark() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dark
}

// end closes a connection, with a reset if that is how its other end has ended.
func (p *darkProxy) end(conn *net.TCPConn, reset bool) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	if reset {
		_ = conn.SetLinger(0)
	}
	_ = conn.Close()
}

// setDark says whether the machine is dark. When it is back, what was open before is reset.
func (p *darkProxy) setDark(dark bool) {
	p.mu.Lock()
	p.dark = dark
	conns := p.conns
	if !dark {
		p.conns = map[*net.TCPConn]bool{}
	}
	p.mu.Unlock()
	if dark {
		return
	}
	for conn := range conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// runDark has the machine of one engine go dark, and come back with the same software under the same ID, while streams run there and engines
// of another version serve beside it.
func runDark(s *site) error {
	engine, proxy, options, err := s.startDarkEngines()
	if err != nil {
		return err
	}
	var vms []*vm
	for n := range darkVMs {
		v, err := s.startStreamVM("vm-" + strconv.Itoa(n))
		if err != nil {
			return err
		}
		vms = append(vms, v)
	}
	time.Sleep(stableWindow)
	start := time.Now()
	if s.trouble {
		time.AfterFunc(darkAfter, func() { s.darken(engine, proxy, options) })
	}
	broken := make([]answer, darkStreams)
	var wg sync.WaitGroup
	for n := range broken {
		wg.Go(func() {
			sleepUntil(start, darkBegin*time.Duration(n)/darkStreams)
			broken[n] = s.stream(vms[n%len(vms)])
			s.note("%s: %v", broken[n].attempt, broken[n])
		})
	}
	wg.Wait()
	var taken []answer
	for _, a := range broken {
		if a.status == http.StatusOK && !a.whole {
			taken = append(taken, a)
		}
	}
	if !s.trouble && len(taken) == 0 {
		s.note("no stream broke")
		return nil
	}
	return s.judgeResumed(taken, s.resumeAll(vms, taken), s.beginNew(vms))
}

// startDarkEngines starts the engines, one of which is reached through a proxy.
func (s *site) startDarkEngines() (*child, *darkProxy, replicaOptions, error) {
	var engine *child
	var proxy *darkProxy
	var options replicaOptions
	for _, o := range []replicaOptions{{id: "p-0", stage: "prefill", version: "v1"}, {id: "d-0", stage: "decode", version: "v1"}, {id: "d-1", stage: "decode", version: "v1"},
		{id: "d-2", stage: "decode", version: "v1"}, {id: "d-3", stage: "decode", version: "v2"}, {id: "d-4", stage: "decode", version: "v2"}} {
		addr, err := freeAddr()
		if err != nil {
			return nil, nil, options, err
		}
		o.addr, o.born, o.events, o.gap = addr, time.Now().UnixMilli(), darkEvents, eventGap
		c, err := s.startProcess(o)
		if err != nil {
			return nil, nil, options, err
		}
		listed := o
		if o.id == "d-0" {
			if proxy, err = newDarkProxy(addr); err != nil {
				return nil, nil, options, err
			}
			engine, options = c, o
			listed.addr = proxy.listener.Addr().String()
		}
		s.list(listed, "engines")
	}
	s.configureEngines()
	return engine, proxy, options, nil
}

// darken has the machine of an engine lose power, and come back with a new process.
func (s *site) darken(engine *child, proxy *darkProxy, o replicaOptions) {
	s.note("the machine of %s is dark", o.id)
	proxy.setDark(true)
	s.kill(engine)
	time.Sleep(darkFor)
	o.born = time.Now().UnixMilli()
	if _, err := s.startProcess(o); err != nil {
		s.note("%s did not start: %v", o.id, err)
		return
	}
	s.note("the machine of %s is back", o.id)
	proxy.setDark(false)
	o.addr = proxy.listener.Addr().String()
	s.list(o, "engines")
}

// startStreamVM starts a router and waits until streams begin there.
func (s *site) startStreamVM(name string) (*vm, error) {
	v, err := s.newVM(name)
	if err != nil {
		return nil, err
	}
	if err := s.startVM(v); err != nil {
		return nil, err
	}
	if err := await(name+" serves", func() bool { return isReady(v) && s.begins(v) }); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	return v, nil
}

package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// linkFault is what happens to a proxied connection at a byte of one direction.
type linkFault int

const (
	linkHealthy linkFault = iota
	// linkReset resets both halves.
	linkReset
	// linkEnd ends both halves in an orderly way.
	linkEnd
	// linkCut loses all further bytes of this direction.
	linkCut
	// linkSilence holds the bytes back for some time.
	linkSilence
	linkFaults
)

const (
	// faultyLinkShare is one in how many connections have a fault in a direction.
	faultyLinkShare = 2
	// refusedShare is one in how many connections are reset at once. A VM then asks its peers for the way to the replica.
	refusedShare = 6
	// maxFaultOffset is the highest number of bytes before a fault.
	maxFaultOffset = 24_000
	// maxSegment is the size of the largest part into which a split write is divided, in bytes.
	maxSegment = 300
	// maxSegmentDelay is the longest delay of a part, and delayedSegments one in how many parts are delayed.
	maxSegmentDelay = 3 * time.Millisecond
	delayedSegments = 20
	// proxyBufferBytes is the size of one read.
	proxyBufferBytes = 16 << 10
	minSilence       = 100 * time.Millisecond
	maxSilence       = 4 * time.Second
)

// proxy forwards connections to a replica and harms them.
type proxy struct {
	listener net.Listener
	target   string
	name     string
	seed     uint64
	harmful  bool
	// softens is whether a reset of one half is passed on as an orderly end, as simple forwarders do.
	softens  bool
	accepted atomic.Int64
}

// startProxy listens at an address and forwards to target. The returned function closes the listener.
func startProxy(listen, target, name string, seed uint64, harmful bool) (func(), error) {
	return (&proxy{target: target, name: name, seed: seed, harmful: harmful}).start(listen)
}

// startFront starts the forwarder between callers and a VM.
func startFront(listen, target, name string) (func(), error) {
	return (&proxy{target: target, name: name, softens: true}).start(listen)
}

func (p *proxy) start(listen string) (func(), error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, &Error{"start proxy", err}
	}
	p.listener = listener
	go p.accept()
	return func() { listener.Close() }, nil
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn.(*net.TCPConn), p.accepted.Add(1))
	}
}

// forward copies both directions of the n-th connection.
func (p *proxy) forward(down *net.TCPConn, n int64) {
	if p.harmful && newRand(p.seed, fmt.Sprint(p.name, n)).IntN(refusedShare) == 0 {
		reset(down)
		return
	}
	raw, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(down)
		return
	}
	up := raw.(*net.TCPConn)
	done := make(chan struct{}, 2)
	for _, d := range []*direction{{from: up, to: down}, {from: down, to: up}} {
		d.rng, d.softens = newRand(p.seed, fmt.Sprint(p.name, n, d.to == down)), p.softens
		if p.harmful {
			d.plan()
		}
		go func() {
			d.copy()
			done <- struct{}{}
		}()
	}
	<-done
	<-done
	closeAll(down, up)
}

func closeAll(conns ...*net.TCPConn) {
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func reset(conns ...*net.TCPConn) {
	for _, conn := range conns {
		_ = conn.SetLinger(0)
	}
	closeAll(conns...)
}

// direction copies bytes from one half of a proxied connection to the other.
type direction struct {
	from, to *net.TCPConn
	rng      *rand.Rand
	split    bool
	softens  bool
	fault    linkFault
	// remaining is the number of bytes before the fault.
	remaining int
}

// plan draws the faults of a direction.
func (d *direction) plan() {
	d.split = d.rng.IntN(2) == 0
	if d.rng.IntN(faultyLinkShare) == 0 {
		d.fault = linkReset + linkFault(d.rng.IntN(int(linkFaults-linkReset)))
		d.remaining = d.rng.IntN(maxFaultOffset)
	}
}

// copy copies until the source ends, whose kind of end it passes on.
func (d *direction) copy() {
	buffer := make([]byte, proxyBufferBytes)
	for {
		n, err := d.from.Read(buffer)
		if n > 0 && !d.write(buffer[:n]) {
			return
		}
		switch {
		case err == nil:
		case err == io.EOF, d.softens:
			_ = d.to.CloseWrite()
			return
		default:
			reset(d.to, d.from)
			return
		}
	}
}

// write passes data on in parts, and reports whether the direction goes on.
func (d *direction) write(data []byte) bool {
	for len(data) > 0 {
		part := data[:d.partSize(len(data))]
		if d.fault != linkHealthy && d.remaining <= len(part) {
			part = part[:d.remaining]
		}
		if _, err := d.to.Write(part); err != nil {
			reset(d.from, d.to)
			return false
		}
		data = data[len(part):]
		if d.fault == linkHealthy {
			continue
		}
		if d.remaining -= len(part); d.remaining == 0 && !d.harm() {
			return false
		}
	}
	return true
}

// partSize returns the size of the next part of n bytes, after a delay for some.
func (d *direction) partSize(n int) int {
	if !d.split {
		return n
	}
	if d.rng.IntN(delayedSegments) == 0 {
		time.Sleep(time.Duration(d.rng.Int64N(int64(maxSegmentDelay))))
	}
	return min(n, 1+d.rng.IntN(maxSegment))
}

// harm applies the fault, and reports whether the direction goes on.
func (d *direction) harm() bool {
	fault := d.fault
	d.fault = linkHealthy
	switch fault {
	case linkReset:
		reset(d.from, d.to)
		return false
	case linkEnd:
		closeAll(d.to, d.from)
		return false
	case linkCut:
		_, _ = io.Copy(io.Discard, d.from)
		return false
	case linkSilence:
		time.Sleep(randomDuration(d.rng, minSilence, maxSilence))
	}
	return true
}

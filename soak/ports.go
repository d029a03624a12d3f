package soak

import (
	"errors"
	"fmt"
	"net"
)

// The ports lie below those that the kernel gives to outgoing connections, so that none is taken while its process is down.
const (
	firstPort     = 12_000
	lastPort      = 20_000
	portBlockSize = 200
)

// ports is a block of ports that one run uses. The first port is kept open, so that runs beside each other use different blocks.
type ports struct {
	first, next int
}

// claimPorts claims a block of ports. The returned function releases it.
func claimPorts() (*ports, func(), error) {
	for first := firstPort; first < lastPort; first += portBlockSize {
		if listener, err := net.Listen("tcp", loopbackAddress(first)); err == nil {
			return &ports{first: first, next: first}, func() { listener.Close() }, nil
		}
	}
	return nil, nil, &Error{"claim ports", errors.New("all blocks are in use")}
}

// addresses returns n addresses at which nothing listens. No address is returned twice.
func (p *ports) addresses(n int) ([]string, error) {
	var addrs []string
	for len(addrs) < n {
		if p.next++; p.next == p.first+portBlockSize {
			return nil, &Error{"find a free port", errors.New("the block is used up")}
		}
		if listener, err := net.Listen("tcp", loopbackAddress(p.next)); err == nil {
			listener.Close()
			addrs = append(addrs, loopbackAddress(p.next))
		}
	}
	return addrs, nil
}

func loopbackAddress(port int) string { return fmt.Sprint("127.0.0.1:", port) }

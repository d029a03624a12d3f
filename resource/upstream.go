package resource

import (
	"errors"
	"fmt"
	"net"
)

// Upstream is one engine or service process.
type Upstream struct {
	Name string `json:"-"`
	Pool string
	// Address is the IP address and port.
	Address string
	// AvailabilityZone is where the upstream runs.
	AvailabilityZone string `json:",omitempty"`
	// Places is how many requests a decode engine holds, or how many calls a service takes at once.
	Places int `json:",omitempty"`
	// Leaving upstreams get no new work.
	Leaving bool `json:",omitempty"`
	// ChecksFencing says that the engine refuses an order with an old fencing number.
	ChecksFencing bool `json:",omitempty"`
}

const defaultPlaces = 20

func (u Upstream) named(name string) Upstream {
	u.Name = name
	if u.Places == 0 {
		u.Places = defaultPlaces
	}
	return u
}

func (u Upstream) check() error {
	if u.Pool == "" {
		return errors.New("Pool is empty")
	}
	host, _, err := net.SplitHostPort(u.Address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("Address %q is not an IP address and port", u.Address)
	}
	return inRange("Places", u.Places, 1, 100_000)
}

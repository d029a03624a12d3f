package resource

import (
	"errors"
	"fmt"
	"net"
)

// Upstream is an engine or service process that requests are forwarded to.
type Upstream struct {
	Name string `json:"-"`
	Pool string
	// Address is the IP address and port, such as "10.0.0.1:7000".
	Address string
	// AvailabilityZone is the availability zone that the upstream runs in.
	AvailabilityZone string `json:",omitempty"`
	// Places is the maximum number of concurrent requests on a decode engine or a service. 0 means
	// defaultPlaces.
	Places int `json:",omitempty"`
	// Leaving marks an upstream that is being drained. It gets no new work.
	Leaving bool `json:",omitempty"`
	// ChecksFencing is set if the engine rejects orders with an outdated fencing token.
	ChecksFencing bool `json:",omitempty"`
}

const defaultPlaces = 20

func (u Upstream) withNameAndDefaults(name string) Upstream {
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
	return checkRange("Places", u.Places, 1, 100_000)
}

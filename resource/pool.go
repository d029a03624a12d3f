package resource

import "fmt"

// Role says what the upstreams of a pool do.
type Role string

// The roles of a pool.
const (
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
	RoleService Role = "Service"
)

// Pool groups the upstreams that serve one purpose.
type Pool struct {
	Name string `json:"-"`
	Role Role
	// RetainMillis is how long a prefill engine keeps a result that was not fetched.
	RetainMillis int `json:",omitempty"`
	// LinkBytesPerSecond is the rate of one KV transfer link, used to predict transfers.
	LinkBytesPerSecond float64 `json:",omitempty"`
	// KVBytesPerToken is the size of the KV cache of one prompt token.
	KVBytesPerToken float64 `json:",omitempty"`
}

const (
	defaultRetainMillis       = 700
	defaultLinkBytesPerSecond = 10e9
	defaultKVBytesPerToken    = 100e3
)

func (p Pool) named(name string) Pool {
	p.Name = name
	if p.RetainMillis == 0 {
		p.RetainMillis = defaultRetainMillis
	}
	if p.LinkBytesPerSecond == 0 {
		p.LinkBytesPerSecond = defaultLinkBytesPerSecond
	}
	if p.KVBytesPerToken == 0 {
		p.KVBytesPerToken = defaultKVBytesPerToken
	}
	return p
}

func (p Pool) check() error {
	switch p.Role {
	case RolePrefill, RoleDecode, RoleService:
	default:
		return fmt.Errorf("Role is %q, not Prefill, Decode or Service", p.Role)
	}
	return firstError(
		inRange("RetainMillis", p.RetainMillis, 1, 600_000),
		inRange("LinkBytesPerSecond", p.LinkBytesPerSecond, 1, 1e13),
		inRange("KVBytesPerToken", p.KVBytesPerToken, 1, 1e9),
	)
}

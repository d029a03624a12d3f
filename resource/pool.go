package resource

import "fmt"

// Role is the kind of work that the upstreams of a pool do.
type Role string

// Roles of a Pool.
const (
	RolePrefill Role = "Prefill"
	RoleDecode  Role = "Decode"
	RoleService Role = "Service"
)

// Pool is a group of interchangeable upstreams with the same role.
type Pool struct {
	Name string `json:"-"`
	Role Role
	// RetainMillis is how long a prefill engine keeps a result until it is fetched, in milliseconds.
	RetainMillis int `json:",omitempty"`
	// LinkBytesPerSecond is the bandwidth of a KV transfer link. It is used to predict transfer times.
	LinkBytesPerSecond float64 `json:",omitempty"`
	// KVBytesPerToken is the size of the KV cache of one prompt token, in bytes.
	KVBytesPerToken float64 `json:",omitempty"`
}

const (
	defaultRetainMillis       = 700
	defaultLinkBytesPerSecond = 10e9
	defaultKVBytesPerToken    = 100e3
)

func (p Pool) withNameAndDefaults(name string) Pool {
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
		checkRange("RetainMillis", p.RetainMillis, 1, 600_000),
		checkRange("LinkBytesPerSecond", p.LinkBytesPerSecond, 1, 1e13),
		checkRange("KVBytesPerToken", p.KVBytesPerToken, 1, 1e9),
	)
}

// Package declaration reads the file that declares routes, pools, upstreams, accounts and VMs for installations
// without a platform.
//
// The file is JSON with comments. docs/DECLARATIONS.md describes it.
package declaration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/tailscale/hujson"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// Values of a route's Kind in the file.
const (
	kindAtMostOnce = "AtMostOnce"
	kindIdempotent = "Idempotent"
	kindStream     = "Stream"
	kindResumable  = "ResumableStream"
)

// Values of an upstream's Stage in the file.
const (
	stagePrefill = "Prefill"
	stageDecode  = "Decode"
)

// Content holds the parsed declarations of a file.
type Content struct {
	Declarations routing.Declarations
	Upstreams    []placement.Replica
	// VMs maps the names of VMs to the addresses that receive their beacons.
	VMs map[string]string
}

type file struct {
	// Version must be increased with each change to routes, pools, accounts or limits. Otherwise the change is not
	// applied.
	Version  uint64
	Routes   []route
	Pools    []pool
	Accounts []account
	Limits   limits
	VMs      []vm
}

type route struct {
	Name, Host, PathPrefix, Kind                        string
	Public                                              bool
	MaxAttempts, Priority                               int
	TimeoutMillis, LatencyTargetMillis, GapTargetMillis int
	Pools                                               []split
}

type split struct {
	Pool   string
	Weight int
}

type pool struct {
	Name      string
	Engine    *engine
	Upstreams []upstream
}

type engine struct {
	MaxRunning, MemoryTokens, RetainMillis, TokensPerEvent int
}

type upstream struct {
	Name, Address, AvailabilityZone, Stage string
	Slots                                  int
	Leaving                                bool
}

type account struct {
	Name string
	// KeyHashes are the hexadecimal SHA-256 hashes of the API keys.
	KeyHashes                                 []string
	Priority                                  *int
	TokensPerSecond, BurstTokens, PlainTokens float64
	PerRequest                                bool
}

type limits struct {
	HeaderBytes                            int
	BodyBytes                              int64
	HeaderTimeoutMillis, IdleTimeoutMillis int
}

type vm struct {
	Name, Address string
}

// Load reads and parses the file at path. Errors are of type *Error.
func Load(path string) (Content, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Content{}, &Error{Op: "read declarations", Kind: ErrUnreadable, Err: err}
	}
	return Parse(data)
}

// Parse parses and validates JSON with comments. Unknown fields are errors. Errors are of type *Error.
func Parse(data []byte) (Content, error) {
	const op = "parse declarations"
	standard, err := hujson.Standardize(data)
	if err != nil {
		return Content{}, &Error{Op: op, Kind: ErrMalformed, Err: err}
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	var f file
	if err := decoder.Decode(&f); err != nil {
		return Content{}, &Error{Op: op, Kind: ErrMalformed, Err: err}
	}
	content, err := f.toContent()
	if err != nil {
		return Content{}, &Error{Op: op, Kind: ErrInvalid, Err: err}
	}
	return content, nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (f file) toContent() (Content, error) {
	c := Content{VMs: map[string]string{}, Declarations: routing.Declarations{Version: f.Version, Limits: routing.Limits{
		HeaderBytes: f.Limits.HeaderBytes, BodyBytes: f.Limits.BodyBytes,
		HeaderTimeout: millis(f.Limits.HeaderTimeoutMillis), IdleTimeout: millis(f.Limits.IdleTimeoutMillis),
	}}}
	if f.Version == 0 {
		return Content{}, fmt.Errorf("version is missing")
	}
	pools := map[string]bool{}
	for _, p := range f.Pools {
		pools[p.Name] = true
		c.Declarations.Pools = append(c.Declarations.Pools, p.toPool())
		for _, u := range p.Upstreams {
			replica, err := u.toReplica(p)
			if err != nil {
				return Content{}, err
			}
			c.Upstreams = append(c.Upstreams, replica)
		}
	}
	for _, r := range f.Routes {
		converted, err := r.toRoute(pools)
		if err != nil {
			return Content{}, err
		}
		c.Declarations.Routes = append(c.Declarations.Routes, converted)
	}
	for _, a := range f.Accounts {
		c.Declarations.Accounts = append(c.Declarations.Accounts, a.toAccount())
	}
	for _, v := range f.VMs {
		if err := checkAddress("VM", v.Name, v.Address); err != nil {
			return Content{}, err
		}
		c.VMs[v.Name] = v.Address
	}
	return c, nil
}

func checkAddress(kind, name, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%s %q: %q is not an IP address with a port", kind, name, address)
	}
	return nil
}

func (p pool) toPool() routing.Pool {
	converted := routing.Pool{Name: p.Name}
	if e := p.Engine; e != nil {
		converted.Engine = &routing.EngineSpec{MaxRunning: e.MaxRunning, MemoryTokens: e.MemoryTokens, Retain: millis(e.RetainMillis), TokensPerEvent: max(1, e.TokensPerEvent)}
	}
	return converted
}

func (u upstream) toReplica(p pool) (placement.Replica, error) {
	r := placement.Replica{ID: u.Name, Pool: p.Name, Address: u.Address, Zone: u.AvailabilityZone, Slots: max(1, u.Slots), Leaving: u.Leaving}
	if err := checkAddress("upstream", u.Name, u.Address); err != nil {
		return r, err
	}
	switch {
	case p.Engine == nil && u.Stage == "":
	case p.Engine != nil && u.Stage == stagePrefill:
		r.Stage = placement.StagePrefill
	case p.Engine != nil && u.Stage == stageDecode:
		r.Stage = placement.StageDecode
	default:
		return r, fmt.Errorf("upstream %q: stage %q does not match its pool", u.Name, u.Stage)
	}
	return r, nil
}

func (r route) toRoute(pools map[string]bool) (routing.Route, error) {
	converted := routing.Route{
		Name: r.Name, Host: r.Host, Prefix: r.PathPrefix, Public: r.Public, MaxAttempts: max(1, r.MaxAttempts), Priority: r.Priority,
		Timeout: millis(r.TimeoutMillis), LatencyTarget: millis(r.LatencyTargetMillis), GapTarget: millis(r.GapTargetMillis),
	}
	switch r.Kind {
	case kindAtMostOnce:
	case kindIdempotent:
		converted.Repeat = routing.Idempotent
	case kindStream:
		converted.Stream = true
	case kindResumable:
		converted.Stream, converted.Repeat = true, routing.Resumable
	default:
		return converted, fmt.Errorf("route %q: unknown kind %q", r.Name, r.Kind)
	}
	if len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/' {
		return converted, fmt.Errorf("route %q: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	for _, s := range r.Pools {
		if !pools[s.Pool] {
			return converted, fmt.Errorf("route %q: pool %q is not declared", r.Name, s.Pool)
		}
		converted.Splits = append(converted.Splits, routing.Split{Pool: s.Pool, Weight: max(1, s.Weight)})
	}
	if len(converted.Splits) == 0 {
		return converted, fmt.Errorf("route %q: no pool is set", r.Name)
	}
	return converted, nil
}

func (a account) toAccount() routing.Account {
	converted := routing.Account{
		Name: a.Name, KeyHashes: a.KeyHashes, Priority: -1, TokensPerSecond: a.TokensPerSecond, BurstTokens: a.BurstTokens,
		PlainTokens: a.PlainTokens, PerRequest: a.PerRequest,
	}
	if a.Priority != nil {
		converted.Priority = *a.Priority
	}
	return converted
}

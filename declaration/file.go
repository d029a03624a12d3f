// Package declaration reads the file that declares routes, pools, upstreams, accounts and VMs where no platform does.
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

// Kinds of route in the file.
const (
	kindAtMostOnce = "AtMostOnce"
	kindIdempotent = "Idempotent"
	kindStream     = "Stream"
	kindResumable  = "ResumableStream"
)

// Stages of engines in the file.
const (
	stagePrefill = "Prefill"
	stageDecode  = "Decode"
)

// Content is what a file declares.
type Content struct {
	Declarations routing.Declarations
	Upstreams    []placement.Replica
	// VMs are the addresses for beacons by the names of VMs.
	VMs map[string]string
}

type file struct {
	// Version must grow with each change that is to be put in force.
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
	Pools                                               []share
}

type share struct {
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
	// KeyHashes are hexadecimal SHA-256 sums of the keys.
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

// Load reads and checks a file.
func Load(path string) (Content, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Content{}, &Error{Op: "read declarations", Kind: ErrUnreadable, Err: err}
	}
	return Parse(data)
}

// Parse returns what a file declares. Fields that do not exist are errors.
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
	content, err := f.content()
	if err != nil {
		return Content{}, &Error{Op: op, Kind: ErrInvalid, Err: err}
	}
	return content, nil
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func (f file) content() (Content, error) {
	c := Content{VMs: map[string]string{}, Declarations: routing.Declarations{Version: f.Version, Limits: routing.Limits{
		HeaderBytes: f.Limits.HeaderBytes, BodyBytes: f.Limits.BodyBytes,
		HeaderTimeout: millis(f.Limits.HeaderTimeoutMillis), IdleTimeout: millis(f.Limits.IdleTimeoutMillis),
	}}}
	if f.Version == 0 {
		return Content{}, fmt.Errorf("the version is missing")
	}
	pools := map[string]bool{}
	for _, p := range f.Pools {
		pools[p.Name] = true
		c.Declarations.Pools = append(c.Declarations.Pools, p.declared())
		for _, u := range p.Upstreams {
			replica, err := u.replica(p)
			if err != nil {
				return Content{}, err
			}
			c.Upstreams = append(c.Upstreams, replica)
		}
	}
	for _, r := range f.Routes {
		declared, err := r.declared(pools)
		if err != nil {
			return Content{}, err
		}
		c.Declarations.Routes = append(c.Declarations.Routes, declared)
	}
	for _, a := range f.Accounts {
		c.Declarations.Accounts = append(c.Declarations.Accounts, a.declared())
	}
	for _, v := range f.VMs {
		if err := checkAddress("VM", v.Name, v.Address); err != nil {
			return Content{}, err
		}
		c.VMs[v.Name] = v.Address
	}
	return c, nil
}

func checkAddress(what, name, address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%s %q: %q is not an IP address with a port", what, name, address)
	}
	return nil
}

func (p pool) declared() routing.Pool {
	declared := routing.Pool{Name: p.Name}
	if e := p.Engine; e != nil {
		declared.Engine = &routing.EngineSpec{MaxRunning: e.MaxRunning, MemoryTokens: e.MemoryTokens, Retain: millis(e.RetainMillis), TokensPerEvent: max(1, e.TokensPerEvent)}
	}
	return declared
}

func (u upstream) replica(p pool) (placement.Replica, error) {
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
		return r, fmt.Errorf("upstream %q: stage %q does not fit its pool", u.Name, u.Stage)
	}
	return r, nil
}

func (r route) declared(pools map[string]bool) (routing.Route, error) {
	declared := routing.Route{
		Name: r.Name, Host: r.Host, Prefix: r.PathPrefix, Public: r.Public, MaxAttempts: max(1, r.MaxAttempts), Priority: r.Priority,
		Timeout: millis(r.TimeoutMillis), LatencyTarget: millis(r.LatencyTargetMillis), GapTarget: millis(r.GapTargetMillis),
	}
	switch r.Kind {
	case kindAtMostOnce:
	case kindIdempotent:
		declared.Repeat = routing.Idempotent
	case kindStream:
		declared.Stream = true
	case kindResumable:
		declared.Stream, declared.Repeat = true, routing.Resumable
	default:
		return declared, fmt.Errorf("route %q: kind %q is not known", r.Name, r.Kind)
	}
	if len(r.PathPrefix) == 0 || r.PathPrefix[0] != '/' || r.PathPrefix[len(r.PathPrefix)-1] != '/' {
		return declared, fmt.Errorf("route %q: path prefix %q does not begin and end with a slash", r.Name, r.PathPrefix)
	}
	for _, s := range r.Pools {
		if !pools[s.Pool] {
			return declared, fmt.Errorf("route %q: pool %q is not declared", r.Name, s.Pool)
		}
		declared.Splits = append(declared.Splits, routing.Split{Pool: s.Pool, Weight: max(1, s.Weight)})
	}
	if len(declared.Splits) == 0 {
		return declared, fmt.Errorf("route %q names no pool", r.Name)
	}
	return declared, nil
}

func (a account) declared() routing.Account {
	declared := routing.Account{
		Name: a.Name, KeyHashes: a.KeyHashes, Priority: -1, TokensPerSecond: a.TokensPerSecond, BurstTokens: a.BurstTokens,
		PlainTokens: a.PlainTokens, PerRequest: a.PerRequest,
	}
	if a.Priority != nil {
		declared.Priority = *a.Priority
	}
	return declared
}

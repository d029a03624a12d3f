// Package routing holds the declarations that traffic is served by, and finds the route and the client
// account of a request.
//
// A Table is immutable. The package does no input or output and knows no wire format.
package routing

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Repeat says what may be done again with a request.
type Repeat int

// Kinds of repetition.
const (
	// AtMostOnce requests may run once for each attempt of the caller.
	AtMostOnce Repeat = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may go on at another upstream after the last event that was passed on.
	Resumable
)

// Route says how requests for a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat Repeat
	// Stream says that the answer is a series of events.
	Stream bool
	// Public requests need no key.
	Public bool
	// MaxAttempts is on how many upstreams one request may run.
	MaxAttempts int
	// Priority is the rank among routes. 0 goes first.
	Priority int
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream.
	GapTarget time.Duration
	Splits    []Split
}

// Split sends a share of a route's requests to a pool.
type Split struct {
	Pool   string
	Weight int
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// Engine is set for pools of model engines.
	Engine *EngineSpec
}

// EngineSpec says what the engines of a pool can hold.
type EngineSpec struct {
	// MaxRunning is how many requests one engine runs at once.
	MaxRunning int
	// MemoryTokens is how many tokens of KV cache one engine holds.
	MemoryTokens int
	// Retain is how long a prefill result is kept until it is fetched.
	Retain time.Duration
	// TokensPerEvent is how many decode steps one event of a stream stands for.
	TokensPerEvent int
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// KeyHashes are hexadecimal SHA-256 sums of further keys.
	KeyHashes []string
	// Priority goes before the priority of the route, unless it is negative.
	Priority int
	// TokensPerSecond and BurstTokens bound what the account may use on all VMs together. A rate of 0
	// means that there is no bound.
	TokensPerSecond float64
	BurstTokens     float64
	// PlainTokens is what a request counts that does not state its tokens.
	PlainTokens float64
	// PerRequest says that every request counts 1, whatever its tokens.
	PerRequest bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declarations are all that an operator declared, as one version.
type Declarations struct {
	Version  uint64
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Table is an indexed version of the declarations.
type Table struct {
	Declarations
	hosts map[string][]*Route
	pools map[string]*Pool
	keys  map[string]*Account
	// hashes are the accounts by the hashes of their keys.
	hashes map[string]*Account
}

// NewTable indexes declarations.
func NewTable(d Declarations) *Table {
	t := &Table{Declarations: d, hosts: map[string][]*Route{}, pools: map[string]*Pool{}, keys: map[string]*Account{}, hashes: map[string]*Account{}}
	for i := range d.Routes {
		route := &d.Routes[i]
		host := hostName(route.Host)
		t.hosts[host] = append(t.hosts[host], route)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Pools {
		t.pools[d.Pools[i].Name] = &d.Pools[i]
	}
	for i := range d.Accounts {
		account := &d.Accounts[i]
		for _, key := range account.Keys {
			t.keys[key] = account
		}
		for _, hash := range account.KeyHashes {
			t.hashes[strings.ToLower(hash)] = account
		}
	}
	return t
}

// hostName strips the port, and the case, which hosts do not depend on.
func hostName(host string) string {
	name, port, found := strings.Cut(host, ":")
	if found && strings.Trim(port, "0123456789") != "" {
		name = host
	}
	return strings.ToLower(name)
}

// Match returns the route of a host with the longest prefix that begins the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Pool returns a pool by name.
func (t *Table) Pool(name string) (*Pool, bool) {
	pool, ok := t.pools[name]
	return pool, ok
}

// AccountOfKey returns the account that holds a key.
func (t *Table) AccountOfKey(key string) (*Account, bool) {
	account, ok := t.keys[key]
	if !ok && len(t.hashes) > 0 && key != "" {
		sum := sha256.Sum256([]byte(key))
		account, ok = t.hashes[hex.EncodeToString(sum[:])]
	}
	return account, ok
}

// NeedsKeys reports whether routes that are not public need a key. Without accounts none is needed.
func (t *Table) NeedsKeys() bool { return len(t.Accounts) > 0 }

// PickPool returns the pool for a request, by the weights of the route and a number in [0, 1).
func (r *Route) PickPool(at float64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	rest := at * float64(total)
	for _, split := range r.Splits {
		rest -= float64(split.Weight)
		if rest < 0 {
			return split.Pool
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Pool
}

// PriorityFor returns the rank of a request of an account on the route.
func (r *Route) PriorityFor(account *Account) int {
	if account != nil && account.Priority >= 0 {
		return account.Priority
	}
	return r.Priority
}

// Cost returns what a request counts against the rate of the account. tokens is 0 if it does not state them.
func (a *Account) Cost(tokens int) float64 {
	switch {
	case a.PerRequest:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return a.PlainTokens
}

// Package routing defines the routing configuration, and looks up the route and the client account of a request.
//
// A Table is immutable. The package performs no I/O and does not depend on any wire format.
package routing

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// RetryPolicy is the retry policy of a route.
type RetryPolicy int

// Retry policies.
const (
	// AtMostOnce means that a request is executed at most once per attempt of the caller.
	AtMostOnce RetryPolicy = iota
	// Idempotent means that a request may be executed more than once.
	Idempotent
	// Resumable means that a stream may be resumed at another upstream after the last event that was forwarded.
	Resumable
)

// Route configures how requests for a host and path prefix are served.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix of the route. It begins and ends with a slash.
	Prefix string
	Repeat RetryPolicy
	// Stream means that the response is an event stream.
	Stream bool
	// Public means that requests need no API key.
	Public bool
	// MaxAttempts is the maximum number of upstreams that are tried for one request.
	MaxAttempts int
	// Priority orders the requests of different routes. 0 is the highest priority.
	Priority int
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the response, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest pause between two events of a stream.
	GapTarget time.Duration
	Splits    []Split
	// Regions restricts where requests of the route may be served.
	Regions RegionLimit
}

// Split sends a share of a route's requests to a pool, in proportion to Weight.
type Split struct {
	Pool   string
	Weight int
}

// Pool is a set of interchangeable upstreams.
type Pool struct {
	Name string
	// Engine is set only for pools of model engines.
	Engine *EngineSpec
	// ColdRequestsPerSecond is the number of requests per second that each upstream takes while it is cold, which it is for
	// some seconds after its start. 0 means that they are not limited.
	ColdRequestsPerSecond float64
}

// EngineSpec describes the capacity of each engine of a pool.
type EngineSpec struct {
	// MaxRunning is the maximum number of requests that one engine runs concurrently.
	MaxRunning int
	// MemoryTokens is the KV cache capacity of one engine in tokens.
	MemoryTokens int
	// Retain is how long an engine keeps a prefill result that has not been fetched.
	Retain time.Duration
	// TokensPerEvent is the number of decode steps per stream event.
	TokensPerEvent int
}

// Account holds the API keys, the priority and the rate limit of a client account.
type Account struct {
	Name string
	Keys []string
	// KeyHashes are the hexadecimal SHA-256 hashes of further keys.
	KeyHashes []string
	// Priority overrides the priority of the route, unless it is negative.
	Priority int
	// TokensPerSecond and BurstTokens limit the tokens that the account may use on all VMs together. A rate of 0 means
	// unlimited.
	TokensPerSecond float64
	BurstTokens     float64
	// PlainTokens is the cost of a request that does not state its number of tokens.
	PlainTokens float64
	// PerRequest means that every request costs 1, regardless of its number of tokens.
	PerRequest bool
	// Regions restricts where the account's requests may be served.
	Regions RegionLimit
}

// Limits are the size limits and timeouts for requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Declarations are one version of the complete configuration that an operator declared.
type Declarations struct {
	Version  uint64
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Table indexes one version of the declarations for lookups.
type Table struct {
	Declarations
	routesByHost  map[string][]*Route
	poolsByName   map[string]*Pool
	accountsByKey map[string]*Account
	// accountsByKeyHash is keyed by the hexadecimal SHA-256 hash in lower case.
	accountsByKeyHash map[string]*Account
}

// NewTable returns a Table for the declarations.
func NewTable(d Declarations) *Table {
	t := &Table{Declarations: d, routesByHost: map[string][]*Route{}, poolsByName: map[string]*Pool{}, accountsByKey: map[string]*Account{}, accountsByKeyHash: map[string]*Account{}}
	for i := range d.Routes {
		route := &d.Routes[i]
		host := normalizeHost(route.Host)
		t.routesByHost[host] = append(t.routesByHost[host], route)
	}
	for _, routes := range t.routesByHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range d.Pools {
		t.poolsByName[d.Pools[i].Name] = &d.Pools[i]
	}
	for i := range d.Accounts {
		account := &d.Accounts[i]
		for _, key := range account.Keys {
			t.accountsByKey[key] = account
		}
		for _, hash := range account.KeyHashes {
			t.accountsByKeyHash[strings.ToLower(hash)] = account
		}
	}
	return t
}

// normalizeHost strips the port and converts the host to lower case, since host names are case-insensitive.
func normalizeHost(host string) string {
	name, port, found := strings.Cut(host, ":")
	if found && strings.Trim(port, "0123456789") != "" {
		name = host
	}
	return strings.ToLower(name)
}

// Match returns the route of the host with the longest prefix of the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, route := range t.routesByHost[normalizeHost(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}

// Pool returns the pool with the given name.
func (t *Table) Pool(name string) (*Pool, bool) {
	pool, ok := t.poolsByName[name]
	return pool, ok
}

// AccountByKey returns the account that owns an API key. It checks the plain keys first, then the hashes.
func (t *Table) AccountByKey(key string) (*Account, bool) {
	account, ok := t.accountsByKey[key]
	if !ok && len(t.accountsByKeyHash) > 0 && key != "" {
		sum := sha256.Sum256([]byte(key))
		account, ok = t.accountsByKeyHash[hex.EncodeToString(sum[:])]
	}
	return account, ok
}

// RequiresKeys reports whether routes that are not public require an API key, which is the case if any accounts exist.
func (t *Table) RequiresKeys() bool { return len(t.Accounts) > 0 }

// UsesPool reports whether the route sends requests to a pool.
func (r *Route) UsesPool(name string) bool {
	return slices.ContainsFunc(r.Splits, func(split Split) bool { return split.Pool == name && split.Weight > 0 })
}

// PickPool selects a pool by the weights of the route. fraction is a number in [0, 1), usually random. It returns "" if
// the route has no pools.
func (r *Route) PickPool(fraction float64) string {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	remaining := fraction * float64(total)
	for _, split := range r.Splits {
		remaining -= float64(split.Weight)
		if remaining < 0 {
			return split.Pool
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Pool
}

// PriorityFor returns the priority of the account's requests on the route. account may be nil.
func (r *Route) PriorityFor(account *Account) int {
	if account != nil && account.Priority >= 0 {
		return account.Priority
	}
	return r.Priority
}

// Cost returns the number of tokens that a request is charged against the rate limit of the account. tokens is 0 if the
// request does not state its number of tokens.
func (a *Account) Cost(tokens int) float64 {
	switch {
	case a.PerRequest:
		return 1
	case tokens > 0:
		return float64(tokens)
	}
	return a.PlainTokens
}

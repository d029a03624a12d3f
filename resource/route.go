package resource

import (
	"errors"
	"slices"
	"strings"
)

// Route maps calls of a model, or of a method and path, to pools.
type Route struct {
	Name string `json:"-"`
	// Model is the model name of completion calls. Either Model or PathPrefix is set.
	Model string `json:",omitempty"`
	// Method and PathPrefix select calls to a plain service.
	Method     string `json:",omitempty"`
	PathPrefix string `json:",omitempty"`
	// PrefillPool and DecodePool serve a model.
	PrefillPool string `json:",omitempty"`
	DecodePool  string `json:",omitempty"`
	// ServicePool serves a plain path.
	ServicePool string `json:",omitempty"`
	// Repeatable says that a call may be sent again after an unknown outcome.
	Repeatable bool `json:",omitempty"`
	// StatusPath is the idempotent read that settles an operation in doubt; {Operation} is replaced
	// with the operation ID.
	StatusPath string `json:",omitempty"`
	// Public lets callers in without a key.
	Public bool `json:",omitempty"`
	// Accounts lists the client accounts that may call. Empty means all.
	Accounts []string `json:",omitempty"`
	// FirstTokenMillis and TokenGapMillis are the latency targets.
	FirstTokenMillis int `json:",omitempty"`
	TokenGapMillis   int `json:",omitempty"`
	// Urgent calls go before others in the queues.
	Urgent bool `json:",omitempty"`
	// CostTokens is what one plain call takes from its account. 0 means 1.
	CostTokens int `json:",omitempty"`
}

const (
	defaultFirstTokenMillis = 1000
	defaultTokenGapMillis   = 60
)

func (r Route) named(name string) Route {
	r.Name = name
	if r.FirstTokenMillis == 0 {
		r.FirstTokenMillis = defaultFirstTokenMillis
	}
	if r.TokenGapMillis == 0 {
		r.TokenGapMillis = defaultTokenGapMillis
	}
	if r.CostTokens == 0 {
		r.CostTokens = 1
	}
	return r
}

func (r Route) check() error {
	if (r.Model == "") == (r.PathPrefix == "") {
		return errors.New("exactly one of Model and PathPrefix must be set")
	}
	if r.Model != "" && (r.PrefillPool == "" || r.DecodePool == "") {
		return errors.New("a model route needs PrefillPool and DecodePool")
	}
	if r.Model != "" && r.Public {
		return errors.New("a model route cannot be Public")
	}
	if r.PathPrefix != "" && (r.ServicePool == "" || r.Method == "") {
		return errors.New("a path route needs Method and ServicePool")
	}
	if r.PathPrefix != "" && !strings.HasPrefix(r.PathPrefix, "/") {
		return errors.New("PathPrefix does not start with '/'")
	}
	if r.PathPrefix != "" && !r.Repeatable && r.Public {
		return errors.New("a route that is not Repeatable cannot be Public")
	}
	return firstError(
		inRange("FirstTokenMillis", r.FirstTokenMillis, 1, 3_600_000),
		inRange("TokenGapMillis", r.TokenGapMillis, 1, 60_000),
		inRange("CostTokens", r.CostTokens, 1, 1_000_000),
	)
}

// Admits reports whether the route is open to an account.
func (r Route) Admits(account string) bool {
	return len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
}

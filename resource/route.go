package resource

import (
	"errors"
	"slices"
	"strings"
)

// Route maps requests for a model, or for a method and path, to the pools that serve them.
type Route struct {
	Name string `json:"-"`
	// Model is the model name of completion requests. Exactly one of Model and PathPrefix is set.
	Model string `json:",omitempty"`
	// Method and PathPrefix match requests to a service.
	Method     string `json:",omitempty"`
	PathPrefix string `json:",omitempty"`
	// PrefillPool and DecodePool are the pools that serve a model.
	PrefillPool string `json:",omitempty"`
	DecodePool  string `json:",omitempty"`
	// ServicePool is the pool that serves a path.
	ServicePool string `json:",omitempty"`
	// Repeatable allows a request to be sent again if its outcome is unknown.
	Repeatable bool `json:",omitempty"`
	// StatusPath is the path of an idempotent read that tells whether an operation in doubt has run.
	// {Operation} in it is replaced with the operation ID.
	StatusPath string `json:",omitempty"`
	// Public admits callers without a key.
	Public bool `json:",omitempty"`
	// Accounts lists the client accounts that may use the route. Empty means all.
	Accounts []string `json:",omitempty"`
	// FirstTokenMillis and TokenGapMillis are the latency targets for the first token and between
	// tokens, in milliseconds.
	FirstTokenMillis int `json:",omitempty"`
	TokenGapMillis   int `json:",omitempty"`
	// Urgent requests are queued ahead of others.
	Urgent bool `json:",omitempty"`
	// CostTokens is the number of tokens charged to the account for a request to a service. 0 means 1.
	CostTokens int `json:",omitempty"`
}

const (
	defaultFirstTokenMillis = 1000
	defaultTokenGapMillis   = 60
)

func (r Route) withNameAndDefaults(name string) Route {
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
		checkRange("FirstTokenMillis", r.FirstTokenMillis, 1, 3_600_000),
		checkRange("TokenGapMillis", r.TokenGapMillis, 1, 60_000),
		checkRange("CostTokens", r.CostTokens, 1, 1_000_000),
	)
}

// AllowsAccount reports whether an account may use the route.
func (r Route) AllowsAccount(account string) bool {
	return len(r.Accounts) == 0 || slices.Contains(r.Accounts, account)
}

package trial

import (
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// Policy is the name of a routing policy.
type Policy string

// The policies that are compared.
const (
	PolicyRoundRobin Policy = "round robin"
	PolicyLeast      Policy = "least outstanding"
	PolicyReserve    Policy = "place reserved"
	PolicyDispatch   Policy = "cassiabridge"
)

// Policies returns all policies, the baselines first.
func Policies() []Policy {
	return []Policy{PolicyRoundRobin, PolicyLeast, PolicyReserve, PolicyDispatch}
}

// policyCallbacks holds the functions that the simulation calls to notify a policy of events.
type policyCallbacks struct {
	start     func()
	submit    func(c *simRequest)
	prefilled func(c *simRequest)
	evicted   func(c *simRequest)
	failed    func(c *simRequest, engine string)
	finished  func(c *simRequest, gap time.Duration)
	progress  func(c *simRequest, gap time.Duration)
	// decodeRejected is called when a decode engine did not accept a request whose prefill result is still retained.
	decodeRejected func(c *simRequest, engine string)
	unreachable    func(engine string)
	zoneFailed     func(zone int)
}

func (p Policy) build(s *simulation) policyCallbacks {
	switch p {
	case PolicyRoundRobin:
		return newBaseline(s, false).callbacks()
	case PolicyLeast:
		return newBaseline(s, true).callbacks()
	case PolicyReserve:
		return newRouter(s, dispatch.WithReservedSlots()).callbacks()
	}
	return newRouter(s).callbacks()
}

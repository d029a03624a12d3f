package trial

import (
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
)

// Policy names a way to route.
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

// policy is what the model tells a router, as function fields.
type policy struct {
	start     func()
	submit    func(c *call)
	prefilled func(c *call)
	evicted   func(c *call)
	failed    func(c *call, engine string)
	finished  func(c *call, gap time.Duration)
	progress  func(c *call, gap time.Duration)
	// misplaced says that a decode engine did not take a call, whose result is still kept.
	misplaced   func(c *call, engine string)
	unreachable func(engine string)
	zoneCut     func(zone int)
}

func (p Policy) build(s *simulation) policy {
	switch p {
	case PolicyRoundRobin:
		return newBaseline(s, false).policy()
	case PolicyLeast:
		return newBaseline(s, true).policy()
	case PolicyReserve:
		return newRouter(s, dispatch.WithReservedPlaces()).policy()
	}
	return newRouter(s).policy()
}

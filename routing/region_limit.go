package routing

import "slices"

// RegionLimit restricts the regions whose upstreams may serve a request, hold its KV cache or see its body. The zero value
// does not restrict them.
type RegionLimit struct {
	// Limited is whether only the Allowed regions may. Without any, no region may.
	Limited bool
	Allowed []string
}

// Allows reports whether a region may serve a request. An unknown region is "" and is allowed only without a limit.
func (l RegionLimit) Allows(region string) bool {
	return !l.Limited || region != "" && slices.Contains(l.Allowed, region)
}

// And returns the limit that allows what both limits allow.
func (l RegionLimit) And(other RegionLimit) RegionLimit {
	switch {
	case !l.Limited:
		return other
	case !other.Limited:
		return l
	}
	both := RegionLimit{Limited: true}
	for _, region := range l.Allowed {
		if other.Allows(region) {
			both.Allowed = append(both.Allowed, region)
		}
	}
	return both
}

// RegionsFor returns the regions in which requests of an account on the route may be served. account may be nil.
func (r *Route) RegionsFor(account *Account) RegionLimit {
	if account == nil {
		return r.Regions
	}
	return r.Regions.And(account.Regions)
}

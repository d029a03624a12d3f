package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cassiabridge/cassiabridge/resource"
)

// View is an immutable index of the resources for the traffic goroutines.
type View struct {
	// Version is the ConfigVersion of the state.
	Version   uint64
	Accounts  map[string]resource.ClientAccount
	Pools     map[string]resource.Pool
	Upstreams map[string]resource.Upstream
	Orders    []VersionedOrder

	specs      map[resource.Ref]versionedSpec
	keysByHash map[string]resource.Key
	models     map[string]resource.Route
	paths      []resource.Route
}

// VersionedOrder is an order with its fencing number.
type VersionedOrder struct {
	resource.Order
	Fence uint64
}

// versionedSpec is a decoded spec, kept so that a change decodes only what it touched.
type versionedSpec struct {
	version uint64
	spec    any
}

// NewView returns the index of a state. Keys in withdrawn are treated as withdrawn already. Specs that
// have not changed since the previous view, which may be nil, are taken from it.
func NewView(s State, withdrawn map[string]bool, previous *View) *View {
	v := &View{
		specs:   make(map[resource.Ref]versionedSpec, s.docs.Len()),
		Version: s.ConfigVersion, Accounts: map[string]resource.ClientAccount{}, Pools: map[string]resource.Pool{},
		Upstreams: map[string]resource.Upstream{}, keysByHash: map[string]resource.Key{}, models: map[string]resource.Route{},
	}
	for _, doc := range s.Documents("") {
		spec, ok := previous.spec(doc)
		if !ok {
			continue
		}
		v.specs[doc.Ref()] = versionedSpec{version: doc.Version, spec: spec}
		v.add(spec, doc.Version, withdrawn)
	}
	// The longest prefix decides.
	slices.SortStableFunc(v.paths, func(a, b resource.Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return v
}

// spec returns the decoded spec of a document.
func (v *View) spec(doc resource.Document) (any, bool) {
	if v != nil {
		if known, ok := v.specs[doc.Ref()]; ok && known.version == doc.Version {
			return known.spec, true
		}
	}
	spec, err := resource.Decode(doc)
	return spec, err == nil
}

func (v *View) add(spec any, version uint64, withdrawn map[string]bool) {
	switch value := spec.(type) {
	case resource.ClientAccount:
		v.Accounts[value.Name] = value
	case resource.Pool:
		v.Pools[value.Name] = value
	case resource.Upstream:
		v.Upstreams[value.Name] = value
	case resource.Order:
		v.Orders = append(v.Orders, VersionedOrder{Order: value, Fence: version})
	case resource.Key:
		if !value.Withdrawn && !withdrawn[value.Name] {
			v.keysByHash[value.Hash] = value
		}
	case resource.Route:
		if value.Model != "" {
			v.models[value.Model] = value
		} else {
			v.paths = append(v.paths, value)
		}
	}
}

// Key returns the key with a secret, unless it is withdrawn.
func (v *View) Key(secret string) (resource.Key, bool) {
	key, ok := v.keysByHash[resource.HashSecret(secret)]
	return key, ok
}

// KeyInForce reports whether a key that was accepted before is still accepted.
func (v *View) KeyInForce(key resource.Key) bool {
	_, ok := v.keysByHash[key.Hash]
	return ok
}

// ModelRoute returns the route of a model.
func (v *View) ModelRoute(model string) (resource.Route, bool) {
	route, ok := v.models[model]
	return route, ok
}

// ModelRoutes returns the routes of all models in name order.
func (v *View) ModelRoutes() []resource.Route {
	routes := slices.Collect(maps.Values(v.models))
	slices.SortFunc(routes, func(a, b resource.Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes
}

// PathRoute returns the route with the longest prefix of a path for a method.
func (v *View) PathRoute(method, path string) (resource.Route, bool) {
	for _, route := range v.paths {
		if route.Method == method && matchesPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return resource.Route{}, false
}

// matchesPrefix reports whether prefix ends at a path segment of path.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// UpstreamsOf returns the upstreams of a pool that take new work, in name order.
func (v *View) UpstreamsOf(pool string) []resource.Upstream {
	var found []resource.Upstream
	for _, upstream := range v.Upstreams {
		if upstream.Pool == pool && !upstream.Leaving {
			found = append(found, upstream)
		}
	}
	slices.SortFunc(found, func(a, b resource.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

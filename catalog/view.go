package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cassiabridge/cassiabridge/resource"
)

// View is an immutable index of the resources of a State. It serves lookups while requests are
// handled and is safe for concurrent use.
type View struct {
	// Version is the ConfigVersion of the State.
	Version   uint64
	Accounts  map[string]resource.ClientAccount
	Pools     map[string]resource.Pool
	Upstreams map[string]resource.Upstream
	Orders    []VersionedOrder

	specs       map[resource.Ref]cachedSpec
	keysByHash  map[string]resource.Key
	modelRoutes map[string]resource.Route
	pathRoutes  []resource.Route
}

// VersionedOrder is an order with its fencing token.
type VersionedOrder struct {
	resource.Order
	// Fence is the version of the order.
	Fence uint64
}

// cachedSpec is a decoded spec and its version. The next View reuses it if the version is the same.
type cachedSpec struct {
	version uint64
	spec    any
}

// NewView builds the View of a state. It leaves out resources that cannot be decoded, withdrawn keys
// and the keys named in withdrawn. Decoded specs are reused from the previous View, which may be nil,
// if their version is the same.
func NewView(s State, withdrawn map[string]bool, previous *View) *View {
	v := &View{
		specs:   make(map[resource.Ref]cachedSpec, s.documents.Len()),
		Version: s.ConfigVersion, Accounts: map[string]resource.ClientAccount{}, Pools: map[string]resource.Pool{},
		Upstreams: map[string]resource.Upstream{}, keysByHash: map[string]resource.Key{}, modelRoutes: map[string]resource.Route{},
	}
	for _, doc := range s.Documents("") {
		spec, ok := previous.decodeSpec(doc)
		if !ok {
			continue
		}
		v.specs[doc.Ref()] = cachedSpec{version: doc.Version, spec: spec}
		v.indexSpec(spec, doc.Version, withdrawn)
	}
	// PathRoute returns the first match, so longer prefixes go first.
	slices.SortStableFunc(v.pathRoutes, func(a, b resource.Route) int {
		return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
	})
	return v
}

// decodeSpec returns the decoded spec of a document, from the cache of v if it has the same version.
// v may be nil.
func (v *View) decodeSpec(doc resource.Document) (any, bool) {
	if v != nil {
		if cached, ok := v.specs[doc.Ref()]; ok && cached.version == doc.Version {
			return cached.spec, true
		}
	}
	spec, err := resource.Decode(doc)
	return spec, err == nil
}

func (v *View) indexSpec(spec any, version uint64, withdrawn map[string]bool) {
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
			v.modelRoutes[value.Model] = value
		} else {
			v.pathRoutes = append(v.pathRoutes, value)
		}
	}
}

// Key returns the key with the given secret, and whether it exists and is not withdrawn.
func (v *View) Key(secret string) (resource.Key, bool) {
	key, ok := v.keysByHash[resource.HashSecret(secret)]
	return key, ok
}

// IsKeyActive reports whether a key from an earlier View still exists and is not withdrawn.
func (v *View) IsKeyActive(key resource.Key) bool {
	_, ok := v.keysByHash[key.Hash]
	return ok
}

// ModelRoute returns the route of a model, and whether there is one.
func (v *View) ModelRoute(model string) (resource.Route, bool) {
	route, ok := v.modelRoutes[model]
	return route, ok
}

// ModelRoutes returns all routes to models, sorted by route name.
func (v *View) ModelRoutes() []resource.Route {
	routes := slices.Collect(maps.Values(v.modelRoutes))
	slices.SortFunc(routes, func(a, b resource.Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes
}

// PathRoute returns the route for a method whose PathPrefix is the longest prefix of path, and whether
// there is one.
func (v *View) PathRoute(method, path string) (resource.Route, bool) {
	for _, route := range v.pathRoutes {
		if route.Method == method && matchesPrefix(path, route.PathPrefix) {
			return route, true
		}
	}
	return resource.Route{}, false
}

// matchesPrefix reports whether prefix is a prefix of path that ends at a segment boundary.
func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// ActiveUpstreams returns the upstreams of a pool that accept new work, sorted by name.
func (v *View) ActiveUpstreams(pool string) []resource.Upstream {
	var found []resource.Upstream
	for _, upstream := range v.Upstreams {
		if upstream.Pool == pool && !upstream.Leaving {
			found = append(found, upstream)
		}
	}
	slices.SortFunc(found, func(a, b resource.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

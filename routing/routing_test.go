package routing

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func newTestTable() *Table {
	return NewTable(Declarations{
		Version: 3,
		Routes: []Route{
			{Name: "root", Host: "a.example", Prefix: "/"},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/"},
			{Name: "middle", Host: "A.example", Prefix: "/x/"},
			{Name: "other", Host: "b.example", Prefix: "/x/"},
		},
		Accounts: []Account{{Name: "one", Keys: []string{"k1", "k2"}, Priority: 2}, {Name: "two", Keys: []string{"k3"}, Priority: -1}},
		Pools:    []Pool{{Name: "p"}},
	})
}

func TestMatch(t *testing.T) {
	scenarios := []struct{ name, host, path, want string }{
		{name: "longest prefix", host: "a.example", path: "/x/y/z", want: "deep"},
		{name: "shorter prefix", host: "a.example", path: "/x/z", want: "middle"},
		{name: "prefix without its trailing slash does not match", host: "a.example", path: "/x", want: "root"},
		{name: "host with a port", host: "b.example:8080", path: "/x/", want: "other"},
		{name: "host in upper case", host: "B.EXAMPLE", path: "/x/", want: "other"},
		{name: "unknown host", host: "c.example", path: "/x/"},
		{name: "unknown path", host: "b.example", path: "/z/"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			route, found := newTestTable().Match(s.host, s.path)
			assert.Equal(t, s.want != "", found)
			if found {
				assert.Equal(t, s.want, route.Name)
			}
		})
	}
}

func TestPickPoolByWeight(t *testing.T) {
	r := Route{Splits: []Split{{Pool: "a", Weight: 90}, {Pool: "b", Weight: 0}, {Pool: "c", Weight: 10}}}
	counts := map[string]int{}
	for i := range 100 {
		counts[r.PickPool(float64(i)/100)]++
	}
	assert.Equal(t, map[string]int{"a": 90, "c": 10}, counts)
	assert.Empty(t, (&Route{}).PickPool(0.5))
}

func TestAccounts(t *testing.T) {
	one, known := newTestTable().AccountByKey("k2")
	assert.True(t, known)
	assert.Equal(t, "one", one.Name)
	_, known = newTestTable().AccountByKey("")
	assert.False(t, known)
	two, _ := newTestTable().AccountByKey("k3")
	route := &Route{Priority: 5}
	assert.Equal(t, 2, route.PriorityFor(one), "the account's priority overrides the route's")
	assert.Equal(t, 5, route.PriorityFor(two))
	assert.Equal(t, 5, route.PriorityFor(nil))
}

func TestCost(t *testing.T) {
	account := Account{PlainTokens: 200}
	assert.Equal(t, 1460.0, account.Cost(1460))
	assert.Equal(t, 200.0, account.Cost(0))
	account.PerRequest = true
	assert.Equal(t, 1.0, account.Cost(1460))
}

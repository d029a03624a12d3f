package integration

import (
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/resource"
	"github.com/cassiabridge/cassiabridge/standin"
)

// withdrawalBound is within how long a withdrawn key must stop working everywhere.
const withdrawalBound = 3 * time.Second

// assertRefusedEverywhere checks that a key stops working on VMs within the bound.
func assertRefusedEverywhere(t *testing.T, c *cluster, key string, vms []*vm, since time.Time) {
	t.Helper()
	for _, v := range vms {
		for c.price(v, key).status == http.StatusOK {
			if time.Since(since) > withdrawalBound {
				assert.Fail(t, "the key still works", "%s after %s", v.name, time.Since(since))
				return
			}
		}
		assert.Less(t, time.Since(since), withdrawalBound+200*time.Millisecond)
	}
}

func TestWithdrawnKeyStopsWorking(t *testing.T) {
	c := newCluster(t, sizes{vms: 3, prefills: 1, decodes: 1, decode: standin.EngineConfig{TokenGap: 50 * time.Millisecond}})
	withdraw := func(v *vm, name string) answer {
		return c.operate(v, http.MethodPost, "/v1/keys/"+name+"/withdraw", "")
	}
	t.Run("log up", func(t *testing.T) {
		key := c.newKey("k-up", "schools")
		assert.Contains(t, withdraw(c.vms[0], "k-up").body, "Logged")
		assertRefusedEverywhere(t, c, key, c.vms, time.Now())
	})
	t.Run("stream open", func(t *testing.T) {
		key := c.newKey("k-stream", "schools")
		result := make(chan answer, 1)
		go func() { result <- c.completeStream(c.vms[1], key, "long brief", 400) }()
		c.eventually(5*time.Second, "the stream runs", func() bool { return len(c.decodes[0].Stats().Attempts) > 0 })
		began := time.Now()
		withdraw(c.vms[0], "k-stream")
		_, whole := (<-result).streamed()
		assert.False(t, whole)
		assert.Less(t, time.Since(began), withdrawalBound)
		c.t = t
		c.awaitReleased(5 * time.Second)
	})
	t.Run("log down", func(t *testing.T) {
		key := c.newKey("k-down", "schools")
		c.setLogDown(true)
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, http.StatusOK, c.price(c.vms[1], key).status, "an outage alone must not refuse keys")
		began := time.Now()
		go withdraw(c.vms[0], "k-down")
		time.Sleep(100 * time.Millisecond)
		assertRefusedEverywhere(t, c, key, c.vms, began)
		c.setLogDown(false)
		c.eventually(10*time.Second, "the log has the withdrawal", func() bool { return isWithdrawn(c, "k-down") })
		c.eventually(10*time.Second, "the audit trail names the operator", func() bool {
			trail := c.operate(c.vms[2], http.MethodGet, "/v1/audit?Kind=Key&Name=k-down", "").body
			return withdrawnByOperator.MatchString(trail)
		})
	})
	t.Run("a VM cut off from the log and its peers", func(t *testing.T) {
		key := c.newKey("k-cut", "schools")
		c.vms[2].logDown.Store(true)
		// A read of the log that waits already would still bring the withdrawal.
		time.Sleep(700 * time.Millisecond)
		for _, v := range c.vms {
			v.relay.cut.Store(true)
		}
		began := time.Now()
		go withdraw(c.vms[0], "k-cut")
		time.Sleep(100 * time.Millisecond)
		assertRefusedEverywhere(t, c, key, c.vms, began)
		for _, v := range c.vms {
			v.relay.cut.Store(false)
		}
		c.vms[2].logDown.Store(false)
		c.awaitReady(c.vms[2])
		assert.NotEqual(t, http.StatusOK, c.price(c.vms[2], key).status)
	})
}

// withdrawnByOperator matches the audit entry of a withdrawal, whichever VM logged it.
var withdrawnByOperator = regexp.MustCompile(`"Actor":"tester","VM":"[^"]*","Ref":\{[^}]*\},"Action":"Withdraw"`)

func isWithdrawn(c *cluster, key string) bool {
	a := c.operate(c.vms[2], http.MethodGet, "/v1/resources/Key/"+key, "")
	return a.status == http.StatusOK && strings.Contains(a.body, `"Withdrawn":true`)
}

func TestUpstreamsNeverSeeKeys(t *testing.T) {
	c := newCluster(t, sizes{vms: 1, prefills: 1, decodes: 1})
	key := c.newKey("k1", "schools")
	v := c.vms[0]
	base := "http://" + v.callers
	assert.Equal(t, http.StatusOK, c.complete(v, key, "a brief", 5).status)
	assert.Equal(t, http.StatusOK, c.price(v, key).status)
	assert.Equal(t, http.StatusOK, c.release(v, key, "job").status)
	scenarios := []struct {
		name string
		call func() answer
	}{
		{name: "query", call: func() answer { return call(http.MethodGet, base+"/desk/price/vinyl?key="+key, key, "") }},
		{name: "escaped query", call: func() answer {
			return call(http.MethodGet, base+"/desk/price/vinyl?key=%63"+url.QueryEscape(key[1:]), key, "")
		}},
		{name: "path", call: func() answer { return call(http.MethodGet, base+"/desk/price/"+key, key, "") }},
		{name: "body", call: func() answer {
			return call(http.MethodPost, base+"/desk/release", key, key, idempotencyKey("body"))
		}},
		{name: "prompt", call: func() answer { return c.complete(v, key, "my key is "+key, 5) }},
		{name: "escaped prompt", call: func() answer {
			return call(http.MethodPost, base+"/v1/completions", key, `{"model": "notes", "prompt": "\u0063`+key[1:]+`", "max_tokens": 5}`)
		}},
		{name: "forwarded header", call: func() answer { return call(http.MethodGet, base+"/desk/price/vinyl", key, "", header("Accept", key)) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a := s.call()
			assert.Equal(t, http.StatusBadRequest, a.status, a.body)
			assert.Equal(t, "not_run", a.refusal().Error.Run)
		})
	}
	t.Run("other headers are dropped", func(t *testing.T) {
		a := call(http.MethodGet, base+"/desk/price/vinyl", key, "", header("X-Api-Key", key), header("Cookie", "k="+key))
		assert.Equal(t, http.StatusOK, a.status)
	})
	assert.NotContains(t, c.seen(), key)
	assert.NotContains(t, c.seen(), "Authorization")
}

func TestRoutesAreOpenToTheirAccountsOnly(t *testing.T) {
	c := newCluster(t, sizes{vms: 1, accounts: []resource.Document{
		document("ClientAccount", "clinics", `{"TokensPerSecond": 1000, "BurstTokens": 1000}`),
		document("Route", "stock", `{"Method": "GET", "PathPrefix": "/desk/price/stock", "ServicePool": "desk", "Repeatable": true, "Accounts": ["clinics"]}`),
	}})
	schools, clinics := c.newKey("k1", "schools"), c.newKey("k2", "clinics")
	url := "http://" + c.vms[0].callers + "/desk/price/stock"
	assert.Equal(t, http.StatusForbidden, call(http.MethodGet, url, schools, "").status)
	assert.Equal(t, http.StatusOK, call(http.MethodGet, url, clinics, "").status)
	assert.Equal(t, http.StatusUnauthorized, call(http.MethodGet, url, "cb_wrong", "").status)
	assert.Equal(t, http.StatusUnauthorized, call(http.MethodGet, url, "", "").status)
}

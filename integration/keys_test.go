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

// maxWithdrawalDelay is the time within which every VM must reject a withdrawn key.
const maxWithdrawalDelay = 3 * time.Second

// assertKeyRejected checks that each of vms rejects key within maxWithdrawalDelay after since.
func assertKeyRejected(t *testing.T, c *cluster, key string, vms []*vm, since time.Time) {
	t.Helper()
	for _, v := range vms {
		for c.callPrice(v, key).status == http.StatusOK {
			if time.Since(since) > maxWithdrawalDelay {
				assert.Fail(t, "the key is still accepted", "%s after %s", v.name, time.Since(since))
				return
			}
		}
		assert.Less(t, time.Since(since), maxWithdrawalDelay+200*time.Millisecond)
	}
}

// VMs must reject a withdrawn key in time, even while the log or their peers are unreachable, and end the
// streams that it opened.
func TestWithdrawnKeyIsRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3, prefills: 1, decodes: 1, decode: standin.EngineConfig{TokenGap: 50 * time.Millisecond}})
	withdraw := func(v *vm, name string) response {
		return c.operatorCall(v, http.MethodPost, "/v1/keys/"+name+"/withdraw", "")
	}
	t.Run("log available", func(t *testing.T) {
		key := c.newKey("k-up", "schools")
		assert.Contains(t, withdraw(c.vms[0], "k-up").body, "Logged")
		assertKeyRejected(t, c, key, c.vms, time.Now())
	})
	t.Run("open stream", func(t *testing.T) {
		key := c.newKey("k-stream", "schools")
		result := make(chan response, 1)
		go func() { result <- c.sendStreamedCompletion(c.vms[1], key, "long brief", 400) }()
		c.eventually(5*time.Second, "the stream has started", func() bool { return len(c.decodes[0].Stats().Attempts) > 0 })
		start := time.Now()
		withdraw(c.vms[0], "k-stream")
		_, whole := (<-result).streamedText()
		assert.False(t, whole)
		assert.Less(t, time.Since(start), maxWithdrawalDelay)
		c.t = t
		c.awaitEngineMemoryReleased(5 * time.Second)
	})
	t.Run("log unavailable", func(t *testing.T) {
		key := c.newKey("k-down", "schools")
		c.setLogDown(true)
		// Longer than FreshnessMillis, which is 2000 by default.
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, http.StatusOK, c.callPrice(c.vms[1], key).status, "a log outage alone must not make keys invalid")
		start := time.Now()
		go withdraw(c.vms[0], "k-down")
		time.Sleep(100 * time.Millisecond)
		assertKeyRejected(t, c, key, c.vms, start)
		c.setLogDown(false)
		c.eventually(10*time.Second, "the withdrawal is in the log", func() bool { return isWithdrawn(c, "k-down") })
		c.eventually(10*time.Second, "the audit trail names the operator", func() bool {
			trail := c.operatorCall(c.vms[2], http.MethodGet, "/v1/audit?Kind=Key&Name=k-down", "").body
			return withdrawalAuditEntry.MatchString(trail)
		})
	})
	t.Run("VM partitioned from the log and its peers", func(t *testing.T) {
		key := c.newKey("k-cut", "schools")
		c.vms[2].logDown.Store(true)
		// A long poll of the log that is already pending could still return the withdrawal. It ends after
		// LogWaitMillis, which is 500 by default.
		time.Sleep(700 * time.Millisecond)
		for _, v := range c.vms {
			v.relay.blocked.Store(true)
		}
		start := time.Now()
		go withdraw(c.vms[0], "k-cut")
		time.Sleep(100 * time.Millisecond)
		assertKeyRejected(t, c, key, c.vms, start)
		for _, v := range c.vms {
			v.relay.blocked.Store(false)
		}
		c.vms[2].logDown.Store(false)
		c.awaitReady(c.vms[2])
		assert.NotEqual(t, http.StatusOK, c.callPrice(c.vms[2], key).status)
	})
}

// withdrawalAuditEntry matches the audit entry of a withdrawal by the operator, whichever VM logged it.
var withdrawalAuditEntry = regexp.MustCompile(`"Actor":"tester","VM":"[^"]*","Ref":\{[^}]*\},"Action":"Withdraw"`)

// isWithdrawn reports whether the third VM has the withdrawal of a key in its configuration.
func isWithdrawn(c *cluster, key string) bool {
	a := c.operatorCall(c.vms[2], http.MethodGet, "/v1/resources/Key/"+key, "")
	return a.status == http.StatusOK && strings.Contains(a.body, `"Withdrawn":true`)
}

// A caller's API key must not reach an upstream in any part of a request. Requests that carry it elsewhere
// than in the Authorization header are rejected, and headers that are not forwarded are dropped.
func TestKeysAreNotForwardedToUpstreams(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1, prefills: 1, decodes: 1})
	key := c.newKey("k1", "schools")
	v := c.vms[0]
	base := "http://" + v.callerAddr
	assert.Equal(t, http.StatusOK, c.sendCompletion(v, key, "a brief", 5).status)
	assert.Equal(t, http.StatusOK, c.callPrice(v, key).status)
	assert.Equal(t, http.StatusOK, c.callRelease(v, key, "job").status)
	scenarios := []struct {
		name string
		call func() response
	}{
		{name: "query", call: func() response { return call(http.MethodGet, base+"/desk/price/vinyl?key="+key, key, "") }},
		{name: "escaped query", call: func() response {
			return call(http.MethodGet, base+"/desk/price/vinyl?key=%63"+url.QueryEscape(key[1:]), key, "")
		}},
		{name: "path", call: func() response { return call(http.MethodGet, base+"/desk/price/"+key, key, "") }},
		{name: "body", call: func() response {
			return call(http.MethodPost, base+"/desk/release", key, key, withIdempotencyKey("body"))
		}},
		{name: "prompt", call: func() response { return c.sendCompletion(v, key, "my key is "+key, 5) }},
		{name: "escaped prompt", call: func() response {
			return call(http.MethodPost, base+"/v1/completions", key, `{"model": "notes", "prompt": "\u0063`+key[1:]+`", "max_tokens": 5}`)
		}},
		{name: "forwarded header", call: func() response {
			return call(http.MethodGet, base+"/desk/price/vinyl", key, "", withHeader("Accept", key))
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a := s.call()
			assert.Equal(t, http.StatusBadRequest, a.status, a.body)
			assert.Equal(t, "not_run", a.errorResponse().Error.Run)
		})
	}
	t.Run("headers that are not forwarded are dropped", func(t *testing.T) {
		a := call(http.MethodGet, base+"/desk/price/vinyl", key, "", withHeader("X-Api-Key", key), withHeader("Cookie", "k="+key))
		assert.Equal(t, http.StatusOK, a.status)
	})
	assert.NotContains(t, c.recordedRequests(), key)
	assert.NotContains(t, c.recordedRequests(), "Authorization")
}

func TestRoutesRejectOtherAccounts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1, extraResources: []resource.Document{
		document("ClientAccount", "clinics", `{"TokensPerSecond": 1000, "BurstTokens": 1000}`),
		document("Route", "stock", `{"Method": "GET", "PathPrefix": "/desk/price/stock", "ServicePool": "desk", "Repeatable": true, "Accounts": ["clinics"]}`),
	}})
	schools, clinics := c.newKey("k1", "schools"), c.newKey("k2", "clinics")
	url := "http://" + c.vms[0].callerAddr + "/desk/price/stock"
	assert.Equal(t, http.StatusForbidden, call(http.MethodGet, url, schools, "").status)
	assert.Equal(t, http.StatusOK, call(http.MethodGet, url, clinics, "").status)
	assert.Equal(t, http.StatusUnauthorized, call(http.MethodGet, url, "cb_wrong", "").status)
	assert.Equal(t, http.StatusUnauthorized, call(http.MethodGet, url, "", "").status)
}

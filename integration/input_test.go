package integration

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestMalformedInputIsRefused(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1, prefills: 1, decodes: 1})
	key := c.newKey("k1", "schools")
	base := "http://" + c.vms[0].callerAddr
	scenarios := []struct {
		name, path, body string
		status           int
	}{
		{name: "not JSON", path: "/v1/completions", body: "{", status: 400},
		{name: "JSON array", path: "/v1/completions", body: `[1, 2]`, status: 400},
		{name: "no prompt", path: "/v1/completions", body: `{"model": "notes"}`, status: 400},
		{name: "empty prompt", path: "/v1/completions", body: `{"model": "notes", "prompt": ""}`, status: 400},
		{name: "prompt is a number", path: "/v1/completions", body: `{"model": "notes", "prompt": 5}`, status: 400},
		{name: "negative max_tokens", path: "/v1/completions", body: `{"model": "notes", "prompt": "x", "max_tokens": -1}`, status: 400},
		{name: "max_tokens over the limit", path: "/v1/completions", body: `{"model": "notes", "prompt": "x", "max_tokens": 1e9}`, status: 400},
		{name: "unknown model", path: "/v1/completions", body: `{"model": "other", "prompt": "x"}`, status: 404},
		{name: "no messages", path: "/v1/chat/completions", body: `{"model": "notes", "messages": []}`, status: 400},
		{name: "prompt over the limit", path: "/v1/completions", body: `{"model": "notes", "prompt": "` + strings.Repeat("x", 300_000) + `"}`, status: 400},
		{name: "body over the limit", path: "/v1/completions", body: strings.Repeat("x", 5<<20), status: 413},
		{name: "unknown path", path: "/nowhere", body: "", status: 404},
		{name: "path with dots", path: "/desk/price/../release", body: "", status: 400},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			a := call(http.MethodPost, base+s.path, key, s.body)
			assert.NoError(t, a.err)
			assert.GreaterOrEqual(t, a.status, 300)
			if s.name != "path with dots" {
				assert.Equal(t, s.status, a.status, a.body)
				assert.Equal(t, "not_run", a.errorResponse().Error.Run, a.body)
			}
		})
	}
	t.Run("not HTTP", func(t *testing.T) {
		conn, err := net.Dial("tcp", c.vms[0].callerAddr)
		assert.NoError(t, err)
		defer conn.Close()
		_, _ = fmt.Fprint(conn, "\x00\xff\r\n\r\n")
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		buffer := make([]byte, 64)
		n, _ := conn.Read(buffer)
		assert.Contains(t, string(buffer[:n]), "400")
	})
	assertComplete(t, c.sendCompletion(c.vms[0], key, "still works", 10), "still works", 10)
	assert.Empty(t, c.desk.Runs())
}

func TestOperatorAuthentication(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1})
	url := "http://" + c.vms[0].operatorAddr
	assert.Equal(t, http.StatusUnauthorized, call(http.MethodGet, url+"/v1/resources", "", "").status)
	assert.Equal(t, http.StatusUnauthorized, call(http.MethodGet, url+"/v1/resources", "wrong", "").status)
	assert.Equal(t, http.StatusNotFound, call(http.MethodGet, "http://"+c.vms[0].callerAddr+"/v1/resources", operatorToken, "").status, "the callers' port does not serve the operator API")
	assert.Equal(t, http.StatusBadRequest, c.operatorCall(c.vms[0], http.MethodPut, "/v1/resources/Pool/p", `{"Role": "Cook"}`).status)
	assert.Equal(t, http.StatusBadRequest, c.operatorCall(c.vms[0], http.MethodPut, "/v1/resources/Key/k", `{}`).status)
	metrics := call(http.MethodGet, url+"/metrics", "", "")
	assert.Contains(t, metrics.body, "cassiabridge_log_age_seconds")
}

package declaration

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

const examplePath = "../docs/declarations.jsonc"

func TestLoadExample(t *testing.T) {
	c, err := Load(examplePath)
	require.NoError(t, err)
	d := c.Declarations
	assert.Equal(t, uint64(1), d.Version)
	assert.Equal(t, routing.Route{Name: "notes", Host: "notes.example", Prefix: "/notes/", Repeat: routing.Resumable, Stream: true, MaxAttempts: 2,
		Timeout: 14 * time.Second, LatencyTarget: 900 * time.Millisecond, GapTarget: 300 * time.Millisecond, Splits: []routing.Split{{Pool: "engines", Weight: 1}}}, d.Routes[0])
	assert.Equal(t, []routing.Split{{Pool: "desk", Weight: 90}, {Pool: "new-desk", Weight: 10}}, d.Routes[1].Splits)
	assert.Equal(t, routing.AtMostOnce, d.Routes[1].Repeat)
	assert.Equal(t, routing.Idempotent, d.Routes[2].Repeat)
	assert.Equal(t, &routing.EngineSpec{MaxRunning: 48, MemoryTokens: 76160, Retain: 500 * time.Millisecond, TokensPerEvent: 1}, d.Pools[0].Engine)
	assert.Equal(t, placement.Replica{ID: "decode-1", Pool: "engines", Address: "10.0.0.9:7000", Zone: "zone-a", Stage: placement.StageDecode, Slots: 1}, c.Upstreams[1])
	assert.True(t, c.Upstreams[3].Leaving)
	assert.Equal(t, -1, d.Accounts[0].Priority)
	assert.Equal(t, map[string]string{"vm-1": "10.0.1.1:8082", "vm-2": "10.0.1.2:8082"}, c.VMs)
	account, known := routing.NewTable(d).AccountByKey("foo")
	assert.True(t, known, "the key is found by its hash")
	assert.Equal(t, "schools", account.Name)
}

func assertErrorKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	var declarationErr *Error
	if assert.ErrorAs(t, err, &declarationErr) {
		assert.Equal(t, kind, declarationErr.Kind, err)
	}
}

func TestParseErrors(t *testing.T) {
	scenarios := []struct {
		name, text string
		kind       ErrorKind
	}{
		{"invalid JSON", `{`, ErrMalformed},
		{"an unknown field", `{"Version": 1, "Roots": []}`, ErrMalformed},
		{"no version", `{}`, ErrInvalid},
		{"an unknown kind", `{"Version": 1, "Pools": [{"Name": "p"}], "Routes": [{"Name": "r", "PathPrefix": "/", "Kind": "Often", "Pools": [{"Pool": "p"}]}]}`, ErrInvalid},
		{"a prefix without a trailing slash", `{"Version": 1, "Pools": [{"Name": "p"}], "Routes": [{"Name": "r", "PathPrefix": "/x", "Kind": "Stream", "Pools": [{"Pool": "p"}]}]}`, ErrInvalid},
		{"a pool that is not declared", `{"Version": 1, "Routes": [{"Name": "r", "PathPrefix": "/", "Kind": "Stream", "Pools": [{"Pool": "p"}]}]}`, ErrInvalid},
		{"a route without a pool", `{"Version": 1, "Routes": [{"Name": "r", "PathPrefix": "/", "Kind": "Stream"}]}`, ErrInvalid},
		{"an upstream without an address", `{"Version": 1, "Pools": [{"Name": "p", "Upstreams": [{"Name": "u"}]}]}`, ErrInvalid},
		{"a host name as address", `{"Version": 1, "Pools": [{"Name": "p", "Upstreams": [{"Name": "u", "Address": "host:80"}]}]}`, ErrInvalid},
		{"an upstream of an engine pool without a stage", `{"Version": 1, "Pools": [{"Name": "p", "Engine": {}, "Upstreams": [{"Name": "u", "Address": "10.0.0.1:80"}]}]}`, ErrInvalid},
		{"a VM without an address", `{"Version": 1, "VMs": [{"Name": "v"}]}`, ErrInvalid},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			_, err := Parse([]byte(s.text))
			assertErrorKind(t, err, s.kind)
		})
	}
	t.Run("no file", func(t *testing.T) {
		_, err := Load("missing")
		assertErrorKind(t, err, ErrUnreadable)
	})
}

func FuzzParse(f *testing.F) {
	example, err := os.ReadFile(examplePath)
	require.NoError(f, err)
	f.Add(example)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err == nil {
			assert.NotZero(t, c.Declarations.Version)
			routing.NewTable(c.Declarations)
		}
	})
}

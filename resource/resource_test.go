package resource

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCheck(t *testing.T) {
	scenarios := []struct {
		name, kind, resource, spec string
		reason                     string
	}{
		{name: "account", kind: "ClientAccount", resource: "a", spec: `{"TokensPerSecond": 1, "BurstTokens": 1}`},
		{name: "rate of zero", kind: "ClientAccount", resource: "a", spec: `{"BurstTokens": 1}`, reason: "TokensPerSecond"},
		{name: "unknown field", kind: "ClientAccount", resource: "a", spec: `{"TokensPerSecond": 1, "BurstTokens": 1, "X": 1}`, reason: "unknown field"},
		{name: "invalid name", kind: "Pool", resource: "A b", spec: `{"Role": "Decode"}`, reason: "name"},
		{name: "unknown kind", kind: "Thing", resource: "a", spec: `{}`, reason: "does not exist"},
		{name: "unknown role", kind: "Pool", resource: "a", spec: `{"Role": "Cook"}`, reason: "Role"},
		{name: "address with a host name", kind: "Upstream", resource: "a", spec: `{"Pool": "p", "Address": "host:1"}`, reason: "IP address"},
		{name: "both model and path", kind: "Route", resource: "a", spec: `{"Model": "m", "PathPrefix": "/p"}`, reason: "exactly one"},
		{name: "public route that is not repeatable", kind: "Route", resource: "a", spec: `{"Method": "POST", "PathPrefix": "/p", "ServicePool": "s", "Public": true}`, reason: "Public"},
		{name: "invalid hash", kind: "Key", resource: "a", spec: `{"Account": "a", "Hash": "secret"}`, reason: "SHA-256"},
		{name: "unknown action", kind: "Order", resource: "a", spec: `{"Upstream": "u", "Action": "Dance", "Value": "v"}`, reason: "Action"},
		{name: "not JSON", kind: "Pool", resource: "a", spec: `{`, reason: "Malformed"},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			err := Check(Document{Kind: Kind(s.kind), Name: s.resource, Spec: json.RawMessage(s.spec)})
			if s.reason == "" {
				assert.NoError(t, err)
				return
			}
			assert.ErrorContains(t, err, s.reason)
		})
	}
}

func TestSameSpecIgnoresSpacing(t *testing.T) {
	a := Document{Kind: KindPool, Name: "p", Spec: json.RawMessage(`{"Role":"Decode","RetainMillis":5}`)}
	b := Document{Kind: KindPool, Name: "p", Spec: json.RawMessage(`{ "RetainMillis": 5, "Role": "Decode" }`), Version: 7}
	assert.True(t, a.SameSpec(b))
	assert.False(t, a.SameSpec(Document{Kind: KindPool, Name: "p", Spec: json.RawMessage(`{"Role":"Prefill"}`)}))
}

func TestHashSecretDoesNotContainSecret(t *testing.T) {
	first, second := NewSecret(), NewSecret()
	assert.NotEqual(t, first, second)
	assert.NotContains(t, HashSecret(first), first)
}

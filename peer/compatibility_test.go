package peer

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/roster"
)

// recordedMessages returns datagrams that builds of earlier landings wrote, by commit and type. Each of their fields is set.
func recordedMessages(t *testing.T) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob("testdata/messages/*/*.json")
	require.NoError(t, err)
	messages := map[string][]byte{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		messages[path] = data
	}
	require.NotEmpty(t, messages)
	return messages
}

// TestMessagesOfEarlierLandings guards against messages of a build that still runs beside this one and are not understood.
func TestMessagesOfEarlierLandings(t *testing.T) {
	t.Parallel()
	for path, data := range recordedMessages(t) {
		t.Run(path, func(t *testing.T) {
			b, err := DecodeBeacon(data)
			require.NoError(t, err)
			assert.Equal(t, "VM", b.VM)
			assert.EqualValues(t, 7, b.Sequence)
			assert.Equal(t, 7*time.Second, b.Uptime)
			assert.EqualValues(t, 7, b.Version)
			assert.Equal(t, map[string]placement.Load{"key": {Requests: 7, Tokens: 7}}, b.ReplicaLoads)
			assert.Equal(t, map[string]float64{"key": 7.5}, b.SpentTokens)
			assert.Equal(t, map[string]float64{"key": 7.5}, b.BucketLevels)
			assert.Equal(t, 7*time.Second, b.CheckAge)
			assert.Zero(t, b.Format, "an older build does not say")
			assert.Zero(t, b.Capabilities)
			assert.Equal(t, b.Scope == ScopeGroup, len(b.Members) == 1)
			if b.Scope == ScopeList {
				require.NotNil(t, b.List)
				assert.Equal(t, "ID", b.List.Entries[0].Replica.ID)
				assert.Equal(t, 7*time.Second, b.List.DoubtFor)
			}
			if b.Scope == ScopeDeclarations {
				require.NotNil(t, b.Declarations)
				assert.Equal(t, []byte{7}, b.Declarations.Data)
			}
		})
	}
}

// withUnknownFields returns JSON in which all objects have an additional field, but for maps, whose only key is "key".
func withUnknownFields(t *testing.T, data []byte) []byte {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var value any
	require.NoError(t, decoder.Decode(&value))
	addUnknownFields(value)
	data, err := json.Marshal(value)
	require.NoError(t, err)
	return data
}

func addUnknownFields(value any) {
	switch v := value.(type) {
	case map[string]any:
		for _, element := range v {
			addUnknownFields(element)
		}
		if _, isMap := v["key"]; !isMap {
			v["LaterField"] = map[string]any{"Of": []int{1, 2}}
		}
	case []any:
		for _, element := range v {
			addUnknownFields(element)
		}
	}
}

// TestFieldsOfLaterBuilds guards against messages that are not understood because a later build has added a field.
func TestFieldsOfLaterBuilds(t *testing.T) {
	t.Parallel()
	for path, data := range recordedMessages(t) {
		t.Run(path, func(t *testing.T) {
			expected, err := DecodeBeacon(data)
			require.NoError(t, err)
			b, err := DecodeBeacon(withUnknownFields(t, data))
			require.NoError(t, err)
			expected.ServiceLoads, b.ServiceLoads = nil, nil // Their times are those of decoding.
			assert.Equal(t, expected, b)
		})
	}
	t.Run("entries of the list", func(t *testing.T) {
		var compressed bytes.Buffer
		w, err := flate.NewWriter(&compressed, flate.BestSpeed)
		require.NoError(t, err)
		_, err = w.Write([]byte(`[{"Replica":{"ID":"r","LaterField":1},"Sequence":3,"LaterField":{}}]`))
		require.NoError(t, err)
		require.NoError(t, w.Close())
		page, err := (&listMessage{Pages: 1, Entries: compressed.Bytes()}).page()
		require.NoError(t, err)
		assert.Equal(t, []ListEntry{{Replica: placement.Replica{ID: "r"}, Sequence: 3}}, page.Entries)
	})
	t.Run("messages on connections", func(t *testing.T) {
		assertPassedOver(t, challengeAnswer{Nonce: "n"})
		assertPassedOver(t, helloMessage{VM: "v", Proof: "p"})
		assertPassedOver(t, helloAnswer{VM: "v", Proof: "p"})
		assertPassedOver(t, heartbeatMessage{Next: 3, Ready: true, Withdrawn: []roster.Withdrawal{{}}})
		assertPassedOver(t, stateAnswer{Data: []byte("d")})
		assertPassedOver(t, borrowMessage{ID: "i", Want: 2})
		assertPassedOver(t, borrowAnswer{Amount: 2})
		assertPassedOver(t, withdrawMessage{Withdrawn: []roster.Withdrawal{{}}})
		assertPassedOver(t, settleMessage{Settlements: []Settlement{{}}})
		assertPassedOver(t, jobsMessage{Lane: "l", Jobs: []jobMessage{{ID: "i"}}})
		assertPassedOver(t, decideMessage{Lane: "l", Decisions: []dispatch.Decision{{}}})
	})
}

// assertPassedOver checks that fields which this build does not know are passed over.
func assertPassedOver[T any](t *testing.T, message T) {
	t.Helper()
	data, err := json.Marshal(message)
	require.NoError(t, err)
	var decoded T
	require.NoError(t, json.Unmarshal(withUnknownFields(t, data), &decoded))
	assert.Equal(t, message, decoded)
}

// TestCapabilitiesAreTold guards against a VM whose peers do not learn what it does for them.
func TestCapabilitiesAreTold(t *testing.T) {
	t.Parallel()
	all := PassesListOn | PassesDeclarationsOn | RelaysConnections
	sent := Beacon{VM: "v", Format: MessageFormat, Capabilities: all, Members: []Member{{VM: "m", Capabilities: RelaysConnections}}}
	data, err := EncodeBeacon(sent)
	require.NoError(t, err)
	b, err := DecodeBeacon(data)
	require.NoError(t, err)
	assert.Equal(t, MessageFormat, b.Format)
	assert.Equal(t, all, b.Capabilities)
	assert.Equal(t, sent.Members, b.Members)
	assert.True(t, b.Capabilities.Has(PassesListOn|RelaysConnections))
	assert.False(t, b.Members[0].Capabilities.Has(PassesListOn))
}

package peer

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
	"github.com/cassiabridge/cassiabridge/quota"
)

func TestBeaconRoundTrip(t *testing.T) {
	received := make(chan Beacon, 1)
	rejected := make(chan error, 1)
	listener, closeListener, err := ListenBeacons("127.0.0.1:0", func(b Beacon, _ netip.AddrPort) { received <- b }, func(err error) { rejected <- err })
	require.NoError(t, err)
	defer closeListener()
	addr := listener.conn.LocalAddr().(*net.UDPAddr)
	sent := Beacon{VM: "vm-1", Incarnation: "x", Sequence: 3, Uptime: 4 * time.Second, Version: 7, Leaving: true, ReplacedReplicas: []string{"i-9"}, UnreachableReplicas: []string{"i-8"}, TrialParts: []string{"5c1e"}, ReplicaLimits: map[string]quota.LimitReport{"i-6": {Limit: 2.2, Age: 300 * time.Millisecond}},
		Suspects:     map[string]quarantine.Evidence{"91bd": {Generation: 2, Ends: []string{"i-7"}, Moments: 1, Sound: true, Trials: 1}},
		ReplicaLoads: map[string]placement.Load{"i-1": {Requests: 2, Tokens: 9000}}, QueuedTokens: map[string]int{"p": 5}, SpentTokens: map[string]float64{"a": 12.5}, BucketLevels: map[string]float64{"a": -3},
		ListAge: 300 * time.Millisecond, ListOffset: 77, CheckAge: 200 * time.Millisecond}
	require.NoError(t, listener.Send(sent, []*net.UDPAddr{addr}))
	select {
	case b := <-received:
		assert.Equal(t, sent, b)
	case <-time.After(5 * time.Second):
		require.Fail(t, "no beacon was received")
	}
	t.Run("other datagrams are rejected", func(t *testing.T) {
		conn, err := net.DialUDP("udp4", nil, addr)
		require.NoError(t, err)
		defer conn.Close()
		for _, text := range []string{"x", "{}", `{"jsonrpc":"2.0","method":"Other","params":{}}`, `{"jsonrpc":"2.0","method":"Beacon","params":{}}`} {
			_, err := conn.Write([]byte(text))
			require.NoError(t, err)
			select {
			case err := <-rejected:
				assert.Error(t, err)
			case <-time.After(5 * time.Second):
				require.Fail(t, "the datagram was not rejected", text)
			}
		}
	})
}

// TestBeaconWithoutCheckCountsAsCheck guards against a peer of an earlier version that is taken for one that checks the store.
func TestBeaconWithoutCheckCountsAsCheck(t *testing.T) {
	b, err := DecodeBeacon([]byte(`{"jsonrpc":"2.0","method":"Beacon","params":{"VM":"v"}}`))
	require.NoError(t, err)
	assert.Negative(t, b.CheckAge)
}

func FuzzBeacon(f *testing.F) {
	f.Add([]byte(`{"jsonrpc":"2.0","method":"Beacon","params":{"VM":"v","Loads":{"i":[1,2]},"Spent":{"a":1e300}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := DecodeBeacon(data)
		if err == nil {
			assert.NotEmpty(t, b.VM)
		}
	})
}

// TestAgedBeacon guards against facts that look newer after they have been kept than they are.
func TestAgedBeacon(t *testing.T) {
	b := Beacon{Uptime: time.Minute, ListAge: time.Second, CheckAge: -time.Millisecond, ReplicaLimits: map[string]quota.LimitReport{"r": {Limit: 2, Age: time.Second}},
		ColdReplicas: map[string]time.Duration{"soon": time.Second, "later": 3 * time.Second}, Members: []Member{{VM: "m", Uptime: time.Second}}}
	aged := b.Aged(2 * time.Second)
	assert.Equal(t, Beacon{Uptime: time.Minute + 2*time.Second, ListAge: 3 * time.Second, CheckAge: -time.Millisecond, ReplicaLimits: map[string]quota.LimitReport{"r": {Limit: 2, Age: 3 * time.Second}},
		ColdReplicas: map[string]time.Duration{"later": time.Second}, Members: []Member{{VM: "m", Uptime: 3 * time.Second}}}, aged)
	assert.Equal(t, 3*time.Second, b.ColdReplicas["later"], "the original is unchanged")
}

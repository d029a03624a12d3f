package peer

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/roster"
)

const secret = "a-secret-for-the-tests"

// startServer starts a server for vm-1 that responds to heartbeats and sends job updates to jobs. It returns its
// address.
func startServer(t *testing.T, jobs chan JobUpdate) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := listener.Addr().String()
	listener.Close()
	_, closeServer, err := Listen(addr, Identity{VM: "vm-1", Incarnation: "i1"}, secret, Handlers{
		Heartbeat: func(h roster.Heartbeat, reply func(roster.Heartbeat)) {
			reply(roster.Heartbeat{VM: "vm-1", NextOffset: h.NextOffset + 1, LogAge: 3 * time.Second})
		},
		Jobs: func(_ Identity, u JobUpdate) { jobs <- u },
	})
	require.NoError(t, err)
	t.Cleanup(closeServer)
	return addr
}

func sendHeartbeat(t *testing.T, addr, vm, withSecret string) (roster.Heartbeat, error) {
	link, closeLink := NewLink(Identity{VM: "vm-0", Incarnation: "i0"}, withSecret, vm, addr)
	t.Cleanup(closeLink)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	return link.Heartbeat(ctx, roster.Heartbeat{VM: "vm-0", NextOffset: 4})
}

func assertErrorKind(t *testing.T, err error, kind ErrorKind) {
	t.Helper()
	var peerErr *Error
	if assert.ErrorAs(t, err, &peerErr) {
		assert.Equal(t, kind, peerErr.Kind)
	}
}

func TestPeerAuthentication(t *testing.T) {
	addr := startServer(t, nil)
	t.Run("correct secret", func(t *testing.T) {
		h, err := sendHeartbeat(t, addr, "vm-1", secret)
		assert.NoError(t, err)
		assert.Equal(t, uint64(5), h.NextOffset)
		assert.Equal(t, 3*time.Second, h.LogAge)
	})
	t.Run("wrong secret", func(t *testing.T) {
		_, err := sendHeartbeat(t, addr, "vm-1", "another-secret-altogether")
		assertErrorKind(t, err, ErrUnauthenticated)
	})
	t.Run("wrong VM name", func(t *testing.T) {
		_, err := sendHeartbeat(t, addr, "vm-2", secret)
		assertErrorKind(t, err, ErrUnauthenticated)
	})
	t.Run("connection refused", func(t *testing.T) {
		_, err := sendHeartbeat(t, "127.0.0.1:1", "vm-1", secret)
		assertErrorKind(t, err, ErrRefused)
	})
}

func TestJobTimesAreRelative(t *testing.T) {
	jobs := make(chan JobUpdate, 1)
	link, closeLink := NewLink(Identity{VM: "vm-0", Incarnation: "i0"}, secret, "vm-1", startServer(t, jobs))
	defer closeLink()
	now := time.Now()
	request := dispatch.Request{ID: "r", Account: "a", PromptTokens: 7, Prefix: []uint64{1 << 63}, ArrivedAt: now.Add(-time.Second), FirstTokenDeadline: now.Add(time.Second)}
	link.Jobs(now, JobUpdate{Lane: "l", Jobs: []Job{{Request: request, Stage: dispatch.StageDecode, TokenGap: 40 * time.Millisecond}}})
	select {
	case u := <-jobs:
		got := u.Jobs[0]
		assert.Equal(t, "vm-0", got.Request.VM)
		assert.Equal(t, []uint64{1 << 63}, got.Request.Prefix)
		assert.Equal(t, dispatch.StageDecode, got.Stage)
		assert.Equal(t, 40*time.Millisecond, got.TokenGap)
		assert.WithinDuration(t, now.Add(time.Second), got.Request.FirstTokenDeadline, 500*time.Millisecond)
	case <-time.After(5 * time.Second):
		assert.Fail(t, "no update was received")
	}
}

func FuzzJobsMessage(f *testing.F) {
	f.Add([]byte(`{"Lane": "l", "Jobs": [{"ID": "r", "AgeMicros": -9223372036854775808}], "Whole": true}`))
	f.Add([]byte(`{"Jobs": [{"Prefix": [18446744073709551615]}], "Finished": [{}], "Misplaced": [{}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var m jobsMessage
		if json.Unmarshal(data, &m) != nil {
			return
		}
		u := m.decode(time.Unix(0, 0), Identity{VM: "vm"})
		assert.Len(t, u.Jobs, len(m.Jobs))
		encodeJobs(time.Unix(0, 0), u)
	})
}

package gateway

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/follow"
	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// streamRecords is a StreamStore in memory. Reads fail while failures is above 0.
type streamRecords struct {
	mu       sync.Mutex
	values   map[string]string
	failures int
}

func (r *streamRecords) store() StreamStore {
	return StreamStore{
		Put: func(_ context.Context, vm string, value []byte) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.values[vm] = string(value)
			return nil
		},
		Newest: func(context.Context) ([]follow.Record, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.failures > 0 {
				r.failures--
				return nil, errors.New("no answer")
			}
			var records []follow.Record
			for vm, value := range r.values {
				records = append(records, follow.Record{Key: vm, Value: []byte(value)})
			}
			return records, nil
		},
	}
}

func (r *streamRecords) value(vm string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[vm]
}

// runVM runs the control state of a VM before a replica of each version, and returns it.
func (r *streamRecords) runVM(t *testing.T, name string, versions ...string) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	c := NewController(peer.Identity{VM: name, Incarnation: "x"}, "zone")
	go c.Run(ctx)
	var listed []placement.Replica
	for _, version := range versions {
		listed = append(listed, placement.Replica{ID: "r-" + version, Pool: "p", Address: "127.0.0.1:1", SoftwareVersion: version})
	}
	c.ApplyReplicas(ReplicaUpdate{Snapshot: true, Next: 1, Listed: listed})
	go c.MaintainStreams(ctx, r.store())
	return c
}

// TestRestartedVMOverwritesTheStreamsThatItBegan guards against a VM that has restarted and loses from its record in the store what it
// had begun before, so that nobody knows it after a second restart.
func TestRestartedVMOverwritesTheStreamsThatItBegan(t *testing.T) {
	records := &streamRecords{values: map[string]string{}, failures: 1}
	knows := func(c *Controller, attempt, version string) {
		t.Helper()
		require.Eventually(t, func() bool {
			origin := c.streamOrigin(t.Context(), attempt, "p")
			return origin.unknown == resumption.Known && origin.Version == version
		}, 5*time.Second, 10*time.Millisecond)
	}
	first := records.runVM(t, "vm", "v1", "v2")
	first.recordStreams([]string{"a"}, placement.Replica{Pool: "p", SoftwareVersion: "v1"})
	require.Eventually(t, func() bool { return records.value("vm") != "" }, 5*time.Second, 10*time.Millisecond)
	second := records.runVM(t, "vm", "v1", "v2")
	knows(second, "a", "v1")
	before := records.value("vm")
	second.recordStreams([]string{"b"}, placement.Replica{Pool: "p", SoftwareVersion: "v2"})
	require.Eventually(t, func() bool { return records.value("vm") != before }, 5*time.Second, 10*time.Millisecond)
	for _, name := range []string{"vm", "other"} {
		third := records.runVM(t, name, "v1", "v2")
		knows(third, "a", "v1")
		knows(third, "b", "v2")
	}
}

// TestStreamsOfAKilledVMAreReadOnDemand guards against streams of a VM that was killed before any other VM heard of them, and that are refused
// although its record in the store names them.
func TestStreamsOfAKilledVMAreReadOnDemand(t *testing.T) {
	t.Parallel()
	records := &streamRecords{values: map[string]string{}}
	c := records.runVM(t, "vm", "v1", "v2")
	ask(c, func() bool {
		c.readList = func() { go c.ApplyReplicas(ReplicaUpdate{Next: 1, CompleteAt: c.now()}) }
		return true
	})
	require.Equal(t, resumption.SeveralVersions, c.streamOrigin(t.Context(), "a", "p").unknown)
	killed := records.runVM(t, "killed", "v1", "v2")
	killed.recordStreams([]string{"a"}, placement.Replica{Pool: "p", SoftwareVersion: "v2"})
	require.Eventually(t, func() bool { return records.value("killed") != "" }, 5*time.Second, 10*time.Millisecond)
	assert.Equal(t, "v2", c.streamOrigin(t.Context(), "a", "p").Version)
}

// TestStreamsOfASingleVersionAreWritten guards against writes that nobody needs.
func TestStreamsOfASingleVersionAreWritten(t *testing.T) {
	records := &streamRecords{values: map[string]string{}}
	c := records.runVM(t, "vm", "v1")
	c.recordStreams([]string{"a"}, placement.Replica{Pool: "p", SoftwareVersion: "v1"})
	time.Sleep(4 * minStreamWriteInterval)
	assert.Empty(t, records.value("vm"))
	c.ApplyReplicas(ReplicaUpdate{Next: 2, Listed: []placement.Replica{{ID: "r-2", Pool: "p", Address: "127.0.0.1:2", SoftwareVersion: "v2"}}})
	require.Eventually(t, func() bool { return records.value("vm") != "" }, 5*time.Second, 10*time.Millisecond, "what began before there were two versions counts too")
}

// TestStoppedVMDoesNotEnd guards against a VM that has stopped, and whose tasks that write to the store wait for its control goroutine,
// which has ended.
func TestStoppedVMDoesNotEnd(t *testing.T) {
	t.Parallel()
	// Each time chance decides between what is due and the end.
	const stops = 20
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c := NewController(peer.Identity{VM: "vm-1", Incarnation: "x"}, "zone")
	records := &streamRecords{values: map[string]string{}}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for range stops {
			c.streamsBegun <- struct{}{}
			c.MaintainStreams(ctx, records.store())
			select {
			case <-c.streamsBegun:
			default:
			}
			c.collectCopyState(ctx)
		}
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		assert.Fail(t, "the tasks have not ended")
	}
}

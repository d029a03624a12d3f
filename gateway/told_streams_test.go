package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/peer"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// TestStreamsBegunInACutAreNeverTold guards against streams that began at a VM while it was cut off from its peers, and that these refuse
// for good while several software versions serve.
func TestStreamsBegunInACutAreNeverTold(t *testing.T) {
	t.Parallel()
	const cutFor, streams = 4 * time.Second, 24
	for name, loss := range map[string]float64{"no loss": 0, "a third of the messages is lost": 0.33} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newSimFleet(t, 30, 20)
			serving := f.newReplica()
			serving.SoftwareVersion = "v2"
			f.changes[f.endOffset()] = serving
			f.replicas = append(f.replicas, serving)
			f.run(4 * time.Second)
			f.loss = loss
			v := f.vms[2]
			v.cutFromPeers = true
			f.run(300 * time.Millisecond)
			for n := range streams {
				v.recordStreams([]string{fmt.Sprint("stream-", n)}, placement.Replica{ID: serving.ID, Pool: "p", SoftwareVersion: "v2"})
				f.runTasks(v)
				f.run(40 * time.Millisecond)
			}
			f.run(cutFor)
			v.cutFromPeers = false
			f.run(2 * time.Second)
			assert.NotEmpty(t, v.currentGroups().mates)
			for _, mate := range v.currentGroups().mates {
				other := f.byName[mate]
				for n := range streams {
					origin := other.findOrigin(f.now, fmt.Sprint("stream-", n), "p", true)
					assert.Equal(t, resumption.Known, origin.unknown, "stream %d at %s", n, other.self.VM)
					assert.Equal(t, "v2", origin.Version)
				}
			}
			before := f.messages[peer.ScopeStreamsRequest]
			f.run(2 * time.Second)
			assert.Equal(t, before, f.messages[peer.ScopeStreamsRequest], "nobody asks for what it knows")
		})
	}
}

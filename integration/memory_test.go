package integration

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// releaseTimeout is the time within which engines must release the KV memory of a request that has ended.
const releaseTimeout = 5 * time.Second

func TestEngineMemoryIsReleased(t *testing.T) {
	t.Parallel()
	s := clusterConfig{vms: 3, prefills: 1, decodes: 1, prefill: standin.EngineConfig{PrefillRate: 20_000, Retention: 700 * time.Millisecond, LinkRate: 50_000},
		decode: standin.EngineConfig{TokenGap: 20 * time.Millisecond, DecodeSlots: 4}}
	c := newCluster(t, s)
	key := c.newKey("k1", "schools")
	long := make([]byte, 20_000)
	for i := range long {
		long[i] = 'a'
	}
	cancelAfter := func(v *vm, prompt string, d time.Duration) {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		c.sendStreamedCompletion(v, key, prompt, 500, withContext(ctx))
	}
	scenarios := []struct {
		name string
		run  func(t *testing.T)
	}{
		{name: "caller cancels in prefill", run: func(*testing.T) { cancelAfter(c.vms[0], string(long), 80*time.Millisecond) }},
		{name: "caller cancels in transfer", run: func(*testing.T) { cancelAfter(c.vms[0], string(long), 300*time.Millisecond) }},
		{name: "caller cancels in decode", run: func(*testing.T) { cancelAfter(c.vms[1], "short brief", 300*time.Millisecond) }},
		{name: "caller cancels in the queue", run: func(*testing.T) {
			for range 4 {
				go cancelAfter(c.vms[0], "fills a place", 900*time.Millisecond)
			}
			time.Sleep(300 * time.Millisecond)
			cancelAfter(c.vms[1], "waits", 200*time.Millisecond)
			time.Sleep(500 * time.Millisecond)
		}},
		{name: "engine does not receive the first cancel calls", run: func(*testing.T) {
			cancelAfter(c.vms[0], "short brief", 200*time.Millisecond)
			c.decodes[0].SetFaults(standin.Faults{Down: true})
			time.Sleep(time.Second)
			c.decodes[0].SetFaults(standin.Faults{})
		}},
		{name: "prefill engine's response is lost", run: func(*testing.T) {
			c.prefills[0].SetFaults(standin.Faults{LoseAnswers: true})
			cancelAfter(c.vms[0], string(long), 700*time.Millisecond)
			c.prefills[0].SetFaults(standin.Faults{})
		}},
		{name: "VM is killed", run: func(t *testing.T) {
			go cancelAfter(c.vms[2], "short brief", 10*time.Second)
			c.eventually(3*time.Second, "the request is decoding", func() bool { return len(c.decodes[0].Stats().Attempts) > 0 })
			c.kill(c.vms[2])
		}},
		{name: "VM is frozen", run: func(t *testing.T) {
			go cancelAfter(c.vms[1], "short brief", 20*time.Second)
			c.eventually(3*time.Second, "the request is decoding", func() bool { return len(c.decodes[0].Stats().Attempts) > 0 })
			c.freeze(c.vms[1])
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			s.run(t)
			assert.Eventually(t, func() bool { return c.heldTokens() == 0 }, releaseTimeout, 10*time.Millisecond)
		})
	}
	c.unfreeze(c.vms[1])
}

package integration

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// A VM that receives SIGTERM must complete the requests that are queued or streaming before it exits.
func TestGracefulShutdownCompletesRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 2, prefills: 1, decodes: 1, decode: standin.EngineConfig{TokenGap: 20 * time.Millisecond, DecodeSlots: 4}})
	key := c.newKey("k1", "schools")
	for _, index := range []int{0, 1} {
		t.Run(fmt.Sprintf("vm-%d with queued and streaming requests", index), func(t *testing.T) {
			v := c.vms[index]
			var calls sync.WaitGroup
			for n := range 12 {
				calls.Go(func() {
					prompt := fmt.Sprintf("brief %d", n)
					text, whole := c.sendStreamedCompletion(v, key, prompt, 40).streamedText()
					assert.True(t, whole, prompt)
					assert.Equal(t, standin.Output(prompt, 40), text)
				})
			}
			time.Sleep(400 * time.Millisecond)
			assert.NoError(t, v.cmd.Process.Signal(syscall.SIGTERM))
			calls.Wait()
			assert.NoError(t, v.cmd.Wait(), "exit code 0")
			assert.Zero(t, c.heldTokens())
			c.start(v)
			c.awaitReady(v)
		})
	}
}

// An upstream marked as leaving must get no new requests once the change is applied, even if the log is slow.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3, prefills: 1, decodes: 2, decode: standin.EngineConfig{TokenGap: 2 * time.Millisecond}})
	key := c.newKey("k1", "schools")
	stop := make(chan struct{})
	var load sync.WaitGroup
	for n := range 6 {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					c.sendCompletion(c.vms[n%3], key, fmt.Sprint("brief ", n), 10)
				}
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	assert.NotEmpty(t, c.decodes[1].Stats().Seen)
	c.log.SetFaults(standin.Faults{DelayMillis: 200})
	for _, doc := range c.resources {
		if doc.Name == "decode-1" {
			spec := string(doc.Spec)
			c.put(c.vms[0], document("Upstream", "decode-1", spec[:len(spec)-1]+`, "Leaving": true}`))
		}
	}
	time.Sleep(maxPropagationDelay)
	before := len(c.decodes[1].Stats().Seen)
	time.Sleep(time.Second)
	assert.Len(t, c.decodes[1].Stats().Seen, before)
	close(stop)
	load.Wait()
}

// An error that says not_run promises the caller that no upstream has received the request.
func TestNotRunErrorsAreAccurate(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1, prefills: 1, decodes: 1, timing: map[string]any{"ServiceMillis": 500, "QueueMillis": 1000}})
	key := c.newKey("k1", "schools")
	receivedRequests := func() int {
		return len(c.prefills[0].Stats().Seen) + len(c.decodes[0].Stats().Seen) + len(c.desk.RequestLog())
	}
	scenarios := []struct {
		name      string
		setFaults func(standin.Faults)
		fault     standin.Faults
		call      func() response
	}{
		{name: "engine closes the connection after the request", setFaults: c.prefills[0].SetFaults, fault: standin.Faults{LoseAnswers: true},
			call: func() response { return c.sendCompletion(c.vms[0], key, "reset", 5) }},
		{name: "engine rejects the request", setFaults: c.prefills[0].SetFaults, fault: standin.Faults{Status: http.StatusServiceUnavailable},
			call: func() response { return c.sendCompletion(c.vms[0], key, "refused", 5) }},
		{name: "service closes the connection after the call", setFaults: c.desk.SetFaults, fault: standin.Faults{LoseAnswers: true},
			call: func() response { return c.callPrice(c.vms[0], key) }},
		{name: "service is slower than the timeout", setFaults: c.desk.SetFaults, fault: standin.Faults{DelayMillis: 800},
			call: func() response { return c.callPrice(c.vms[0], key) }},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			s.setFaults(s.fault)
			before := receivedRequests()
			a := s.call()
			time.Sleep(time.Second)
			s.setFaults(standin.Faults{})
			assert.NotEqual(t, http.StatusOK, a.status)
			if a.errorResponse().Error.Run == "not_run" {
				assert.Equal(t, before, receivedRequests(), a.body)
			}
		})
	}
	t.Run("no engine listens on the address", func(t *testing.T) {
		c.put(c.vms[0], document("Upstream", "prefill-0", `{"Pool": "prefill", "Address": "`+freeAddr(t)+`"}`))
		a := c.sendCompletion(c.vms[0], key, "nobody", 5)
		assert.NotEqual(t, http.StatusOK, a.status)
	})
	t.Run("log unavailable for a call that must not be repeated", func(t *testing.T) {
		c.setLogDown(true)
		before := len(c.desk.RequestLog())
		a := c.callRelease(c.vms[0], key, "job")
		assert.Equal(t, "not_run", a.errorResponse().Error.Run)
		assert.Len(t, c.desk.RequestLog(), before)
		c.setLogDown(false)
	})
}

// Orders must reach only the engine that they name, and an older order must not replace a newer one.
func TestOrdersReachEngines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3, prefills: 1, decodes: 2, decode: standin.EngineConfig{ChecksFencing: false}})
	c.put(c.vms[0], document("Order", "o1", `{"Upstream": "decode-0", "Action": "LoadModel", "Value": "notes@1"}`))
	c.put(c.vms[1], document("Order", "o2", `{"Upstream": "decode-0", "Action": "LoadModel", "Value": "notes@2"}`))
	c.eventually(5*time.Second, "the newest order is applied", func() bool { return c.decodes[0].Orders()["LoadModel"] == "notes@2" })
	time.Sleep(2 * time.Second)
	assert.Equal(t, "notes@2", c.decodes[0].Orders()["LoadModel"])
	assert.Empty(t, c.decodes[1].Orders())
}

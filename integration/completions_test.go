package integration

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// assertComplete checks that a caller received the complete output that the stand-in engines generate for the prompt.
func assertComplete(t *testing.T, a response, prompt string, maxTokens int) {
	t.Helper()
	assert.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status, a.body)
	assert.Equal(t, standin.Output(prompt, maxTokens), a.text())
}

func TestCompletionsAreComplete(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3, prefills: 2, decodes: 3, decode: standin.EngineConfig{TokenGap: 2 * time.Millisecond}})
	key := c.newKey("k1", "schools")
	completeConcurrently := func(t *testing.T, n int) {
		var calls sync.WaitGroup
		for i := range n {
			calls.Go(func() {
				prompt := fmt.Sprintf("brief %d", i)
				assertComplete(t, c.sendCompletion(c.vms[i%3], key, prompt, 40), prompt, 40)
			})
		}
		calls.Wait()
	}
	t.Run("concurrent requests through all VMs", func(t *testing.T) { completeConcurrently(t, 60) })
	t.Run("streamed", func(t *testing.T) {
		text, whole := c.sendStreamedCompletion(c.vms[0], key, "streamed brief", 30).streamedText()
		assert.True(t, whole)
		assert.Equal(t, standin.Output("streamed brief", 30), text)
	})
	t.Run("decode engine breaks its streams", func(t *testing.T) {
		c.decodes[0].SetFaults(standin.Faults{CutAfter: 5})
		defer c.decodes[0].SetFaults(standin.Faults{})
		completeConcurrently(t, 30)
	})
	t.Run("decode engine fails during streams", func(t *testing.T) {
		done := make(chan struct{})
		go func() {
			completeConcurrently(t, 30)
			close(done)
		}()
		time.Sleep(40 * time.Millisecond)
		c.decodes[1].SetFaults(standin.Faults{Down: true, CutAfter: 1})
		<-done
		c.decodes[1].SetFaults(standin.Faults{})
	})
	t.Run("prefill result is decoded elsewhere when the decode engine is unreachable", func(t *testing.T) {
		unreachable := document("Upstream", "decode-gone", `{"Pool": "decode", "Address": "`+freeAddr(t)+`", "Places": 1000}`)
		c.t = t
		c.put(c.vms[0], unreachable)
		c.awaitConfigApplied(c.vms...)
		before := c.prefills[0].Stats().Prefills + c.prefills[1].Stats().Prefills
		completeConcurrently(t, 20)
		assert.Equal(t, before+20, c.prefills[0].Stats().Prefills+c.prefills[1].Stats().Prefills, "no prefill is repeated")
	})
	t.Run("prefill engine fails or loses its responses", func(t *testing.T) {
		c.prefills[0].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
		completeConcurrently(t, 10)
		c.prefills[0].SetFaults(standin.Faults{LoseAnswers: true})
		completeConcurrently(t, 10)
		c.prefills[0].SetFaults(standin.Faults{})
	})
	t.Run("all engine memory is released", func(t *testing.T) {
		c.t = t
		c.awaitEngineMemoryReleased(5 * time.Second)
	})
}

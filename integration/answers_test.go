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

// assertWhole checks that a caller got the whole answer that the engines meant for its prompt.
func assertWhole(t *testing.T, a answer, prompt string, maxTokens int) {
	t.Helper()
	assert.NoError(t, a.err)
	assert.Equal(t, http.StatusOK, a.status, a.body)
	assert.Equal(t, standin.Output(prompt, maxTokens), a.text())
}

func TestAnswersAreWhole(t *testing.T) {
	c := newCluster(t, sizes{vms: 3, prefills: 2, decodes: 3, decode: standin.EngineConfig{TokenGap: 2 * time.Millisecond}})
	key := c.newKey("k1", "schools")
	crowd := func(t *testing.T, n int) {
		var calls sync.WaitGroup
		for i := range n {
			calls.Go(func() {
				prompt := fmt.Sprintf("brief %d", i)
				assertWhole(t, c.complete(c.vms[i%3], key, prompt, 40), prompt, 40)
			})
		}
		calls.Wait()
	}
	t.Run("many at once through all VMs", func(t *testing.T) { crowd(t, 60) })
	t.Run("streamed", func(t *testing.T) {
		text, whole := c.completeStream(c.vms[0], key, "streamed brief", 30).streamed()
		assert.True(t, whole)
		assert.Equal(t, standin.Output("streamed brief", 30), text)
	})
	t.Run("decode engine cuts its streams", func(t *testing.T) {
		c.decodes[0].SetFaults(standin.Faults{CutAfter: 5})
		defer c.decodes[0].SetFaults(standin.Faults{})
		crowd(t, 30)
	})
	t.Run("decode engine dies in mid stream", func(t *testing.T) {
		done := make(chan struct{})
		go func() {
			crowd(t, 30)
			close(done)
		}()
		time.Sleep(40 * time.Millisecond)
		c.decodes[1].SetFaults(standin.Faults{Down: true, CutAfter: 1})
		<-done
		c.decodes[1].SetFaults(standin.Faults{})
	})
	t.Run("a result whose decode engine is gone is placed elsewhere", func(t *testing.T) {
		gone := document("Upstream", "decode-gone", `{"Pool": "decode", "Address": "`+freeAddr(t)+`", "Places": 1000}`)
		c.t = t
		c.put(c.vms[0], gone)
		c.awaitInForce(c.vms...)
		before := c.prefills[0].Stats().Prefills + c.prefills[1].Stats().Prefills
		crowd(t, 20)
		assert.Equal(t, before+20, c.prefills[0].Stats().Prefills+c.prefills[1].Stats().Prefills, "no prefill is done twice")
	})
	t.Run("prefill engine answers late or not at all", func(t *testing.T) {
		c.prefills[0].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
		crowd(t, 10)
		c.prefills[0].SetFaults(standin.Faults{LoseAnswers: true})
		crowd(t, 10)
		c.prefills[0].SetFaults(standin.Faults{})
	})
	t.Run("all memory is released in the end", func(t *testing.T) {
		c.t = t
		c.awaitReleased(5 * time.Second)
	})
}

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

// startMortalDesk replaces the plain service of c by one whose process is killed in the middle of each answer.
func (c *cluster) startMortalDesk(restart func(*mortalReplica)) {
	m := &mortalReplica{restart: restart, list: func(string, any) {}, answer: func(process standin.Process, r *http.Request) string {
		return unframedStart(process, r, "application/json", "{}")
	}}
	m.startFirst(c.t, "desk-0", "")
	c.put(c.vms[0], document("Upstream", "desk-0", `{"Pool": "desk", "Address": "`+m.addr+`"}`))
	c.awaitConfigApplied(c.vms...)
}

// TestReplacedServiceCompletesAnAnswer guards against an answer without framing that looks complete when its service is killed in the middle
// of it and its address accepts connections again at once.
func TestReplacedServiceCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	for name, restart := range map[string]func(*mortalReplica){
		"next process": (*mortalReplica).restartUnderSameID, "proxy": (*mortalReplica).leaveProxy} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{vms: 1})
			key := c.newKey("k1", "schools")
			c.startMortalDesk(restart)
			a := c.callRelease(c.vms[0], key, "job-mortal")
			assert.False(t, a.status == http.StatusOK && a.err == nil, "the answer is not whole: %q", a.body)
			a = c.callPrice(c.vms[0], key)
			assert.False(t, a.status == http.StatusOK && a.err == nil, "the answer is not whole: %q", a.body)
		})
	}
}

// TestKilledServiceCompletesAnAnswer guards against the same when nothing accepts connections at the address of the service.
func TestKilledServiceCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1})
	key := c.newKey("k1", "schools")
	c.startMortalDesk(func(*mortalReplica) {})
	a := c.callRelease(c.vms[0], key, "job-killed")
	assert.NotEqual(t, http.StatusOK, a.status, "the answer is not whole: %q", a.body)
}

// TestOrderlyEndOfAnEngineCompletesACompletion guards against a completion that looks complete when its engine ends its answer in an orderly
// way between two tokens.
func TestOrderlyEndOfAnEngineCompletesACompletion(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 1, prefills: 1, decodes: 2, decode: standin.EngineConfig{TokenGap: 2 * time.Millisecond}})
	key := c.newKey("k1", "schools")
	c.decodes[0].SetFaults(standin.Faults{Unframed: true, CutAfter: 5})
	c.decodes[1].SetFaults(standin.Faults{Unframed: true})
	var calls sync.WaitGroup
	for n := range 30 {
		calls.Go(func() {
			prompt := fmt.Sprint("brief ", n)
			text, whole := c.sendStreamedCompletion(c.vms[0], key, prompt, 40).streamedText()
			assert.True(t, !whole || text == standin.Output(prompt, 40), "complete with %q", text)
			a := c.sendCompletion(c.vms[0], key, prompt+" at once", 40)
			assert.True(t, a.status != http.StatusOK || a.text() == standin.Output(prompt+" at once", 40), "complete with %q", a.text())
		})
	}
	calls.Wait()
}

// TestLivingUpstreamsAnswersAreCut guards against answers without framing that are whole and look cut, of upstreams that do not say when they
// started.
func TestLivingUpstreamsAnswersAreCut(t *testing.T) {
	t.Parallel()
	const count = 30
	t.Run("service", func(t *testing.T) {
		t.Parallel()
		c := newCluster(t, clusterConfig{vms: 1})
		key := c.newKey("k1", "schools")
		c.desk.SetFaults(standin.Faults{Unframed: true})
		for n := range count {
			assert.Equal(t, http.StatusOK, c.callPrice(c.vms[0], key).status)
			assert.Equal(t, http.StatusOK, c.callRelease(c.vms[0], key, fmt.Sprint("job-", n)).status)
		}
	})
	t.Run("declarations file", func(t *testing.T) {
		t.Parallel()
		s := newFileSite(t, 1)
		for _, replica := range s.replicas {
			replica.SetFaults(standin.ReplicaFaults{Unframed: true})
		}
		for n := range count {
			attempt := fmt.Sprint("a-", n)
			a := s.call(s.vms[0], http.MethodGet, "/status/a", attempt)
			assert.Equal(t, standin.ServiceAnswer(attempt), a.body)
			assert.NoError(t, a.err)
		}
		for _, replica := range s.replicas {
			for _, run := range replica.Runs() {
				assert.NotContains(t, run.Target, "report", "upstreams have no report at this path")
			}
		}
	})
}

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

// maxPropagationDelay is the time within which every VM must apply an accepted change.
const maxPropagationDelay = 3 * time.Second

// versionWatcher polls the configuration version of each VM and records every decrease.
type versionWatcher struct {
	mu        sync.Mutex
	decreases []string
	stop      chan struct{}
	pollers   sync.WaitGroup
}

func watchVersions(c *cluster) *versionWatcher {
	w := &versionWatcher{stop: make(chan struct{})}
	for _, v := range c.vms {
		w.pollers.Go(func() { w.poll(c, v) })
	}
	return w
}

// poll watches one VM until w.stop is closed. It ignores the VM while it is not ready.
func (w *versionWatcher) poll(c *cluster, v *vm) {
	highest := uint64(0)
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		s := c.status(v)
		if !s.Ready {
			continue
		}
		if s.ConfigVersion < highest {
			w.mu.Lock()
			w.decreases = append(w.decreases, fmt.Sprintf("%s from %d to %d", v.name, highest, s.ConfigVersion))
			w.mu.Unlock()
		}
		highest = max(highest, s.ConfigVersion)
	}
}

// assertNeverDecreased stops the watcher and fails the test if a version has decreased.
func (w *versionWatcher) assertNeverDecreased(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.pollers.Wait()
	assert.Empty(t, w.decreases)
}

func (c *cluster) putAccount(v *vm, name string, rate int) response {
	return c.operatorCall(v, http.MethodPut, "/v1/resources/ClientAccount/"+name, fmt.Sprintf(`{"TokensPerSecond": %d, "BurstTokens": 1000}`, rate))
}

// assertConfigApplied checks that each of vms applies the version that from has at the time of the call, within
// maxPropagationDelay.
func assertConfigApplied(t *testing.T, c *cluster, from *vm, vms []*vm) {
	t.Helper()
	version, start := c.status(from).ConfigVersion, time.Now()
	for _, v := range vms {
		assert.Eventually(t, func() bool { return c.status(v).ConfigVersion >= version }, maxPropagationDelay, 5*time.Millisecond, v.name)
	}
	assert.Less(t, time.Since(start), maxPropagationDelay)
}

// Every VM must apply an accepted change in time, also across failures of the log and restarts of VMs, and
// the configuration version of a VM must never decrease.
func TestConfigurationReachesAllVMs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3})
	watch := watchVersions(c)
	t.Run("many changes", func(t *testing.T) {
		for n := range 30 {
			assert.Equal(t, http.StatusOK, c.putAccount(c.vms[n%3], "schools", 1000+n).status)
			assertConfigApplied(t, c, c.vms[n%3], c.vms)
		}
	})
	t.Run("concurrent conditional writes to one resource", func(t *testing.T) {
		version := c.status(c.vms[0]).ConfigVersion
		doc := c.operatorCall(c.vms[0], http.MethodGet, "/v1/resources/ClientAccount/schools", "")
		assert.Contains(t, doc.body, fmt.Sprint(version))
		var accepted, conflicts int
		var mu sync.Mutex
		var calls sync.WaitGroup
		for n := range 6 {
			calls.Go(func() {
				path := fmt.Sprintf("/v1/resources/ClientAccount/schools?Expect=%d", version)
				a := c.operatorCall(c.vms[n%3], http.MethodPut, path, fmt.Sprintf(`{"TokensPerSecond": %d, "BurstTokens": 1000}`, 5000+n))
				mu.Lock()
				defer mu.Unlock()
				switch a.status {
				case http.StatusOK:
					accepted++
				case http.StatusConflict:
					conflicts++
				}
			})
		}
		calls.Wait()
		assert.Equal(t, 1, accepted)
		assert.Equal(t, 5, conflicts)
	})
	t.Run("log unavailable and back", func(t *testing.T) {
		c.setLogDown(true)
		// When the connection closes without a response, the VM cannot know whether the append took effect.
		assert.Contains(t, []int{http.StatusServiceUnavailable, http.StatusGatewayTimeout}, c.putAccount(c.vms[0], "late", 10).status)
		c.setLogDown(false)
		c.eventually(5*time.Second, "changes are accepted again", func() bool { return c.putAccount(c.vms[1], "late", 20).status == http.StatusOK })
		assertConfigApplied(t, c, c.vms[1], c.vms)
	})
	t.Run("response to the append lost", func(t *testing.T) {
		c.log.SetFaults(standin.Faults{LoseAnswers: true})
		time.AfterFunc(200*time.Millisecond, func() { c.log.SetFaults(standin.Faults{}) })
		assert.Equal(t, http.StatusOK, c.putAccount(c.vms[0], "lost", 30).status)
		assertConfigApplied(t, c, c.vms[0], c.vms)
	})
	t.Run("log reachable from one VM only", func(t *testing.T) {
		c.vms[1].logDown.Store(true)
		c.vms[2].logDown.Store(true)
		assert.Equal(t, http.StatusOK, c.putAccount(c.vms[0], "only", 40).status)
		assertConfigApplied(t, c, c.vms[0], c.vms)
		c.setLogDown(false)
	})
	t.Run("VM killed and restarted", func(t *testing.T) {
		c.kill(c.vms[2])
		assert.Equal(t, http.StatusOK, c.putAccount(c.vms[0], "killed", 50).status)
		c.start(c.vms[2])
		c.awaitReady(c.vms[2])
		assertConfigApplied(t, c, c.vms[0], c.vms)
	})
	t.Run("VM starts while the log is unavailable", func(t *testing.T) {
		c.kill(c.vms[2])
		c.setLogDown(true)
		c.start(c.vms[2])
		c.awaitReady(c.vms[2])
		assertConfigApplied(t, c, c.vms[0], c.vms)
		c.setLogDown(false)
	})
	watch.assertNeverDecreased(t)
}

// The log drops records after the retention time. VMs that start later must read the configuration from a
// snapshot.
func TestConfigurationSurvivesLogExpiry(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{vms: 3, retention: 4 * time.Second, timing: map[string]any{"RetentionMillis": 4000}})
	watch := watchVersions(c)
	assert.Equal(t, http.StatusOK, c.putAccount(c.vms[0], "kept", 10).status)
	version := c.status(c.vms[0]).ConfigVersion
	t.Run("log records expire while the VMs run", func(t *testing.T) {
		time.Sleep(10 * time.Second)
		c.kill(c.vms[2])
		c.start(c.vms[2])
		c.awaitReady(c.vms[2])
		assert.GreaterOrEqual(t, c.status(c.vms[2]).ConfigVersion, version)
		assert.Equal(t, http.StatusOK, c.operatorCall(c.vms[2], http.MethodGet, "/v1/resources/ClientAccount/kept", "").status)
	})
	t.Run("log records expire during a log outage", func(t *testing.T) {
		c.setLogDown(true)
		head := c.log.Head()
		c.log.Expire(head)
		c.setLogDown(false)
		c.eventually(15*time.Second, "a snapshot is written", func() bool { return c.status(c.vms[0]).SnapshotCovers >= head })
		for _, v := range c.vms {
			c.kill(v)
		}
		for _, v := range c.vms {
			c.start(v)
		}
		for _, v := range c.vms {
			c.awaitReady(v)
			assert.Equal(t, http.StatusOK, c.operatorCall(v, http.MethodGet, "/v1/resources/ClientAccount/kept", "").status)
		}
	})
	watch.assertNeverDecreased(t)
}

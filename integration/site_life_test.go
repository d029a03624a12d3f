package integration

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// moveStatus sends the status route to another pool.
func moveStatus(c *standin.Configuration) { c.Routes[3]["service"] = spareName }

// servedBy returns which replica answers a status call.
func (s *site) servedBy(v *storeVM) string {
	return strings.TrimPrefix(s.send(v, siteCall{path: "/status/a"}).header.Get(standin.HeaderReceipt), "by ")
}

func TestSiteConfigurationIsInForceEverywhere(t *testing.T) {
	s := newSite(t, 3)
	inForce := func(t *testing.T) {
		t.Helper()
		s.eventually(siteBound, "the new pool serves at all VMs", func() bool {
			for _, v := range s.vms {
				if s.servedBy(v) != "x-0" {
					return false
				}
			}
			return true
		})
	}
	back := func() {
		s.configure(func(c *standin.Configuration) { c.Routes[3]["service"] = deskName })
		time.Sleep(siteBound)
	}
	t.Run("on a calm day", func(t *testing.T) {
		s.configure(moveStatus)
		inForce(t)
		back()
	})
	t.Run("after the history was forgotten", func(t *testing.T) {
		s.configure(moveStatus)
		s.store.Forget("keyed.op")
		s.store.Forget("keyed.servers")
		inForce(t)
		back()
	})
	t.Run("after an outage", func(t *testing.T) {
		s.store.SetFaults(standin.Faults{Down: true})
		s.configure(moveStatus)
		time.Sleep(time.Second)
		assert.Contains(t, []string{"s-0", "s-1"}, s.servedBy(s.vms[0]), "the last known one serves meanwhile")
		s.store.SetFaults(standin.Faults{})
		inForce(t)
		back()
	})
	t.Run("in quick succession", func(t *testing.T) {
		for range 20 {
			s.configure(func(c *standin.Configuration) {})
			time.Sleep(10 * time.Millisecond)
		}
		s.configure(moveStatus)
		inForce(t)
		back()
	})
	t.Run("with hundreds of routes more", func(t *testing.T) {
		s.configure(func(c *standin.Configuration) {
			moveStatus(c)
			for n := range 500 {
				c.Routes = append(c.Routes, standin.Route(fmt.Sprint("more-", n), host, fmt.Sprintf("/more/%d/", n), "idempotent", deskName, nil))
			}
		})
		inForce(t)
		assert.Equal(t, http.StatusOK, s.send(s.vms[0], siteCall{path: "/more/499/a"}).status)
	})
	t.Run("never an older one", func(t *testing.T) {
		older := s.config
		older.Version = 1
		older.Routes = defaultConfiguration().Routes
		s.store.Configure(older)
		time.Sleep(time.Second)
		assert.Equal(t, "x-0", s.servedBy(s.vms[0]))
	})
	t.Run("not one that cannot be read", func(t *testing.T) {
		s.store.Put("keyed.op", "config", []byte("{broken"))
		time.Sleep(time.Second)
		assert.Equal(t, "x-0", s.servedBy(s.vms[0]))
		assert.NotEmpty(t, s.lines(s.vms[0], "declarations-unreadable"))
	})
}

func TestSiteStartsDuringAnOutage(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"closing connections": {Down: true}, "silent": {Silent: true}, "busy": {Status: http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1)
			s.store.SetFaults(faults)
			v := s.newVM("vm-late")
			s.start(v)
			time.Sleep(500 * time.Millisecond)
			assert.False(t, s.isReady(v))
			a := s.send(v, siteCall{path: "/status/a"})
			s.assertNotRun(t, a)
			assert.Equal(t, http.StatusOK, s.send(s.vms[0], siteCall{path: "/status/a"}).status, "others serve")
			s.store.SetFaults(standin.Faults{})
			s.awaitServing(v)
			s.eventually(time.Second, "the outage is logged", func() bool { return len(s.lines(v, "store-lost")) > 0 && len(s.lines(v, "store-regained")) > 0 })
		})
	}
}

func TestSiteServesWithoutMetrics(t *testing.T) {
	s := newSite(t, 0)
	v := s.newVM("vm-0")
	taken, err := net.Listen("tcp", v.metrics)
	require.NoError(t, err)
	defer taken.Close()
	s.start(v)
	s.awaitServing(v)
	s.eventually(time.Second, "the log says so", func() bool { return len(s.lines(v, "metrics-not-served", v.metrics)) == 1 })
}

// load sends calls until the returned function is called, which returns how many failed.
func (s *site) load(c siteCall, callers int) func() int {
	stop := make(chan struct{})
	failed := make([]int, callers)
	var load sync.WaitGroup
	for n := range callers {
		load.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if a := s.send(s.vms[n%len(s.vms)], c); a.status != http.StatusOK || !a.whole {
					failed[n]++
				}
			}
		})
	}
	return func() int {
		close(stop)
		load.Wait()
		total := 0
		for _, n := range failed {
			total += n
		}
		return total
	}
}

func TestSiteLeavingReplicaGetsNoNewWork(t *testing.T) {
	scenarios := []struct {
		name  string
		id    string
		call  siteCall
		leave func(s *site, id string)
	}{
		{name: "a service that says so", id: "s-0", call: siteCall{path: "/status/a"}, leave: func(s *site, id string) { s.list(id, "state", "draining") }},
		{name: "a service that is gone", id: "s-0", call: siteCall{path: "/status/a"}, leave: func(s *site, id string) { s.store.PutReplica(id, nil) }},
		{name: "a decode engine", id: "d-0", call: stream("/review/a"), leave: func(s *site, id string) { s.list(id, "state", "draining") }},
		{name: "a prefill engine", id: "p-0", call: stream("/review/a"), leave: func(s *site, id string) { s.store.PutReplica(id, nil) }},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := newSite(t, 2)
			stop := s.load(scenario.call, 4)
			time.Sleep(500 * time.Millisecond)
			assert.NotEmpty(t, s.replicas[scenario.id].Runs())
			scenario.leave(s, scenario.id)
			time.Sleep(siteBound)
			runs := len(s.replicas[scenario.id].Runs())
			time.Sleep(500 * time.Millisecond)
			assert.Equal(t, runs, len(s.replicas[scenario.id].Runs()))
			assert.Zero(t, stop(), "no caller noticed")
		})
	}
}

func TestSiteEntriesThatLapse(t *testing.T) {
	s := newSite(t, 1)
	v := s.vms[0]
	s.store.SetFaults(standin.Faults{Down: true})
	time.Sleep(1500 * time.Millisecond)
	for id := range s.replicas {
		s.store.PutReplica(id, nil)
	}
	s.store.SetFaults(standin.Faults{})
	s.eventually(3*time.Second, "the loss is seen", func() bool { return len(s.lines(v, "replica-doubtful")) == len(s.replicas) })
	assert.Equal(t, http.StatusOK, s.send(v, siteCall{path: "/status/a"}).status, "entries that lapsed with the store may come back")
	s.store.PutReplica("s-0", s.replicas["s-0"].entry)
	time.Sleep(3500 * time.Millisecond)
	assert.Equal(t, "s-0", s.servedBy(v), "the one that came back")
	assert.Equal(t, http.StatusServiceUnavailable, s.send(v, stream("/review/a")).status, "those that did not are gone")
}

func TestSiteUnreadableEntries(t *testing.T) {
	s := newSite(t, 1)
	entry := func(field string, value any) map[string]any {
		copied := map[string]any{}
		for name, v := range s.replicas["x-0"].entry {
			copied[name] = v
		}
		copied["service"] = deskName
		copied[field] = value
		return copied
	}
	s.store.Put("keyed.servers", "bytes", []byte{0xff, 0, 1})
	s.store.PutReplica("number", 7)
	s.store.PutReplica("state", entry("state", "dreaming"))
	s.store.PutReplica("stage", entry("stage", "cook"))
	s.store.PutReplica("address", entry("address", "localhost"))
	s.store.PutReplica("type", entry("slots", "many"))
	s.store.PutReplica("service", entry("service", "unheard-of"))
	time.Sleep(siteBound)
	for range 6 {
		assert.Contains(t, []string{"s-0", "s-1"}, s.servedBy(s.vms[0]))
	}
	assert.NotEmpty(t, s.lines(s.vms[0], "replica-entry-unreadable", "dreaming"))
}

func TestSiteGracefulStop(t *testing.T) {
	s := newSite(t, 2)
	slow := s.place(replicaSetup{standin.ReplicaConfig{ID: "d-slow", Stage: "decode", Work: 50 * time.Millisecond, Events: 40}, enginesName})
	s.store.PutReplica("d-0", nil)
	s.store.PutReplica("d-1", nil)
	time.Sleep(siteBound)
	v := s.vms[0]
	var calls sync.WaitGroup
	for range 4 {
		calls.Go(func() {
			a := s.send(v, stream("/review/a"))
			assertAnswered(t, a, wholeStream(a.attempt, 40))
		})
	}
	time.Sleep(300 * time.Millisecond)
	require.NoError(t, v.cmd.Process.Signal(syscall.SIGTERM))
	s.eventually(500*time.Millisecond, "it is not ready any more", func() bool { return !s.isReady(v) })
	a := s.send(v, siteCall{path: "/status/a", keep: true})
	assertAnswered(t, a, standin.ServiceAnswer(a.attempt))
	assert.True(t, a.closes)
	calls.Wait()
	assert.NoError(t, v.cmd.Wait(), "exit code 0")
	assert.Len(t, slow.Runs(), 4)
	assert.NotEmpty(t, s.lines(v, "Event=stopped"))
}

func TestSiteHangup(t *testing.T) {
	s := newSite(t, 1)
	v := s.vms[0]
	v.writeSettings(t, s.settings(v, v.name, map[string]any{"Level": "debug"}))
	require.NoError(t, v.cmd.Process.Signal(syscall.SIGHUP))
	s.eventually(2*time.Second, "the settings are read again", func() bool { return len(s.lines(v, "settings-reloaded", "Level=debug")) == 1 })
	v.writeSettings(t, s.settings(v, v.name, map[string]any{"Level": "loud"}))
	require.NoError(t, v.cmd.Process.Signal(syscall.SIGHUP))
	s.eventually(2*time.Second, "faults are told", func() bool { return len(s.lines(v, "settings-not-reloaded", "loud")) == 1 })
	assert.Equal(t, http.StatusOK, s.send(v, siteCall{path: "/status/a"}).status)
}

// TestSiteFailureIsExplainedByItsLogs goes from the ID of a failed request to its cause, as docs/OPERATIONS.md does.
func TestSiteFailureIsExplainedByItsLogs(t *testing.T) {
	s := newSite(t, 1)
	v := s.vms[0]
	s.replicas["d-0"].SetFaults(standin.ReplicaFaults{Refuse: true})
	s.replicas["d-1"].SetFaults(standin.ReplicaFaults{Refuse: true})
	a := s.send(v, stream("/review/a"))
	s.assertNotRun(t, a)
	s.eventually(time.Second, "the end is logged", func() bool { return len(s.lines(v, "request-ended", a.attempt)) == 1 })
	end := s.lines(v, "request-ended", a.attempt)[0]
	for _, field := range []string{"Route=review", "Version=1", "Account=schools", "Status=503", "Kind=Overload"} {
		assert.Contains(t, end, field)
	}
	placed := s.lines(v, "Event=placed", a.attempt)
	require.NotEmpty(t, placed)
	decode := regexp.MustCompile(`Decode=(\S+)`).FindStringSubmatch(placed[0])
	require.Len(t, decode, 2)
	assert.NotEmpty(t, s.lines(v, "upstream-refused", a.attempt, "Replica="+decode[1]))
	assert.NotEmpty(t, s.lines(v, "replica-listed", "Replica="+decode[1]))
}

func TestSiteMetrics(t *testing.T) {
	s := newSite(t, 1)
	s.send(s.vms[0], stream("/review/a"))
	resp, err := http.Get("http://" + s.vms[0].metrics + "/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for _, name := range []string{`cassiabridge_route_requests_total{outcome="Answered",route="review"} 1`, "cassiabridge_route_first_event_seconds_bucket",
		"cassiabridge_prefill_tokens_total 8000", "cassiabridge_declarations_version 1"} {
		assert.Contains(t, string(body), name)
	}
}

func TestSiteVMKilled(t *testing.T) {
	s := newSite(t, 3)
	s.kill(s.vms[0])
	s.eventually(4*time.Second, "its silence is noticed", func() bool { return len(s.lines(s.vms[1], "vm-silent", "Peer=vm-0")) == 1 })
	s.start(s.vms[0])
	s.awaitServing(s.vms[0])
	s.eventually(4*time.Second, "its return is noticed", func() bool { return len(s.lines(s.vms[1], "vm-heard", "Peer=vm-0")) == 2 })
	assert.Empty(t, s.lines(s.vms[0], "vm-announced"), "a VM that comes back at its old address wakes nobody")
}

// TestSiteRestartsWithoutSomeTopics kills all VMs while the store does not answer for the topics that operators and
// replicas write to.
func TestSiteRestartsWithoutSomeTopics(t *testing.T) {
	for _, silent := range [][]string{{"keyed.servers"}, {"keyed.op"}, {"keyed.op", "keyed.servers"}} {
		t.Run(strings.Join(silent, " and "), func(t *testing.T) {
			s := newSite(t, 2)
			s.eventually(5*time.Second, "the copy is written", func() bool { return len(s.lines(s.vms[0], "copy-written")) == 2 })
			s.store.Silence(silent...)
			for _, v := range s.vms {
				s.kill(v)
			}
			for _, v := range s.vms {
				s.start(v)
			}
			for _, v := range s.vms {
				s.eventually(time.Second, v.name+" serves", func() bool { return s.send(v, stream("/review/a")).status == http.StatusOK })
			}
			s.store.Silence()
			s.configure(moveStatus)
			s.store.PutReplica("s-0", nil)
			s.eventually(4*time.Second, "what came since is in force", func() bool { return s.servedBy(s.vms[0]) == "x-0" })
		})
	}
}

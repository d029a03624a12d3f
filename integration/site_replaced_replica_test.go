package integration

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// slowSupervisorDelay is how long after a process has ended a slow supervisor starts the next one.
const slowSupervisorDelay = 200 * time.Millisecond

// mortalKind is a kind of answers that replicas do not finish.
type mortalKind struct {
	service, stage string
	request        siteRequest
	events         []int
}

func mortalKinds() map[string]mortalKind {
	return map[string]mortalKind{
		"plain answer":     {service: deskService, request: siteRequest{path: "/status/a"}},
		"stream":           {service: engineService, stage: "decode", request: streamRequest("/review/a"), events: []int{1, 2}},
		"resumable stream": {service: engineService, stage: "decode", request: streamRequest("/check/a"), events: []int{1, 2}},
	}
}

// startMortalOnly starts a replica that does not finish its answer to one request, and removes the others of its stage.
func (s *site) startMortalOnly(kind mortalKind, restart func(*mortalReplica)) *mortalReplica {
	m := s.startMortal(&mortalReplica{service: kind.service, restart: restart, answer: startOfAnswer(kind.events...)}, "mortal", kind.stage)
	s.removeReplicas("s-0", "s-1", "d-0", "d-1")
	return m
}

// assertNotWhole checks that an answer began and that its caller could tell that it is not whole.
func assertNotWhole(t *testing.T, a siteResponse) {
	t.Helper()
	assert.Equal(t, http.StatusOK, a.status, a.body)
	assert.False(t, a.complete, "the answer is not whole: %q", a.body)
}

// TestSiteReplacedReplicaCompletesAnAnswer guards against an answer without framing that looks complete when its replica is killed in the
// middle of it, and something else accepts connections at its address at once.
func TestSiteReplacedReplicaCompletesAnAnswer(t *testing.T) {
	t.Parallel()
	restarts := map[string]func(*mortalReplica){
		"same ID": (*mortalReplica).restartUnderSameID, "new ID": (*mortalReplica).restartUnderNewID, "proxy": (*mortalReplica).leaveProxy}
	for kindName, kind := range mortalKinds() {
		for restartName, restart := range restarts {
			t.Run(kindName+", "+restartName, func(t *testing.T) {
				t.Parallel()
				s := newSite(t, 1)
				s.startMortalOnly(kind, restart)
				assertNotWhole(t, s.send(s.vms[0], kind.request))
			})
		}
	}
}

// TestSiteReplacedReplicaCompletesASecondAnswer guards against a stream that goes on with an answer without framing and looks complete when
// the second replica is killed and replaced at once.
func TestSiteReplacedReplicaCompletesASecondAnswer(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.startRawReplica("breaking", engineService, "decode", func() func(*http.Request) string {
		return func(r *http.Request) string {
			attempt := r.Header.Get(standin.HeaderAttempt)
			return unframedEvents(attempt, eventsOf(attempt, 1, 2)+"id: 3")
		}
	})
	s.removeReplicas("d-0", "d-1")
	m := &mortalReplica{service: engineService, restart: (*mortalReplica).restartUnderSameID, answer: func(process standin.Process, r *http.Request) string {
		if r.Header.Get("Last-Event-Id") == "" {
			return ""
		}
		return unframedStart(process, r, "text/event-stream", eventsOf(r.Header.Get(standin.HeaderAttempt), 3, 4))
	}}
	s.startMortal(m, "mortal", "decode")
	time.Sleep(maxSitePropagationDelay)
	a := s.send(s.vms[0], streamRequest("/check/a"))
	assert.Equal(t, eventsOf(a.attempt, 1, 2, 3, 4), a.body)
	assertNotWhole(t, a)
}

// TestSiteReplacedReplicaCompletesAnAnswerThroughAPeer guards against the same where the answer comes through a peer.
func TestSiteReplacedReplicaCompletesAnAnswerThroughAPeer(t *testing.T) {
	t.Parallel()
	for name, kind := range mortalKinds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			v, links := s.startInside("vm-cut")
			links.setCut(cutByRefusal)
			m := s.startMortalOnly(kind, (*mortalReplica).restartUnderSameID)
			a := s.send(v, kind.request)
			s.eventually(5*time.Second, "the answer came through a peer", func() bool {
				return len(s.logLines(s.vms[0], "Event=connection-opened-for-peer", a.attempt, m.addr))+len(s.logLines(s.vms[1], "Event=connection-opened-for-peer", a.attempt, m.addr)) > 0
			})
			assertNotWhole(t, a)
		})
	}
}

// TestSiteReplicaReplacedWhileAVMStoodStill guards against an answer without framing that looks complete when its replica is killed in the
// middle of it and replaced before its VM, which stood still, sees the end of the connection.
func TestSiteReplicaReplacedWhileAVMStoodStill(t *testing.T) {
	t.Parallel()
	for name, kind := range mortalKinds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			m := s.startMortalOnly(kind, func(m *mortalReplica) {
				time.Sleep(slowSupervisorDelay)
				go m.restartUnderSameID()
				time.Sleep(slowSupervisorDelay)
				_ = s.vms[0].cmd.Process.Signal(syscall.SIGCONT)
			})
			m.beforeEnd = func() { s.vms[0].freeze(t) }
			assertNotWhole(t, s.send(s.vms[0], kind.request))
		})
	}
}

// TestSiteReplicaReplacedDuringAnUpload guards against an early answer without framing that looks complete when its replica is killed and
// replaced while a long upload is still being written.
func TestSiteReplicaReplacedDuringAnUpload(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.configure(func(c *standin.Configuration) { c.Limits["maxBodyBytes"] = 16 << 20 })
	m := &mortalReplica{service: deskService, restart: (*mortalReplica).restartUnderSameID, answersEarly: true, answer: func(process standin.Process, r *http.Request) string {
		return unframedStart(process, r, "text/plain", "the first half")
	}}
	s.startMortal(m, "mortal", "")
	s.removeReplicas("s-0", "s-1")
	for range 5 {
		a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: "/release/a", body: strings.Repeat("x", 8<<20)})
		assert.False(t, a.status == http.StatusOK && a.complete, "the answer is not whole: %q", a.body)
		time.Sleep(2 * entryDelay)
	}
}

// countWhole sends requests, and returns how many are answered with a whole stream or plain answer.
func (s *site) countWhole(v *gatewayVM, path string, count, events int) int {
	whole := 0
	for _, a := range sendTogether(s.t, count, func(int) siteResponse { return s.send(v, streamRequest(path)) }) {
		if a.status == http.StatusOK && a.complete && (a.body == streamBody(a.attempt, events) || a.body == standin.ServiceAnswer(a.attempt)) {
			whole++
		}
	}
	return whole
}

// TestSiteLivingReplicasAnswersAreCut guards against an answer without framing of a replica that lives on, which is whole and looks cut.
func TestSiteLivingReplicasAnswersAreCut(t *testing.T) {
	t.Parallel()
	const count, peerCount, events = 1000, 100, 4
	var replicas []replicaSpec
	for _, spec := range defaultReplicas() {
		spec.WorkDuration, spec.Events = time.Millisecond, events
		replicas = append(replicas, spec)
	}
	s := newSiteWithReplicas(t, 2, replicas)
	s.setAllFaults(standin.ReplicaFaults{Unframed: true})
	paths := []string{"/status/a", "/review/a", "/check/a"}
	for _, path := range paths {
		assert.Equal(t, count, s.countWhole(s.vms[0], path, count, events), path)
	}
	v, links := s.startInside("vm-cut")
	links.setCut(cutByRefusal)
	for _, path := range paths {
		assert.Equal(t, peerCount, s.countWhole(v, path, peerCount, events), "through a peer: %s", path)
	}
}

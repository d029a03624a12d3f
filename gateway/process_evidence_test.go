package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/exchange"
	"github.com/cassiabridge/cassiabridge/liveness"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// TestCallerThatLeavesPutsALivingReplicaInDoubt guards against a caller's leaving, while its answer is confirmed, that counts against the replica.
func TestCallerThatLeavesPutsALivingReplicaInDoubt(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	asked := make(chan struct{}, 8)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, func(conn net.Conn) {
		asked <- struct{}{}
		time.Sleep(50 * time.Millisecond)
		say(200, "born 7")(conn)
	})}
	runControl(t, s, replica)
	ctx, leave := context.WithCancelCause(t.Context())
	go func() {
		<-asked
		leave(errors.New("the caller has left"))
	}()
	httpRequest, err := http.NewRequest(http.MethodGet, "/", nil)
	require.NoError(t, err)
	r := &request{http: httpRequest, target: "/", deadline: time.Now().Add(time.Second), route: &routing.Route{}, pool: &routing.Pool{},
		versions: placement.VersionLimit{Limited: true, Version: "v1"}}
	if result := s.exchange(ctx, r, replica, Hop{Replica: "r"}); result.resp != nil {
		result.resp.Close()
	}
	assert.False(t, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
}

// TestAnswerOfNoReplicaConfirmsAnEnd guards against a cut answer without framing that is whole since something else than its process has answered.
func TestAnswerOfNoReplicaConfirmsAnEnd(t *testing.T) {
	t.Parallel()
	for name, report := range map[string]func(net.Conn){
		"a proxy without the replica":         say(404, "no such backend"),
		"a proxy that denies":                 say(403, "denied"),
		"a proxy that limits":                 say(429, "slow down"),
		"a proxy that redirects":              say(302, "", "Location: /\r\n"),
		"a page of a proxy":                   say(200, "<html>maintenance</html>"),
		"a report cut inside, without length": func(conn net.Conn) { _, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nbor") },
		"an answer to another request, first": func(conn net.Conn) {
			say(200, "late", NativeHeaders.Attempt+": another\r\n")(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Address: startReporter(t, func(net.Listener) {}, report), Born: 7, Stage: placement.StageDecode}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err := readConfirmed(ctx, t, s, &request{}, replica)
			assert.Error(t, err)
		})
	}
}

// TestRestartedReplicaWithAnOldEntryLosesItsAnswers guards against sound answers of a process that began before the answers did, and is not on the list yet, that count as cut.
func TestRestartedReplicaWithAnOldEntryLosesItsAnswers(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, say(200, "born 8"))}
	runControl(t, s, replica)
	cut := 0
	for range 5 {
		if readConfirmed(t.Context(), t, s, &request{}, replica) != nil {
			cut++
		}
	}
	assert.LessOrEqual(t, cut, 1, "the first check names the process, later answers are its own")
}

// TestAnswerOnAnOlderConnectionIsWhole guards against the cut answer of a process that has ended, which is whole since the next one was found before the
// answer ended: its connection was opened earlier than that.
func TestAnswerOnAnOlderConnectionIsWhole(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, say(200, "born 8"))}
	runControl(t, s, replica)
	resp, err := s.upstreams.Do(t.Context(), replica.Address, exchange.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, ConfirmEnd: s.endConfirmation(&request{}, replica)})
	require.NoError(t, err)
	defer resp.Close()
	s.recordProcess(replica, s.checkProcess(t.Context(), replica).FindingOf(replica.Born))
	_, err = resp.ReadAll(1 << 10)
	assert.Error(t, err)
	assert.NoError(t, readConfirmed(t.Context(), t, s, &request{}, replica), "an answer on a later connection")
}

// TestFoundRestartIsForgotten guards against a process that was found to have started again, and that counts as of the version of its old entry once a time has passed.
func TestFoundRestartIsForgotten(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: "127.0.0.1:1"}
	now := time.Now()
	s.control.applyReplicas(now, ReplicaUpdate{Next: 1, Listed: []placement.Replica{replica}, versions: map[string]EntryVersion{"r": {Born: 7}}})
	s.control.scheduler.RecordProcess(now, "r", liveness.Finding{State: liveness.Restarted})
	later := now.Add(20 * time.Second)
	assert.True(t, s.control.scheduler.VersionDoubted(later, "r", later), "the entry has not been renewed")
}

// TestPlainReplicaStaysInDoubt guards against a replica without reports that answers again and stays in doubt.
func TestPlainReplicaStaysInDoubt(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, say(400, "", NativeHeaders.NotRun+": 1\r\n"))}
	runControl(t, s, replica)
	s.recordProcess(replica, liveness.Finding{State: liveness.Silent})
	require.True(t, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
	assert.Eventually(t, func() bool { return !s.control.isVersionDoubted("r", time.Now().Add(time.Minute)) }, 3*time.Second, 50*time.Millisecond)
}

// TestRemovedEntryEndsADoubt guards against a stream of a process that was found to have started again, which goes on as of its old entry's version since the entry is gone.
func TestRemovedEntryEndsADoubt(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: "127.0.0.1:1"}
	runControl(t, s, replica)
	began := time.Now()
	s.recordProcess(replica, liveness.Finding{State: liveness.Restarted})
	require.True(t, s.control.isVersionDoubted("r", began))
	s.control.ApplyReplicas(ReplicaUpdate{Next: 2, Removed: []string{"r"}})
	assert.True(t, s.control.isVersionDoubted("r", began))
}

// TestStreamOfOneVersionIsLostInADoubt guards against a stream that its caller cannot resume since its replica was silent for a moment, in a pool of one software version.
func TestStreamOfOneVersionIsLostInADoubt(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, say(200, "born 7"))}
	runControl(t, s, replica)
	s.recordProcess(replica, liveness.Finding{State: liveness.Silent})
	s.control.recordStreams([]string{"a"}, replica)
	require.Eventually(t, func() bool { return !s.control.isVersionDoubted("r", time.Now().Add(time.Minute)) }, 3*time.Second, 50*time.Millisecond)
	assert.Equal(t, "v1", s.control.streamOrigin(t.Context(), "a", "p").Version, "the process of the entry has been found to live since")
}

// TestStartThatGoesBackKeepsADoubt guards against a process whose clock is behind that of the one before, and that stays in doubt though its entry names it,
// and against a late entry of a process before that one, which ends the doubt.
func TestStartThatGoesBackKeepsADoubt(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		found, listed int64
		restored      bool
		doubted       bool
	}{
		"its entry":                              {5, 5, false, false},
		"its entry, when the store is restored":  {5, 5, true, false},
		"a late entry of an older process":       {8, 5, false, true},
		"an entry, of a start that is not known": {0, 5, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: "127.0.0.1:1"}
			runControl(t, s, replica)
			s.recordProcess(replica, liveness.Finding{State: liveness.Restarted, Born: c.found})
			renewed := replica
			renewed.Born = c.listed
			s.control.ApplyReplicas(ReplicaUpdate{Next: 2, Restored: c.restored, Listed: []placement.Replica{renewed}, versions: map[string]EntryVersion{"r": {Born: c.listed}}})
			assert.Equal(t, c.doubted, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
		})
	}
}

// TestOtherConnectionTellsOfAnAnswer guards against an answer of a process that has taken over the address, and counts as that of the one before, which lives on for its kept connections.
func TestOtherConnectionTellsOfAnAnswer(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	accepted := 0
	serve := func(conn net.Conn, born string) {
		defer conn.Close()
		in := bufio.NewReader(conn)
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			say(200, born)(conn)
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted++
			born := "born 8"
			if accepted == 1 {
				born = "born 7"
			}
			go serve(conn, born)
		}
	}()
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: listener.Addr().String()}
	runControl(t, s, replica)
	open := func() *exchange.Response {
		resp, err := s.upstreams.Do(t.Context(), replica.Address, exchange.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		require.NoError(t, err)
		return resp
	}
	first := open()
	answer := open()
	_, err = first.ReadAll(1 << 10)
	require.NoError(t, err)
	first.Close()
	defer answer.Close()
	r := &request{route: &routing.Route{}, pool: &routing.Pool{}, versions: placement.VersionLimit{Limited: true, Version: "v1"}}
	assert.Error(t, s.confirmVersion(t.Context(), r, replica, answer))
}

// TestCallersThatLeaveEjectAReplica guards against streams that their callers cancel, and that count as failures of the replica.
func TestCallersThatLeaveEjectAReplica(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, say(200, "born 7"))}
	runControl(t, s, replica)
	ctx, leave := context.WithCancelCause(t.Context())
	leave(errors.New("the caller has left"))
	for range 10 {
		r := &request{http: (&http.Request{}).WithContext(ctx), route: &routing.Route{}, pool: &routing.Pool{}}
		g := &generation{server: s, r: r, events: s.newSequence(r)}
		_, _ = g.endBrokenStream(ctx, replica, &exchange.Response{}, &exchange.Error{Op: "read", Kind: exchange.ErrBroken, Err: context.Cause(ctx)})
	}
	pause := ask(s.control, func() time.Duration { return s.control.scheduler.RecordFailure(s.control.now(), "r", false) })
	assert.Zero(t, pause, "one failure does not eject a replica")
}

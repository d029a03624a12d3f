package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/resumption"
	"github.com/cassiabridge/cassiabridge/routing"
)

// runControl runs the control goroutine of a server until the test ends, with one listed replica.
func runControl(t *testing.T, s *Server, replica placement.Replica) {
	t.Helper()
	s.control.applyReplicas(time.Now(), ReplicaUpdate{Next: 1, Listed: []placement.Replica{replica}, versions: map[string]EntryVersion{replica.ID: {Born: replica.Born}}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		s.control.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestAnswerOfAnotherProcessIsJoined guards against a stream that goes on at a process which has started again under the ID of its replica,
// with other software, and against one that begins there and counts as of the version of the entry.
func TestAnswerOfAnotherProcessIsJoined(t *testing.T) {
	t.Parallel()
	lives := func(net.Listener) {}
	for name, c := range map[string]struct {
		report  func(net.Conn)
		limited bool
		outcome attempt.Outcome
		doubted bool
	}{
		"the listed process":                        {say(200, "born 7"), true, attempt.Answered, false},
		"another process":                           {say(200, "born 8"), true, attempt.InDoubt, true},
		"another replica":                           {say(421, ""), true, attempt.InDoubt, true},
		"a replica without reports":                 {say(400, "", NativeHeaders.NotRun+": 1\r\n"), true, attempt.Answered, false},
		"another process, for a stream that begins": {say(200, "born 8"), false, attempt.Answered, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Address: startReporter(t, lives, c.report), Born: 7, SoftwareVersion: "v1"}
			runControl(t, s, replica)
			httpRequest, err := http.NewRequest(http.MethodGet, "/", nil)
			require.NoError(t, err)
			r := &request{http: httpRequest, target: "/", deadline: time.Now().Add(time.Second), route: &routing.Route{}, pool: &routing.Pool{}}
			r.versions = placement.VersionLimit{Limited: c.limited, Version: "v1"}
			result := s.exchange(t.Context(), r, replica, Hop{Replica: "r"})
			assert.Equal(t, c.outcome, result.outcome)
			assert.Equal(t, c.outcome == attempt.Answered, result.resp != nil)
			if result.resp != nil {
				result.resp.Close()
			}
			assert.Equal(t, c.doubted, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
		})
	}
}

// TestBrokenRunOfAnotherProcessKeepsTheVersion guards against a run that breaks at a proxy which accepts connections, after which the
// replica behind it counts as the process of its entry, and against a doubt that lasts after the process has answered.
func TestBrokenRunOfAnotherProcessKeepsTheVersion(t *testing.T) {
	t.Parallel()
	lives := func(net.Listener) {}
	for name, c := range map[string]struct {
		born    int64
		doubted bool
	}{"the listed process": {7, false}, "another process": {8, true}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Address: startReporter(t, lives, say(200, fmt.Sprint("born ", c.born))), Born: 7, SoftwareVersion: "v1"}
			runControl(t, s, replica)
			began := time.Now()
			s.control.recordStreams([]string{"begun-shortly-before"}, replica)
			s.recordBroken(&request{http: &http.Request{}, info: RequestInfo{Attempt: "a"}}, replica, true)
			assert.Equal(t, c.doubted, s.control.isVersionDoubted("r", began), "a stream that began shortly before")
			assert.Equal(t, c.doubted, s.control.streamOrigin(t.Context(), "begun-shortly-before", "p").Version == resumption.DoubtedVersion)
		})
	}
	t.Run("a silent process that answers later", func(t *testing.T) {
		t.Parallel()
		s := newCheckingServer(t)
		answers := make(chan struct{})
		replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, lives, func(conn net.Conn) {
			select {
			case <-answers:
				say(200, "born 7")(conn)
			case <-time.After(time.Second):
			}
		})}
		runControl(t, s, replica)
		s.recordBroken(&request{http: &http.Request{}, info: RequestInfo{Attempt: "a"}}, replica, true)
		assert.True(t, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
		close(answers)
		assert.Eventually(t, func() bool { return !s.control.isVersionDoubted("r", time.Now().Add(time.Minute)) }, 4*time.Second, 20*time.Millisecond)
	})
}

// TestEntryThatChangesItsVersionTooLate guards against streams that began at a replica shortly before its entry names another version, and
// that go on at the version of the entry before.
func TestEntryThatChangesItsVersionTooLate(t *testing.T) {
	for name, version := range map[string]string{"another version": "v2", "the same version": "v1"} {
		t.Run(name, func(t *testing.T) {
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Address: "127.0.0.1:1", Born: 7, SoftwareVersion: "v1"}
			runControl(t, s, replica)
			began := time.Now()
			s.control.recordStreams([]string{"a"}, replica)
			renewed := replica
			renewed.Born, renewed.SoftwareVersion = 8, version
			s.control.ApplyReplicas(ReplicaUpdate{Next: 2, Listed: []placement.Replica{renewed}, versions: map[string]EntryVersion{"r": {Born: 8}}})
			assert.Equal(t, version != "v1", s.control.isVersionDoubted("r", began))
			assert.False(t, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)), "streams that begin later")
			origin := s.control.streamOrigin(t.Context(), "a", "p")
			assert.Equal(t, version != "v1", origin.Version == resumption.DoubtedVersion)
		})
	}
}

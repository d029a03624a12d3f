package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/attempt"
	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/routing"
)

// silentFor returns a report of a process that is silent for a period from the first request on.
func silentFor(period time.Duration) func(net.Conn) {
	var until atomic.Pointer[time.Time]
	return func(conn net.Conn) {
		end := time.Now().Add(period)
		until.CompareAndSwap(nil, &end)
		time.Sleep(time.Until(*until.Load()))
		say(200, "born 7")(conn)
	}
}

// lostFirst returns a report that never comes on the first connection, and at once on others.
func lostFirst() func(net.Conn) {
	var lost atomic.Bool
	return func(conn net.Conn) {
		if lost.CompareAndSwap(false, true) {
			time.Sleep(5 * time.Second)
			return
		}
		say(200, "born 7")(conn)
	}
}

// TestSilenceCutsAWholeAnswer guards against a whole answer without framing that is cut since its replica is silent for a second after it.
func TestSilenceCutsAWholeAnswer(t *testing.T) {
	t.Parallel()
	for name, report := range map[string]func(net.Conn){"silent for a second": silentFor(time.Second), "one connection is lost": lostFirst()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Address: startReporter(t, func(net.Listener) {}, report), Born: 7}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err := readConfirmed(ctx, t, s, &request{}, replica)
			assert.NoError(t, err)
		})
	}
}

// TestSilenceDiscardsAStream guards against the answer to a caller that takes a stream up which is discarded, and its replica doubted, since
// that is silent for a second.
func TestSilenceDiscardsAStream(t *testing.T) {
	t.Parallel()
	for name, policy := range map[string]attempt.Policy{
		"that can go on elsewhere": {Repeat: routing.Resumable, MaxRuns: 3, MaxTries: maxTries},
		"that cannot":              {Repeat: routing.Resumable, MaxRuns: 1, MaxTries: maxTries},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newCheckingServer(t)
			replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, silentFor(time.Second))}
			runControl(t, s, replica)
			result := exchangeLimited(t, s, replica, policy, 3*time.Second)
			assert.Equal(t, attempt.Answered, result.outcome)
			assert.False(t, s.control.isVersionDoubted("r", time.Now().Add(time.Minute)))
		})
	}
}

// TestDeadReplicaHoldsAStream guards against a stream that waits for a replica which never answers until its caller can wait no longer,
// although it can go on elsewhere.
func TestDeadReplicaHoldsAStream(t *testing.T) {
	t.Parallel()
	s := newCheckingServer(t)
	replica := placement.Replica{ID: "r", Pool: "p", Slots: 1, Born: 7, SoftwareVersion: "v1", Address: startReporter(t, func(net.Listener) {}, silentFor(time.Minute))}
	runControl(t, s, replica)
	began := time.Now()
	result := exchangeLimited(t, s, replica, attempt.Policy{Repeat: routing.Resumable, MaxRuns: 3, MaxTries: maxTries}, 20*time.Second)
	assert.Equal(t, attempt.InDoubt, result.outcome)
	assert.Less(t, time.Since(began), 10*time.Second)
}

// exchangeLimited sends a request that is held to the software version v1 to a replica, and closes the answer.
func exchangeLimited(t *testing.T, s *Server, replica placement.Replica, policy attempt.Policy, timeout time.Duration) exchangeResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodGet, "/", nil)
	require.NoError(t, err)
	r := &request{http: httpRequest, target: "/", deadline: time.Now().Add(timeout), route: &routing.Route{}, pool: &routing.Pool{}, state: attempt.New(policy).WithTry()}
	r.versions = placement.VersionLimit{Limited: true, Version: "v1"}
	result := s.exchange(ctx, r, replica, Hop{Replica: "r"})
	if result.resp != nil {
		result.resp.Close()
	}
	return result
}

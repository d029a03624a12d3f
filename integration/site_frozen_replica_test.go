package integration

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// freezingEngines are decode engines. The first one that has sent the start of a stream stands still, as after SIGSTOP, until thaw is closed.
type freezingEngines struct {
	thaw chan struct{}

	mu     sync.Mutex
	frozen string
}

// newFreezingEngines replaces the decode engines of s by two that may stand still.
func newFreezingEngines(s *site) *freezingEngines {
	e := &freezingEngines{thaw: make(chan struct{})}
	for n := range 2 {
		listener, process := listen(s.t), standin.NewProcess(fmt.Sprint("f-", n), "decode")
		go func() {
			for {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go e.serve(conn, process)
			}
		}()
		s.listReplica(process, engineService, listener.Addr().String())
	}
	s.removeReplicas("d-0", "d-1")
	return e
}

// pause waits until an engine does not stand still.
func (e *freezingEngines) pause(id string) {
	e.mu.Lock()
	frozen := e.frozen == id
	e.mu.Unlock()
	if frozen {
		<-e.thaw
	}
}

// freeze has an engine stand still if it is the first one.
func (e *freezingEngines) freeze(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.frozen == "" {
		e.frozen = id
	}
}

func (e *freezingEngines) serve(conn net.Conn, process standin.Process) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		e.pause(process.ID)
		if own := process.RawAnswer(r); own != "" {
			_, _ = io.WriteString(conn, own)
			continue
		}
		attempt := r.Header.Get(standin.HeaderAttempt)
		last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if last == 0 {
			_, _ = io.WriteString(conn, rawEvents(attempt, eventsOf(attempt, 1, 2)))
			e.freeze(process.ID)
			last = 2
		} else {
			_, _ = io.WriteString(conn, rawEvents(attempt, ""))
		}
		e.pause(process.ID)
		for n := last + 1; n <= 4; n++ {
			event := rawEvent(attempt, n)
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
				return
			}
		}
		if _, err := io.WriteString(conn, lastChunk); err != nil {
			return
		}
	}
}

// TestSiteFrozenReplicaGoesOnAfterItsRunMoved guards against a stream with events twice or out of order, because its replica, which stood
// still, goes on after the caller has resumed the stream elsewhere.
func TestSiteFrozenReplicaGoesOnAfterItsRunMoved(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	e := newFreezingEngines(s)
	first := streamRequest("/check/a")
	first.cancelAfter = 300 * time.Millisecond
	broken := s.send(s.vms[0], first)
	assert.Equal(t, eventsOf(broken.attempt, 1, 2), broken.body)
	assert.False(t, broken.complete)
	time.AfterFunc(time.Second, func() { close(e.thaw) })
	var callers sync.WaitGroup
	for n := range 8 {
		callers.Go(func() {
			r := streamRequest("/check/a")
			r.header["Last-Event-Id"], r.header["Resumes"], r.keepAlive = "2", broken.attempt, true
			a := s.send(s.vms[n%2], r)
			assertStreamFrom(t, a, 3)
		})
	}
	callers.Wait()
	<-e.thaw
	for _, a := range sendTogether(t, 2*requestsForEachEngine, func(n int) siteResponse { return s.send(s.vms[n%2], streamRequest("/check/a")) }) {
		assertStreamFrom(t, a, 1)
	}
}

// assertStreamFrom checks that an answer holds events of its own stream in order, from one number on and up to the last if it is complete.
func assertStreamFrom(t *testing.T, a siteResponse, first int) {
	t.Helper()
	want := ""
	for n := first; n <= 4; n++ {
		want += rawEvent(a.attempt, n)
	}
	if a.status != http.StatusOK {
		return
	}
	assert.True(t, strings.HasPrefix(want, a.body), "%q", a.body)
	assert.True(t, !a.complete || a.body == want, "complete with %q", a.body)
}

// TestSiteTwoVMsGoOnWithOneStream guards against two versions in a stream that its caller takes up at two VMs at once.
func TestSiteTwoVMsGoOnWithOneStream(t *testing.T) {
	t.Parallel()
	s := newVersionedSite(t, 3, "v1", "v2")
	for _, resumes := range []bool{true, false} {
		for _, broken := range s.breakStreams(t, s.vms[0], streamsToTakeUp) {
			answers := make([]siteResponse, 2)
			var callers sync.WaitGroup
			for n := range answers {
				callers.Go(func() {
					if resumes {
						answers[n] = s.takeUp(s.vms[1+n], broken)
						return
					}
					r := streamRequest("/check/a")
					r.header["Last-Event-Id"], r.attempt = "5", broken.attempt
					answers[n] = s.send(s.vms[1+n], r)
				})
			}
			callers.Wait()
			for _, a := range answers {
				if a.status == http.StatusOK && a.complete {
					s.assertTakenUp(t, broken, a)
				}
			}
			assert.Len(t, s.versionsOf(broken.attempt), 1, "with Resumes: %v", resumes)
		}
	}
}

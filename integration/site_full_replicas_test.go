package integration

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

// serveFew accepts a few connections at a time and resets those beyond. The replica reads a request and needs a while for its answer.
func serveFew(listener net.Listener, process standin.Process, limit int64, answer func(*http.Request) string) {
	var open atomic.Int64
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if open.Add(1) > limit {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
			open.Add(-1)
			continue
		}
		go func() {
			defer open.Add(-1)
			serveRaw(conn, process, answer)
		}()
	}
}

// TestSiteFullReplicasAnswersAreCut guards against an answer without framing that is whole and looks cut, because its replica, which lives
// on, is full and resets further connections.
func TestSiteFullReplicasAnswersAreCut(t *testing.T) {
	t.Parallel()
	const count, limit, events = 200, 3, 3
	for _, path := range []string{"/status/a", "/review/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 1)
			for n := range 2 {
				process, service := standin.NewProcess(fmt.Sprint("full-", n), ""), deskService
				if path == "/review/a" {
					process.Stage, service = "decode", engineService
				}
				listener := listen(t)
				go serveFew(listener, process, limit, func(r *http.Request) string {
					time.Sleep(5 * time.Millisecond)
					attempt := r.Header.Get(standin.HeaderAttempt)
					return unframedEvents(attempt, streamBody(attempt, events))
				})
				s.listReplica(process, service, listener.Addr().String())
			}
			s.removeReplicas("s-0", "s-1", "d-0", "d-1")
			served := 0
			for _, a := range sendTogether(t, count, func(int) siteResponse { return s.send(s.vms[0], streamRequest(path)) }) {
				if a.status == http.StatusOK {
					served++
					assert.True(t, a.complete, a.err)
					assert.Equal(t, streamBody(a.attempt, events), a.body)
				}
			}
			assert.Greater(t, served, count/2)
		})
	}
}

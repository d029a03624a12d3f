package integration

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// TestSiteOddStatusReachesACaller guards against a status that HTTP does not have, or that was not asked for, which reaches a caller, or
// ends its connection without an answer.
func TestSiteOddStatusReachesACaller(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.updateEntry("s-0", "state", "draining")
	s.updateEntry("s-1", "state", "draining")
	statuses := make(chan string, 1)
	s.startRawReplica("r-0", deskService, "", func() func(*http.Request) string {
		return func(r *http.Request) string {
			attempt := r.Header.Get(standin.HeaderAttempt)
			return strings.Replace(rawAnswer(attempt, "r-0", standin.ServiceAnswer(attempt)), "200 OK", <-statuses, 1)
		}
	})
	time.Sleep(maxSitePropagationDelay)
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		for _, r := range []siteRequest{{path: "/status/a"}, {method: http.MethodPost, path: "/release/a"}} {
			t.Run(status+" "+r.path, func(t *testing.T) {
				statuses <- status + " Odd"
				a := s.send(s.vms[0], r)
				require.NoError(t, a.err)
				assert.Equal(t, http.StatusBadGateway, a.status, a.body)
				assert.Empty(t, a.header.Get(standin.HeaderSignature), "our own answer")
			})
			time.Sleep(100 * time.Millisecond)
		}
	}
	assert.Empty(t, s.logLines(s.vms[0], "panic"))
}

// TestSiteEarlyAnswerCutDuringAnUploadLooksComplete guards against an answer without a length that is cut while a long upload is still being
// written, and reaches the caller as a complete one.
func TestSiteEarlyAnswerCutDuringAnUploadLooksComplete(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.configure(func(c *standin.Configuration) { c.Limits["maxBodyBytes"] = 16 << 20 })
	s.updateEntry("s-0", "state", "draining")
	s.updateEntry("s-1", "state", "draining")
	listener := listen(t)
	process := standin.NewProcess("r-0", "")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerEarlyAndCut(conn, process)
		}
	}()
	s.listReplica(process, deskService, listener.Addr().String())
	time.Sleep(maxSitePropagationDelay)
	for range 20 {
		a := s.send(s.vms[0], siteRequest{method: http.MethodPost, path: "/release/a", body: strings.Repeat("x", 8<<20)})
		assert.False(t, a.status == http.StatusOK && a.complete, "a part of the answer: %q", a.body)
		time.Sleep(50 * time.Millisecond)
	}
}

// answerEarlyAndCut answers as soon as the header of a request has arrived, and resets the connection.
func answerEarlyAndCut(conn net.Conn, process standin.Process) {
	reader := bufio.NewReader(conn)
	r, err := http.ReadRequest(reader)
	if err == nil {
		attempt := r.Header.Get(standin.HeaderAttempt)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+standin.HeaderAttempt+": "+attempt+"\r\n"+standin.HeaderSignature+": r-0\r\n\r\na part of the ")
		time.Sleep(5 * time.Millisecond)
	}
	_ = conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

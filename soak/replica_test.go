package soak

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/cassiabridge/cassiabridge/standin"
)

// ask sends a request to a replica and returns the head of the answer and the connection.
func ask(t *testing.T, s *replicaServer, method, path, body string, header http.Header) *http.Response {
	t.Helper()
	conn, replica := net.Pipe()
	t.Cleanup(func() { conn.Close() })
	go s.serveConn(replica, newRand(1, "test"))
	r, err := http.NewRequest(method, "http://replica"+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header = header
	require.NoError(t, r.Write(conn))
	resp, err := http.ReadResponse(bufio.NewReader(conn), r)
	require.NoError(t, err)
	return resp
}

func TestReplicaReportsItself(t *testing.T) {
	s := newReplicaServer(replicaConfig{ID: "replica-1-1", Stage: "decode", Born: 1234})
	run, end := s.startRun("c1-1-01")
	run.events.Store(7)
	s.latest = s.report()
	var report struct {
		Born   int64
		Stage  string
		Active int
		Models []struct{ Name string }
		Runs   [][]any
	}
	require.NoError(t, json.NewDecoder(ask(t, s, http.MethodGet, reportPath, "", http.Header{}).Body).Decode(&report))
	assert.Equal(t, int64(1234), report.Born)
	assert.Equal(t, "decode", report.Stage)
	assert.Equal(t, 1, report.Active)
	assert.Equal(t, modelName, report.Models[0].Name)
	assert.Equal(t, [][]any{{"c1-1-01", 57.0, 7.0, 5.0}}, report.Runs)
	end()
	assert.Contains(t, s.report(), `"runs":[]`)
}

func TestReplicaRefusesWhatNamesAnotherReplica(t *testing.T) {
	s := newReplicaServer(replicaConfig{ID: "replica-1-2", Stage: "decode"})
	for _, path := range []string{reportPath, standin.HealthPath, "/check/c1-1"} {
		resp := ask(t, s, http.MethodGet, path, "", http.Header{standin.HeaderReplica: {"replica-1-1"}})
		assert.Equal(t, http.StatusMisdirectedRequest, resp.StatusCode, path)
		assert.Equal(t, "replica-1-2", resp.Header.Get("Instance-Id"), path)
	}
	resp := ask(t, s, http.MethodGet, standin.HealthPath, "", http.Header{standin.HeaderReplica: {"replica-1-2"}})
	assert.Equal(t, "replica-1-2", resp.Header.Get("Instance-Id"))
}

func TestModelReplicaNamesItsWeights(t *testing.T) {
	for stage, want := range map[string]string{"decode": "1", "": ""} {
		s := newReplicaServer(replicaConfig{ID: "replica-1-1", Stage: stage, Prefixes: []string{"/check/"}})
		resp := ask(t, s, http.MethodPost, "/check/c1-1", prompt{Name: "c1-1", Events: 2}.String(), http.Header{})
		assert.Equal(t, want, resp.Header.Get("Weight-Versions"), stage)
	}
}

func TestAnswerOfAnotherServiceIsABreach(t *testing.T) {
	s := newReplicaServer(replicaConfig{ID: "replica-1-1", Prefixes: []string{"/desk/"}})
	resp := ask(t, s, http.MethodPost, "/check/c1-1", prompt{Name: "c1-1", Events: 2}.String(), http.Header{})
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	kind, _ := newChecker(prompt{Name: "c1-1", Events: 2}).add(body)
	assert.Equal(t, OtherRequest, kind)
	plain := &plainChecker{name: "c1-1", size: 100}
	plain.beginAnswer()
	kind, _ = plain.add(body)
	assert.Equal(t, Damaged, kind)
}

// TestUnframedAnswersBreakOffWithAReset guards against answers that break off and yet look whole.
func TestUnframedAnswersBreakOffWithAReset(t *testing.T) {
	for _, framing := range []string{closeField, "Transfer-Encoding: chunked\r\n"} {
		conn, accepted := connect(t)
		w := &breakingWriter{conn: accepted, remaining: 200, orderly: true}
		_, err := io.WriteString(w, "HTTP/1.1 200 OK\r\n"+framing+"\r\n")
		require.NoError(t, err)
		_, err = w.Write(make([]byte, 300))
		require.ErrorIs(t, err, errBroken)
		accepted.Close()
		_, err = io.ReadAll(conn)
		assert.Equal(t, framing == closeField, err != nil, framing)
	}
}

// connect returns both ends of a connection.
func connect(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close(); accepted.Close() })
	return conn, accepted
}

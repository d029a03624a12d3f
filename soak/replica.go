package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// replicaArgument is the first argument of a process that serves as a replica. The second is its replicaConfig as JSON.
	replicaArgument = "replica"
	// listenTimeout is how long a replica tries to listen at the address of the one before it.
	listenTimeout = 3 * time.Second
	// copyShare is one in how many answers comes twice where that happens.
	copyShare  = 6
	healthPath = "/health"
	handlePath = "/api/kv-handle/"
)

// replicaConfig configures the process of a replica.
type replicaConfig struct {
	ID, Stage, Version, Address string
	Seed                        uint64
	// Odd holds how some answers disregard the protocol.
	Odd []oddity
	// Copies has some answers come twice. Unframed has some end with their connection.
	Copies, Unframed bool
}

// ServeReplica serves as a replica and does not return if the arguments of the process ask for it. Each program that calls Run calls it
// first.
func ServeReplica() {
	if len(os.Args) != 3 || os.Args[1] != replicaArgument {
		return
	}
	var cfg replicaConfig
	err := json.Unmarshal([]byte(os.Args[2]), &cfg)
	if err == nil {
		err = cfg.serve()
	}
	fmt.Fprintln(os.Stderr, "replica:", err)
	os.Exit(1)
}

func (c replicaConfig) serve() error {
	listener, err := net.Listen("tcp", c.Address)
	for deadline := time.Now().Add(listenTimeout); err != nil && time.Now().Before(deadline); listener, err = net.Listen("tcp", c.Address) {
		time.Sleep(time.Millisecond)
	}
	if err != nil {
		return err
	}
	for n := 0; ; n++ {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go c.serveConn(conn, newRand(c.Seed, fmt.Sprint(c.ID, c.Version, n)))
	}
}

// serveConn answers the requests on a connection, one after the other.
func (c replicaConfig) serveConn(conn net.Conn, rng *rand.Rand) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var last bytes.Buffer
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !c.copyAnswer(conn, last.Bytes(), rng) {
			return
		}
		last.Reset()
		if !c.answer(io.MultiWriter(conn, &last), r, string(body), rng) || !c.copyAnswer(conn, last.Bytes(), rng) {
			return
		}
	}
}

// copyAnswer sends an answer again, if it is to come twice, and reports whether the connection can be used again.
func (c replicaConfig) copyAnswer(conn net.Conn, answer []byte, rng *rand.Rand) bool {
	if !c.Copies || rng.IntN(copyShare) > 0 {
		return true
	}
	_, err := conn.Write(answer)
	return err == nil
}

// answer answers a request and reports whether the connection can be used again.
func (c replicaConfig) answer(w io.Writer, r *http.Request, body string, rng *rand.Rand) bool {
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s", status, http.StatusText(status), standin.HeaderAttempt, r.Header.Get(standin.HeaderAttempt), fields)
	}
	send := func(status int, fields, body string) bool {
		_, err := io.WriteString(w, head(status, fields)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
		return err == nil
	}
	if target := r.Header.Get(standin.HeaderReplica); target != "" && target != c.ID {
		return send(http.StatusMisdirectedRequest, "", "")
	}
	if r.URL.Path == healthPath || strings.HasPrefix(r.URL.Path, handlePath) {
		return send(http.StatusOK, "Instance-Id: "+c.ID+"\r\n", "")
	}
	prefill := r.Header.Get(standin.HeaderStage) == "prefill"
	if c.Stage != "" && prefill != (c.Stage == "prefill") {
		return send(http.StatusMisdirectedRequest, "", "")
	}
	wanted, err := parsePrompt(body)
	if err != nil {
		return send(http.StatusBadRequest, "Not-Executed: 1\r\n", err.Error())
	}
	if prefill {
		handle := fmt.Sprintf(`{"kvHandle":"%s","tokens":50,"version":1}`, wanted.Name)
		return send(http.StatusOK, "Content-Type: application/json\r\n", handle)
	}
	if source := r.Header.Get("Kv-Source"); source != "" {
		_, wanted.Name, _ = strings.Cut(source, "/")
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	answer := newStreamAnswer(c, wanted, last, rng)
	fields := standin.HeaderSignature + ": by " + c.ID + "\r\nContent-Type: text/event-stream\r\n" + answer.framingFields()
	if _, err := io.WriteString(w, head(http.StatusOK, fields)+"\r\n"); err != nil {
		return false
	}
	return answer.write(w) == nil && answer.framing != untilClose
}

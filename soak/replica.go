package soak

import (
	"bufio"
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
	healthPath    = "/health"
	handlePath    = "/api/kv-handle/"
)

// replicaConfig configures the process of a replica.
type replicaConfig struct {
	ID, Stage, Version, Address string
	Seed                        uint64
	// Odd holds how some answers disregard the protocol.
	Odd []oddity
	// Unframed has some answers end with their connection.
	Unframed bool
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
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !c.answer(conn, r, string(body), rng) {
			return
		}
	}
}

// answer answers a request and reports whether the connection can be used again.
func (c replicaConfig) answer(conn net.Conn, r *http.Request, body string, rng *rand.Rand) bool {
	head := func(status int, fields string) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%s", status, http.StatusText(status), standin.HeaderAttempt, r.Header.Get(standin.HeaderAttempt), fields)
	}
	send := func(status int, fields, body string) bool {
		_, err := io.WriteString(conn, head(status, fields)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
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
	if _, err := io.WriteString(conn, head(http.StatusOK, fields)+"\r\n"); err != nil {
		return false
	}
	return answer.write(conn) == nil && answer.framing != untilClose
}

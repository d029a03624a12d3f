package standin

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Behavior selects how an Oracle handles one request.
type Behavior int

// Behaviors of an Oracle.
const (
	// Answer runs the request and answers with a Content-Length.
	Answer Behavior = iota
	// AnswerChunked answers in chunked encoding.
	AnswerChunked
	// AnswerUnframed answers without a length and ends the body by closing the connection.
	AnswerUnframed
	// AnswerAfterInterim sends a 103 response before the final one.
	AnswerAfterInterim
	// AnswerEarly answers before it reads the body, then reads the body and runs the request.
	AnswerEarly
	// AnswerAfterUnrelated sends the answer of another attempt first.
	AnswerAfterUnrelated
	// AnswerTwice sends the answer twice.
	AnswerTwice
	// AnswerThenGarbage sends a malformed status line after the answer.
	AnswerThenGarbage
	// Refuse answers that the request was not run.
	Refuse
	// Fail runs the request and answers 500.
	Fail
	// FailUnmarked runs the request and answers 503, the status of a refusal, without the header
	// that marks it as not run.
	FailUnmarked
	// CloseBeforeRead closes the connection before it reads the body.
	CloseBeforeRead
	// CloseBeforeRun reads the body and closes the connection before it runs the request.
	CloseBeforeRun
	// LoseAnswer runs the request and closes the connection without an answer.
	LoseAnswer
	// Truncate runs the request and closes the connection in the middle of the answer.
	Truncate
	// SendGarbage runs the request and sends bytes that are not an HTTP response.
	SendGarbage
	// NeverAnswer neither runs nor answers the request.
	NeverAnswer
	// RunLate runs and answers the request after a delay that is longer than its sender waits.
	RunLate
	behaviorCount
)

const (
	// silenceDuration is how long NeverAnswer keeps the connection open.
	silenceDuration = 2 * time.Second
	// lateRunDelay is how long RunLate waits before it runs the request.
	lateRunDelay = 700 * time.Millisecond
)

// Oracle is a test double of an upstream that violates HTTP at the byte level. It records every
// request that it ran, so that a test can check the router's results against the record.
type Oracle struct {
	seed uint64

	mu        sync.Mutex
	process   Process
	runs      []Run
	exchanges map[string]int
	conns     map[net.Conn]bool
}

// NewOracle returns an upstream with replica ID id. Its behavior is determined by the seed, the
// attempt ID and the number of earlier requests for that attempt.
func NewOracle(id string, seed uint64) *Oracle {
	return &Oracle{process: NewProcess(id, ""), seed: seed, exchanges: map[string]int{}, conns: map[net.Conn]bool{}}
}

// Listen serves connections on a free loopback port. It returns the address and a function that
// closes the listener and all connections.
func (o *Oracle) Listen() (addr string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go o.serve(conn)
		}
	}()
	return listener.Addr().String(), func() {
		listener.Close()
		o.mu.Lock()
		defer o.mu.Unlock()
		for conn := range o.conns {
			conn.Close()
		}
	}, nil
}

// SetReplicaID changes the replica ID, as if another replica had taken over the address.
func (o *Oracle) SetReplicaID(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.process = NewProcess(id, "")
}

// Process returns what the upstream says of itself.
func (o *Oracle) Process() Process {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.process
}

func (o *Oracle) replicaID() string { return o.Process().ID }

// Runs returns a copy of the record of requests that were run.
func (o *Oracle) Runs() []Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Run(nil), o.runs...)
}

// nextBehavior returns the behavior for the next request of an attempt. Half of the draws are
// Answer, and the rest are uniform over all behaviors.
func (o *Oracle) nextBehavior(attempt string) Behavior {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.exchanges[attempt]++
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s %d", attempt, o.exchanges[attempt])
	random := rand.New(rand.NewPCG(o.seed, hash.Sum64()))
	if random.IntN(2) == 0 {
		return Answer
	}
	return Behavior(random.IntN(int(behaviorCount)))
}

func (o *Oracle) serve(conn net.Conn) {
	o.mu.Lock()
	o.conns[conn] = true
	o.mu.Unlock()
	defer func() {
		conn.Close()
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.conns, conn)
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil || !o.handle(conn, r) {
			return
		}
	}
}

// handle serves one request with its drawn behavior, and reports whether the connection stays open.
func (o *Oracle) handle(conn net.Conn, r *http.Request) bool {
	if answer := o.Process().RawAnswer(r); answer != "" {
		return writeText(conn, answer)
	}
	attempt := r.Header.Get(HeaderAttempt)
	behavior := o.nextBehavior(attempt)
	answerBody := ServiceAnswer(attempt)
	if behavior == CloseBeforeRead {
		return false
	}
	if behavior == AnswerEarly && r.Header.Get(HeaderReplica) == o.replicaID() {
		if !o.writeAnswer(conn, attempt, http.StatusOK, answerBody) {
			return false
		}
		return o.readAndRecord(r) == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	id := o.replicaID()
	if target := r.Header.Get(HeaderReplica); target != id {
		return o.refuse(conn, attempt, http.StatusMisdirectedRequest)
	}
	switch behavior {
	case Refuse:
		return o.refuse(conn, attempt, http.StatusServiceUnavailable)
	case CloseBeforeRun:
		return false
	case NeverAnswer:
		time.Sleep(silenceDuration)
		return false
	case RunLate:
		time.Sleep(lateRunDelay)
	}
	o.recordRun(r, string(body))
	switch behavior {
	case AnswerChunked:
		return writeText(conn, answerHead(id, attempt, http.StatusOK)+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(answerBody), answerBody))
	case AnswerUnframed:
		writeText(conn, answerHead(id, attempt, http.StatusOK)+"Connection: close\r\n\r\n"+answerBody)
		return false
	case AnswerAfterInterim:
		return writeText(conn, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n") && o.writeAnswer(conn, attempt, http.StatusOK, answerBody)
	case AnswerAfterUnrelated:
		return o.writeAnswer(conn, "another", http.StatusOK, ServiceAnswer("another")) && o.writeAnswer(conn, attempt, http.StatusOK, answerBody)
	case AnswerTwice:
		o.writeAnswer(conn, attempt, http.StatusOK, answerBody)
		return o.writeAnswer(conn, attempt, http.StatusOK, answerBody)
	case AnswerThenGarbage:
		return o.writeAnswer(conn, attempt, http.StatusOK, answerBody) && writeText(conn, "HTTP/1.1 200 \x00\x01")
	case Fail:
		return o.writeAnswer(conn, attempt, http.StatusInternalServerError, answerBody)
	case FailUnmarked:
		return o.writeAnswer(conn, attempt, http.StatusServiceUnavailable, answerBody)
	case LoseAnswer:
		return false
	case Truncate:
		writeText(conn, answerHead(id, attempt, http.StatusOK)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answerBody), answerBody[:len(answerBody)/2]))
		return false
	case SendGarbage:
		writeText(conn, "\x00\xff garbage\r\n\r\n"+answerBody)
		return false
	}
	return o.writeAnswer(conn, attempt, http.StatusOK, answerBody)
}

// readAndRecord reads the body of a request and records the request as run.
func (o *Oracle) readAndRecord(r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	o.recordRun(r, string(body))
	return err
}

func (o *Oracle) recordRun(r *http.Request, body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, Run{Attempt: r.Header.Get(HeaderAttempt), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body, EndedAt: time.Now(), Completed: true})
}

func (o *Oracle) refuse(conn net.Conn, attempt string, status int) bool {
	return writeText(conn, fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, HeaderAttempt, attempt, headerNotRun))
}

func (o *Oracle) writeAnswer(conn net.Conn, attempt string, status int, body string) bool {
	return writeText(conn, answerHead(o.replicaID(), attempt, status)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// answerHead returns the status line and the headers common to answers to requests that were run.
func answerHead(id, attempt string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: by %s\r\n", status, HeaderAttempt, attempt, HeaderSignature, id)
}

func writeText(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

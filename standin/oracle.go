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

// Conduct is what an Oracle does with one request.
type Conduct int

// Kinds of conduct.
const (
	// Answer runs the request and answers it, with a length, in chunks, without either, or after an interim answer.
	Answer Conduct = iota
	AnswerInChunks
	AnswerUnframed
	AnswerAfterInterim
	// AnswerEarly answers before it reads the body, and reads on.
	AnswerEarly
	// AnswerAfterStray answers another request first, and AnswerTwice answers again afterwards.
	AnswerAfterStray
	AnswerTwice
	// AnswerThenGarbage sends bytes that belong to no answer after its own.
	AnswerThenGarbage
	// Refuse says that the request was not run.
	Refuse
	// Fail runs the request and answers with a failure, FailUnmarked with one that looks like a refusal.
	Fail
	FailUnmarked
	// ResetUnread closes the connection before the request is read, and ResetUnrun before it is run.
	ResetUnread
	ResetUnrun
	// LoseAnswer runs the request and closes the connection, Truncate in the middle of the answer.
	LoseAnswer
	Truncate
	// Garble runs the request and sends bytes that are no answer.
	Garble
	// StaySilent runs nothing and does not answer. RunLate runs the request after its sender has given up.
	StaySilent
	RunLate
	conducts
)

const (
	// oracleSilence is how long a silent oracle keeps a connection, and oracleLateness when it runs a request late.
	oracleSilence  = 2 * time.Second
	oracleLateness = 700 * time.Millisecond
)

// Oracle takes the place of an upstream that misbehaves on the level of bytes, and remembers all that it ran.
type Oracle struct {
	seed uint64

	mu    sync.Mutex
	id    string
	runs  []Run
	tries map[string]int
	conns map[net.Conn]bool
}

// NewOracle returns an upstream whose conduct follows from a seed and from what it is sent.
func NewOracle(id string, seed uint64) *Oracle {
	return &Oracle{id: id, seed: seed, tries: map[string]int{}, conns: map[net.Conn]bool{}}
}

// Listen serves connections at an address of the loopback until the returned function is called.
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

// Become makes another replica answer at the address.
func (o *Oracle) Become(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.id = id
}

func (o *Oracle) name() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.id
}

// Runs returns copies of the requests that were run.
func (o *Oracle) Runs() []Run {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]Run(nil), o.runs...)
}

// conduct draws what is done with the next exchange for an attempt.
func (o *Oracle) conduct(attempt string) Conduct {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tries[attempt]++
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s %d", attempt, o.tries[attempt])
	random := rand.New(rand.NewPCG(o.seed, hash.Sum64()))
	if random.IntN(2) == 0 {
		return Answer
	}
	return Conduct(random.IntN(int(conducts)))
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
		if err != nil || !o.answer(conn, r) {
			return
		}
	}
}

// answer does with one request what was drawn for it, and reports whether the connection is kept.
func (o *Oracle) answer(conn net.Conn, r *http.Request) bool {
	attempt := r.Header.Get(HeaderAttempt)
	conduct := o.conduct(attempt)
	own := ServiceAnswer(attempt)
	if conduct == ResetUnread {
		return false
	}
	if conduct == AnswerEarly && r.Header.Get(HeaderReplica) == o.name() {
		if !o.write(conn, attempt, http.StatusOK, own) {
			return false
		}
		return o.run(r) == nil
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	id := o.name()
	if target := r.Header.Get(HeaderReplica); target != id {
		return o.refuse(conn, attempt, http.StatusMisdirectedRequest)
	}
	switch conduct {
	case Refuse:
		return o.refuse(conn, attempt, http.StatusServiceUnavailable)
	case ResetUnrun:
		return false
	case StaySilent:
		time.Sleep(oracleSilence)
		return false
	case RunLate:
		time.Sleep(oracleLateness)
	}
	o.note(r, string(body))
	switch conduct {
	case AnswerInChunks:
		return write(conn, head(id, attempt, http.StatusOK)+fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(own), own))
	case AnswerUnframed:
		write(conn, head(id, attempt, http.StatusOK)+"Connection: close\r\n\r\n"+own)
		return false
	case AnswerAfterInterim:
		return write(conn, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n") && o.write(conn, attempt, http.StatusOK, own)
	case AnswerAfterStray:
		return o.write(conn, "another", http.StatusOK, ServiceAnswer("another")) && o.write(conn, attempt, http.StatusOK, own)
	case AnswerTwice:
		o.write(conn, attempt, http.StatusOK, own)
		return o.write(conn, attempt, http.StatusOK, own)
	case AnswerThenGarbage:
		return o.write(conn, attempt, http.StatusOK, own) && write(conn, "HTTP/1.1 200 \x00\x01")
	case Fail:
		return o.write(conn, attempt, http.StatusInternalServerError, own)
	case FailUnmarked:
		return o.write(conn, attempt, http.StatusServiceUnavailable, own)
	case LoseAnswer:
		return false
	case Truncate:
		write(conn, head(id, attempt, http.StatusOK)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(own), own[:len(own)/2]))
		return false
	case Garble:
		write(conn, "\x00\xff garbage\r\n\r\n"+own)
		return false
	}
	return o.write(conn, attempt, http.StatusOK, own)
}

// run reads the body of a request and notes its run.
func (o *Oracle) run(r *http.Request) error {
	body, err := io.ReadAll(r.Body)
	o.note(r, string(body))
	return err
}

func (o *Oracle) note(r *http.Request, body string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs = append(o.runs, Run{Attempt: r.Header.Get(HeaderAttempt), Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: body, Ended: time.Now(), Whole: true})
}

func (o *Oracle) refuse(conn net.Conn, attempt string, status int) bool {
	return write(conn, fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", status, HeaderAttempt, attempt, headerNotRun))
}

func (o *Oracle) write(conn net.Conn, attempt string, status int, body string) bool {
	return write(conn, head(o.name(), attempt, status)+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body))
}

// head is the status line and the usual headers of an answer.
func head(id, attempt string, status int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\n%s: by %s\r\n", status, HeaderAttempt, attempt, HeaderReceipt, id)
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

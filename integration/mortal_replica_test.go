package integration

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/standin"
)

const (
	// supervisorDelay is how long after a process has ended its supervisor starts the next one.
	supervisorDelay = time.Millisecond
	// entryDelay is how long after its start a process is named by the list of replicas.
	entryDelay = 300 * time.Millisecond
	// killDelay is how long after the start of its answer a process is killed.
	killDelay = 20 * time.Millisecond
)

// mortalReplica is a replica whose process is killed in the middle of each answer: its connections end in an orderly way. What comes next
// at its address is up to restart.
type mortalReplica struct {
	t             testing.TB
	service, addr string
	// list sets the entry of an ID in the list of replicas, or removes it if the entry is nil.
	list func(id string, entry any)
	// answer returns the start of an answer, without framing. A process that answers "" to a request refuses it.
	answer func(process standin.Process, r *http.Request) string
	// answersEarly has it answer before it has read the body of a request.
	answersEarly bool
	// beforeEnd is called before a process ends, after killDelay. It may be nil.
	beforeEnd func()
	// restart is called once a process has ended.
	restart func(*mortalReplica)

	mu       sync.Mutex
	process  standin.Process
	listener net.Listener
	conns    []net.Conn
	// ended is whether the test has ended, after which no process starts.
	ended bool
}

// startMortal starts the first process of a replica and lists it.
func (s *site) startMortal(m *mortalReplica, id, stage string) *mortalReplica {
	m.list = s.store.PutReplica
	m.startFirst(s.t, id, stage)
	return m
}

// startFirst starts the first process and lists it.
func (m *mortalReplica) startFirst(t testing.TB, id, stage string) {
	listener := listen(t)
	m.t, m.addr = t, listener.Addr().String()
	process := m.start(listener, id, stage)
	t.Cleanup(m.close)
	m.list(id, process.Entry(m.service, m.addr))
}

// start starts a process on a listener.
func (m *mortalReplica) start(listener net.Listener, id, stage string) standin.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	process := standin.NewProcess(id, stage)
	m.process, m.listener = process, listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if !m.keep(listener, conn) {
				conn.Close()
				continue
			}
			go m.serve(listener, conn, process)
		}
	}()
	return process
}

// keep records a connection of a process, and reports whether the process is alive.
func (m *mortalReplica) keep(listener net.Listener, conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns = append(m.conns, conn)
	return m.listener == listener
}

// kill ends the process as the kernel does: its port and its connections are closed.
func (m *mortalReplica) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener == nil {
		return
	}
	m.listener.Close()
	for _, conn := range m.conns {
		conn.Close()
	}
	m.listener, m.conns = nil, nil
}

// close ends the process for good.
func (m *mortalReplica) close() {
	m.mu.Lock()
	m.ended = true
	m.mu.Unlock()
	m.kill()
}

// end kills the process in the middle of its answer, and has the next one start.
func (m *mortalReplica) end() {
	time.Sleep(killDelay)
	if m.beforeEnd != nil {
		m.beforeEnd()
	}
	m.kill()
	m.restart(m)
}

// write writes an answer of the process that listens, unless that has been killed: the kernel closes the connections of a process one after the
// other, but no thread of it runs any more.
func (m *mortalReplica) write(listener net.Listener, conn net.Conn, answer string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener != listener {
		return net.ErrClosed
	}
	_, err := io.WriteString(conn, answer)
	return err
}

// serve answers requests on a connection of a process. The first one that is answered ends the process.
func (m *mortalReplica) serve(listener net.Listener, conn net.Conn, process standin.Process) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !m.answersEarly {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		own, answer := process.RawAnswer(r), ""
		if own == "" {
			answer = m.answer(process, r)
		}
		if own == "" && answer == "" {
			own = "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderAttempt + ": " + r.Header.Get(standin.HeaderAttempt) + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		if m.write(listener, conn, own+answer) != nil {
			return
		}
		if answer != "" {
			go readSlowly(r.Body)
			m.end()
			return
		}
	}
}

// readSlowly reads a long body in more time than killDelay.
func readSlowly(body io.Reader) {
	for {
		if _, err := io.CopyN(io.Discard, body, 64<<10); err != nil {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// listenAgain listens at the address of a replica whose process has ended. It returns nil if the test has ended.
func (m *mortalReplica) listenAgain() net.Listener {
	time.Sleep(supervisorDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return nil
	}
	listener, err := net.Listen("tcp", m.addr)
	assert.NoError(m.t, err)
	return listener
}

// restartAs starts the next process under the ID of the one before and a suffix. The list names it later.
func (m *mortalReplica) restartAs(suffix string) {
	m.mu.Lock()
	before := m.process
	m.mu.Unlock()
	listener := m.listenAgain()
	if listener == nil {
		return
	}
	process := m.start(listener, before.ID+suffix, before.Stage)
	time.Sleep(entryDelay)
	m.list(process.ID, process.Entry(m.service, m.addr))
	if suffix != "" {
		m.list(before.ID, nil)
	}
}

// restartUnderSameID has a supervisor start the next process under the ID of the one before.
func (m *mortalReplica) restartUnderSameID() { m.restartAs("") }

// restartUnderNewID has a supervisor start the next process under an ID of its own.
func (m *mortalReplica) restartUnderNewID() { m.restartAs("-next") }

// leaveProxy has the proxy before the replica go on: it accepts connections and resets them.
func (m *mortalReplica) leaveProxy() {
	listener := m.listenAgain()
	if listener == nil {
		return
	}
	m.mu.Lock()
	m.listener = listener
	m.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
}

// unframedStart returns the start of an answer that only the end of its connection ends.
func unframedStart(process standin.Process, r *http.Request, contentType, body string) string {
	return "HTTP/1.1 200 OK\r\n" + standin.HeaderAttempt + ": " + r.Header.Get(standin.HeaderAttempt) + "\r\n" +
		standin.HeaderSignature + ": by " + process.ID + "\r\nContent-Type: " + contentType + "\r\n\r\n" + body
}

// startOfAnswer returns the answers of a replica that answers one request with the start of a stream, or of a plain answer if there are no
// events, and refuses all others.
func startOfAnswer(events ...int) func(standin.Process, *http.Request) string {
	var answered atomic.Bool
	return func(process standin.Process, r *http.Request) string {
		switch {
		case answered.Swap(true):
			return ""
		case len(events) == 0:
			return unframedStart(process, r, "text/plain", "the first half")
		}
		return unframedStart(process, r, "text/event-stream", eventsOf(r.Header.Get(standin.HeaderAttempt), events...))
	}
}

// removeReplicas removes the entries of replicas and waits until VMs have noticed.
func (s *site) removeReplicas(ids ...string) {
	for _, id := range ids {
		s.store.PutReplica(id, nil)
	}
	time.Sleep(maxSitePropagationDelay)
}

// sendTogether sends count requests, a few at a time, and returns the answers.
func sendTogether(t testing.TB, count int, send func(n int) siteResponse) []siteResponse {
	t.Helper()
	const callers = 8
	answers := make([]siteResponse, count)
	var group sync.WaitGroup
	for part := range slices.Chunk(answers, (count+callers-1)/callers) {
		group.Go(func() {
			for n := range part {
				part[n] = send(n)
			}
		})
	}
	group.Wait()
	return answers
}

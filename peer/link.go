package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/roster"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxQueuedNotices bounds the notices that wait for one peer; more are dropped, and the next
	// whole JobUpdate makes up for them.
	maxQueuedNotices = 4096
)

// Link sends messages to one peer. It connects when it is first used and again after a failure.
type Link struct {
	self   Identity
	secret string
	vm     string
	addr   string

	notices chan notice
	done    chan struct{}

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// remote is the run of the peer's process that the connection leads to.
	remote Identity
}

type notice struct {
	method string
	params any
}

// NewLink returns a link to the VM at an address, and a function that closes it.
func NewLink(self Identity, secret, vm, addr string) (*Link, func()) {
	l := &Link{self: self, secret: secret, vm: vm, addr: addr, notices: make(chan notice, maxQueuedNotices), done: make(chan struct{})}
	go l.sendNotices()
	return l, l.close
}

func (l *Link) close() {
	close(l.done)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
}

// connect returns the open connection, or opens one. Only the holder of mu may dial, so that a peer
// sees one connection.
func (l *Link) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		select {
		case <-l.conn.DisconnectNotify():
		default:
			return l.conn, nil
		}
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, &Error{Op: "dial " + l.vm, Kind: kindOfDial(err), Err: err}
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw), noHandler{}, quiet())
	remote, err := l.greet(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	l.conn, l.remote = conn, remote
	return conn, nil
}

func kindOfDial(err error) ErrorKind {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return ErrUnreachable
}

// greet proves both sides to each other and returns who answers.
func (l *Link) greet(ctx context.Context, conn *jsonrpc2.Conn) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var challenge challengeAnswer
	if err := conn.Call(ctx, methodChallenge, struct{}{}, &challenge); err != nil {
		return Identity{}, &Error{Op: "greet " + l.vm, Kind: ErrUnreachable, Err: err}
	}
	nonce := newNonce()
	hello := helloMessage{VM: l.self.VM, Incarnation: l.self.Incarnation, Nonce: nonce,
		Proof: proof(l.secret, "client", l.self, nonce, challenge.Nonce)}
	var answer helloAnswer
	if err := conn.Call(ctx, methodHello, hello, &answer); err != nil {
		return Identity{}, &Error{Op: "greet " + l.vm, Kind: ErrUnproven, Err: err}
	}
	server := Identity{VM: answer.VM, Incarnation: answer.Incarnation}
	if answer.VM != l.vm || !proofEqual(answer.Proof, proof(l.secret, "server", server, nonce, challenge.Nonce)) {
		return Identity{}, &Error{Op: "greet " + l.vm, Kind: ErrUnproven, Err: fmt.Errorf("answered by %q", answer.VM)}
	}
	return server, nil
}

// noHandler refuses messages on connections that this side opened.
type noHandler struct{}

// Handle implements jsonrpc2.Handler.
func (noHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	incoming{ctx: ctx, conn: conn, req: req}.fail(jsonrpc2.CodeMethodNotFound, "the connection is one way")
}

func (l *Link) call(ctx context.Context, method string, params, result any) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var remote *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return &Error{Op: method + " " + l.vm, Kind: ErrFailed, Err: err}
	default:
		return &Error{Op: method + " " + l.vm, Kind: ErrUnreachable, Err: err}
	}
}

func (l *Link) notify(method string, params any) {
	select {
	case l.notices <- notice{method: method, params: params}:
	default:
	}
}

// sendNotices sends notices in order. A notice that cannot be sent is dropped.
func (l *Link) sendNotices() {
	for {
		select {
		case <-l.done:
			return
		case n := <-l.notices:
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			if conn, err := l.connect(ctx); err == nil {
				_ = conn.Notify(ctx, n.method, n.params)
			}
			cancel()
		}
	}
}

// Heartbeat tells the peer of this VM and returns what the peer says of itself.
func (l *Link) Heartbeat(ctx context.Context, own roster.Heartbeat) (roster.Heartbeat, error) {
	var answer heartbeatMessage
	if err := l.call(ctx, methodHeartbeat, encodeHeartbeat(own), &answer); err != nil {
		return roster.Heartbeat{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return answer.decode(l.remote), nil
}

// State returns the peer's agreed state in encoded form.
func (l *Link) State(ctx context.Context) ([]byte, error) {
	var answer stateAnswer
	err := l.call(ctx, methodState, struct{}{}, &answer)
	return answer.Data, err
}

// Borrow asks for a loan and returns its amount.
func (l *Link) Borrow(ctx context.Context, r BorrowRequest) (float64, error) {
	var answer borrowAnswer
	err := l.call(ctx, methodBorrow, borrowMessage{ID: r.ID, Account: r.Account, Want: r.Want, TermMillis: r.Term.Milliseconds()}, &answer)
	return answer.Amount, err
}

// Withdraw tells the peer that keys are withdrawn.
func (l *Link) Withdraw(ctx context.Context, withdrawn []roster.Withdrawal) error {
	return l.call(ctx, methodWithdraw, withdrawMessage{Withdrawn: withdrawn}, &struct{}{})
}

// Settle ends loans. It may be lost; the lender then ends the loan when its term is over.
func (l *Link) Settle(s []Settlement) { l.notify(methodSettle, settleMessage{Settlements: s}) }

// Jobs tells the peer's dispatcher about requests. It may be lost.
func (l *Link) Jobs(now time.Time, u JobUpdate) { l.notify(methodJobs, encodeJobs(now, u)) }

// Decide tells the peer about decisions on its requests. It may be lost.
func (l *Link) Decide(lane string, decisions []dispatch.Decision) {
	l.notify(methodDecide, decideMessage{Lane: lane, Decisions: decisions})
}

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
	// maxQueuedNotifications limits the queue of notifications to one peer. Further notifications are dropped, and
	// the next full JobUpdate makes up for them.
	maxQueuedNotifications = 4096
)

// Link is a client connection to one peer. It connects on first use and reconnects after a failure.
type Link struct {
	self   Identity
	secret string
	vm     string
	addr   string

	notifications chan notification
	done          chan struct{}

	mu   sync.Mutex
	conn *jsonrpc2.Conn
	// remote is the identity of the peer that conn is connected to.
	remote Identity
}

type notification struct {
	method string
	params any
}

// NewLink returns a link to the VM named vm at addr, and a function that closes it.
func NewLink(self Identity, secret, vm, addr string) (*Link, func()) {
	l := &Link{self: self, secret: secret, vm: vm, addr: addr, notifications: make(chan notification, maxQueuedNotifications), done: make(chan struct{})}
	go l.sendNotifications()
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

// connect returns the open connection, or opens one. It dials while holding mu, so that there is at most one
// connection to the peer.
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
		return nil, &Error{Op: "dial " + l.vm, Kind: dialErrorKind(err), Err: err}
	}
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw), rejectHandler{}, discardLogs())
	remote, err := l.authenticate(ctx, conn)
	if err != nil {
		conn.Close()
		return nil, err
	}
	l.conn, l.remote = conn, remote
	return conn, nil
}

func dialErrorKind(err error) ErrorKind {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrRefused
	}
	return ErrUnreachable
}

// authenticate performs mutual authentication on a new connection and returns the identity of the peer.
func (l *Link) authenticate(ctx context.Context, conn *jsonrpc2.Conn) (Identity, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var challenge challengeAnswer
	if err := conn.Call(ctx, methodChallenge, struct{}{}, &challenge); err != nil {
		return Identity{}, &Error{Op: "authenticate " + l.vm, Kind: ErrUnreachable, Err: err}
	}
	nonce := newNonce()
	hello := helloMessage{VM: l.self.VM, Incarnation: l.self.Incarnation, Nonce: nonce,
		Proof: proof(l.secret, "client", l.self, nonce, challenge.Nonce)}
	var answer helloAnswer
	if err := conn.Call(ctx, methodHello, hello, &answer); err != nil {
		return Identity{}, &Error{Op: "authenticate " + l.vm, Kind: ErrUnauthenticated, Err: err}
	}
	server := Identity{VM: answer.VM, Incarnation: answer.Incarnation}
	if answer.VM != l.vm || !equalProofs(answer.Proof, proof(l.secret, "server", server, nonce, challenge.Nonce)) {
		return Identity{}, &Error{Op: "authenticate " + l.vm, Kind: ErrUnauthenticated, Err: fmt.Errorf("wrong identity or proof from %q", answer.VM)}
	}
	return server, nil
}

// rejectHandler rejects messages from the peer on connections that this side opened.
type rejectHandler struct{}

// Handle implements jsonrpc2.Handler.
func (rejectHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	incomingMessage{ctx: ctx, conn: conn, req: req}.replyError(jsonrpc2.CodeMethodNotFound, "the connection is one way")
}

func (l *Link) call(ctx context.Context, method string, params, result any) error {
	conn, err := l.connect(ctx)
	if err != nil {
		return err
	}
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr):
		return &Error{Op: method + " " + l.vm, Kind: ErrFailed, Err: err}
	default:
		return &Error{Op: method + " " + l.vm, Kind: ErrUnreachable, Err: err}
	}
}

func (l *Link) notify(method string, params any) {
	select {
	case l.notifications <- notification{method: method, params: params}:
	default:
	}
}

// sendNotifications sends the queued notifications in order and drops those that cannot be sent.
func (l *Link) sendNotifications() {
	for {
		select {
		case <-l.done:
			return
		case n := <-l.notifications:
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			if conn, err := l.connect(ctx); err == nil {
				_ = conn.Notify(ctx, n.method, n.params)
			}
			cancel()
		}
	}
}

// Heartbeat sends this VM's heartbeat and returns the peer's.
func (l *Link) Heartbeat(ctx context.Context, own roster.Heartbeat) (roster.Heartbeat, error) {
	var answer heartbeatMessage
	if err := l.call(ctx, methodHeartbeat, encodeHeartbeat(own), &answer); err != nil {
		return roster.Heartbeat{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return answer.decode(l.remote), nil
}

// State returns the peer's replicated state in encoded form.
func (l *Link) State(ctx context.Context) ([]byte, error) {
	var answer stateAnswer
	err := l.call(ctx, methodState, struct{}{}, &answer)
	return answer.Data, err
}

// Borrow requests a loan and returns the amount granted, in tokens.
func (l *Link) Borrow(ctx context.Context, r BorrowRequest) (float64, error) {
	var answer borrowAnswer
	err := l.call(ctx, methodBorrow, borrowMessage{ID: r.ID, Account: r.Account, Want: r.Amount, TermMillis: r.Term.Milliseconds()}, &answer)
	return answer.Amount, err
}

// Withdraw notifies the peer of withdrawn keys and waits for its confirmation.
func (l *Link) Withdraw(ctx context.Context, withdrawn []roster.Withdrawal) error {
	return l.call(ctx, methodWithdraw, withdrawMessage{Withdrawn: withdrawn}, &struct{}{})
}

// Settle ends loans. Delivery is not guaranteed: if the notification is lost, the loans end when their term expires.
func (l *Link) Settle(s []Settlement) { l.notify(methodSettle, settleMessage{Settlements: s}) }

// Jobs sends an update on this VM's requests to the peer's dispatcher. Delivery is not guaranteed.
func (l *Link) Jobs(now time.Time, u JobUpdate) { l.notify(methodJobs, encodeJobs(now, u)) }

// Decide sends the dispatcher's decisions on the peer's requests. Delivery is not guaranteed.
func (l *Link) Decide(lane string, decisions []dispatch.Decision) {
	l.notify(methodDecide, decideMessage{Lane: lane, Decisions: decisions})
}

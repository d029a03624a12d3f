package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cassiabridge/cassiabridge/roster"
)

const codeUnproven = -32001

// Server accepts the connections of peers.
type Server struct {
	self   Identity
	secret string
	inbox  Inbox
	now    func() time.Time

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// Listen accepts peers at an address until the returned function is called.
func Listen(addr string, self Identity, secret string, inbox Inbox) (*Server, func(), error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, &Error{Op: "listen for peers", Kind: ErrFailed, Err: err}
	}
	s := &Server{self: self, secret: secret, inbox: inbox, now: time.Now, conns: map[*jsonrpc2.Conn]struct{}{}}
	go s.accept(listener)
	return s, func() {
		listener.Close()
		s.closeConns()
	}, nil
}

func (s *Server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session := &session{server: s, nonce: newNonce()}
		rpc := jsonrpc2.NewConn(context.Background(), newStream(conn), session, quiet())
		if !s.track(rpc) {
			rpc.Close()
			return
		}
		go func() {
			<-rpc.DisconnectNotify()
			s.untrack(rpc)
		}()
	}
}

func (s *Server) track(rpc *jsonrpc2.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[rpc] = struct{}{}
	return true
}

func (s *Server) untrack(rpc *jsonrpc2.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, rpc)
}

func (s *Server) closeConns() {
	s.mu.Lock()
	s.closed = true
	conns := s.conns
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.mu.Unlock()
	for rpc := range conns {
		rpc.Close()
	}
}

// session is one connection of a peer. It handles messages in the order in which they came.
type session struct {
	server *Server
	nonce  string
	from   Identity
	proven bool
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	call := incoming{ctx: ctx, conn: conn, req: req}
	switch {
	case req.Method == methodChallenge:
		call.reply(challengeAnswer{Nonce: s.nonce})
	case req.Method == methodHello:
		s.handleHello(call)
	case !s.proven:
		call.fail(codeUnproven, "the peer has not proved itself")
	default:
		s.handle(call)
	}
}

func (s *session) handleHello(call incoming) {
	m, ok := params[helloMessage](call)
	if !ok {
		return
	}
	id := Identity{VM: m.VM, Incarnation: m.Incarnation}
	if !proofEqual(m.Proof, proof(s.server.secret, "client", id, m.Nonce, s.nonce)) {
		call.fail(codeUnproven, "the proof is wrong")
		return
	}
	s.from, s.proven = id, true
	self := s.server.self
	call.reply(helloAnswer{VM: self.VM, Incarnation: self.Incarnation,
		Proof: proof(s.server.secret, "server", self, m.Nonce, s.nonce)})
}

func (s *session) handle(call incoming) {
	inbox, now := s.server.inbox, s.server.now()
	switch call.req.Method {
	case methodHeartbeat:
		if m, ok := params[heartbeatMessage](call); ok {
			s.handleHeartbeat(call, m)
		}
	case methodState:
		inbox.State(func(data []byte, err error) {
			if err != nil {
				call.fail(jsonrpc2.CodeInternalError, err.Error())
				return
			}
			call.reply(stateAnswer{Data: data})
		})
	case methodBorrow:
		if m, ok := params[borrowMessage](call); ok {
			request := BorrowRequest{ID: m.ID, Account: m.Account, Want: m.Want, Term: time.Duration(m.TermMillis) * time.Millisecond}
			inbox.Borrow(s.from, request, func(amount float64) { call.reply(borrowAnswer{Amount: amount}) })
		}
	case methodSettle:
		if m, ok := params[settleMessage](call); ok {
			inbox.Settle(s.from, m.Settlements)
		}
	case methodWithdraw:
		if m, ok := params[withdrawMessage](call); ok {
			inbox.Withdraw(m.Withdrawn, func() { call.reply(struct{}{}) })
		}
	case methodJobs:
		if m, ok := params[jobsMessage](call); ok {
			inbox.Jobs(s.from, m.decode(now, s.from))
		}
	case methodDecide:
		if m, ok := params[decideMessage](call); ok {
			inbox.Decide(s.from, m.Lane, m.Decisions)
		}
	default:
		call.fail(jsonrpc2.CodeMethodNotFound, fmt.Sprintf("method %q does not exist", call.req.Method))
	}
}

// handleHeartbeat passes on what the peer says of itself. How old it is when it comes is not known,
// so only answers to own heartbeats count for freshness.
func (s *session) handleHeartbeat(call incoming, m heartbeatMessage) {
	s.server.inbox.Heartbeat(m.decode(s.from), func(own roster.Heartbeat) { call.reply(encodeHeartbeat(own)) })
}

// incoming is one message that awaits an answer, or none if it is a notification.
type incoming struct {
	ctx  context.Context
	conn *jsonrpc2.Conn
	req  *jsonrpc2.Request
}

func (c incoming) reply(result any) {
	if !c.req.Notif {
		_ = c.conn.Reply(c.ctx, c.req.ID, result)
	}
}

func (c incoming) fail(code int64, message string) {
	if !c.req.Notif {
		_ = c.conn.ReplyWithError(c.ctx, c.req.ID, &jsonrpc2.Error{Code: code, Message: message})
	}
}

// params decodes the parameters of a message, and answers with an error if they make no sense.
func params[T any](call incoming) (T, bool) {
	var value T
	if call.req.Params == nil {
		call.fail(jsonrpc2.CodeInvalidParams, "parameters are missing")
		return value, false
	}
	if err := json.Unmarshal(*call.req.Params, &value); err != nil {
		call.fail(jsonrpc2.CodeInvalidParams, err.Error())
		return value, false
	}
	return value, true
}

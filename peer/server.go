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

const codeUnauthenticated = -32001

// Server accepts connections from peers.
type Server struct {
	self     Identity
	secret   string
	handlers Handlers
	now      func() time.Time

	mu     sync.Mutex
	conns  map[*jsonrpc2.Conn]struct{}
	closed bool
}

// Listen accepts connections from peers on addr. The returned function stops the server and closes its connections.
func Listen(addr string, self Identity, secret string, handlers Handlers) (*Server, func(), error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, nil, &Error{Op: "listen for peers", Kind: ErrFailed, Err: err}
	}
	s := &Server{self: self, secret: secret, handlers: handlers, now: time.Now, conns: map[*jsonrpc2.Conn]struct{}{}}
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
		rpc := jsonrpc2.NewConn(context.Background(), newStream(conn), session, discardLogs())
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

// session is one connection from a peer. It handles messages in the order of arrival.
type session struct {
	server        *Server
	nonce         string
	peer          Identity
	authenticated bool
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	msg := incomingMessage{ctx: ctx, conn: conn, req: req}
	switch {
	case req.Method == methodChallenge:
		msg.reply(challengeAnswer{Nonce: s.nonce})
	case req.Method == methodHello:
		s.handleHello(msg)
	case !s.authenticated:
		msg.replyError(codeUnauthenticated, "the peer has not proved itself")
	default:
		s.handle(msg)
	}
}

func (s *session) handleHello(msg incomingMessage) {
	m, ok := params[helloMessage](msg)
	if !ok {
		return
	}
	id := Identity{VM: m.VM, Incarnation: m.Incarnation}
	if !equalProofs(m.Proof, proof(s.server.secret, "client", id, m.Nonce, s.nonce)) {
		msg.replyError(codeUnauthenticated, "the proof is wrong")
		return
	}
	s.peer, s.authenticated = id, true
	self := s.server.self
	msg.reply(helloAnswer{VM: self.VM, Incarnation: self.Incarnation,
		Proof: proof(s.server.secret, "server", self, m.Nonce, s.nonce)})
}

func (s *session) handle(msg incomingMessage) {
	handlers, now := s.server.handlers, s.server.now()
	switch msg.req.Method {
	case methodHeartbeat:
		if m, ok := params[heartbeatMessage](msg); ok {
			s.handleHeartbeat(msg, m)
		}
	case methodState:
		handlers.State(func(data []byte, err error) {
			if err != nil {
				msg.replyError(jsonrpc2.CodeInternalError, err.Error())
				return
			}
			msg.reply(stateAnswer{Data: data})
		})
	case methodBorrow:
		if m, ok := params[borrowMessage](msg); ok {
			request := BorrowRequest{ID: m.ID, Account: m.Account, Amount: m.Want, Term: time.Duration(m.TermMillis) * time.Millisecond}
			handlers.Borrow(s.peer, request, func(amount float64) { msg.reply(borrowAnswer{Amount: amount}) })
		}
	case methodSettle:
		if m, ok := params[settleMessage](msg); ok {
			handlers.Settle(s.peer, m.Settlements)
		}
	case methodWithdraw:
		if m, ok := params[withdrawMessage](msg); ok {
			handlers.Withdraw(m.Withdrawn, func() { msg.reply(struct{}{}) })
		}
	case methodJobs:
		if m, ok := params[jobsMessage](msg); ok {
			handlers.Jobs(s.peer, m.decode(now, s.peer))
		}
	case methodDecide:
		if m, ok := params[decideMessage](msg); ok {
			handlers.Decide(s.peer, m.Lane, m.Decisions)
		}
	default:
		msg.replyError(jsonrpc2.CodeMethodNotFound, fmt.Sprintf("method %q does not exist", msg.req.Method))
	}
}

// handleHeartbeat passes the peer's heartbeat to its handler. The age of a received heartbeat is unknown, so only
// responses to this VM's own heartbeats count for freshness.
func (s *session) handleHeartbeat(msg incomingMessage, m heartbeatMessage) {
	s.server.handlers.Heartbeat(m.decode(s.peer), func(own roster.Heartbeat) { msg.reply(encodeHeartbeat(own)) })
}

// incomingMessage is a request, which needs a response, or a notification, which gets none.
type incomingMessage struct {
	ctx  context.Context
	conn *jsonrpc2.Conn
	req  *jsonrpc2.Request
}

func (c incomingMessage) reply(result any) {
	if !c.req.Notif {
		_ = c.conn.Reply(c.ctx, c.req.ID, result)
	}
}

func (c incomingMessage) replyError(code int64, message string) {
	if !c.req.Notif {
		_ = c.conn.ReplyWithError(c.ctx, c.req.ID, &jsonrpc2.Error{Code: code, Message: message})
	}
}

// params decodes the parameters of a message. If they are missing or invalid, it responds with an error and returns
// false.
func params[T any](msg incomingMessage) (T, bool) {
	var value T
	if msg.req.Params == nil {
		msg.replyError(jsonrpc2.CodeInvalidParams, "parameters are missing")
		return value, false
	}
	if err := json.Unmarshal(*msg.req.Params, &value); err != nil {
		msg.replyError(jsonrpc2.CodeInvalidParams, err.Error())
		return value, false
	}
	return value, true
}

package relay

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/exchange"
)

const (
	// DialTimeout bounds an attempt to open a connection, directly or through peers.
	DialTimeout = 600 * time.Millisecond
	// directTimeout bounds an attempt to open a connection directly, and peerTimeout one through a peer.
	directTimeout = 300 * time.Millisecond
	peerTimeout   = 200 * time.Millisecond
	// secondDelay is how long the way that is tried first may take before the other one is tried too. A round trip between regions
	// is shorter.
	secondDelay = 100 * time.Millisecond
	// maxPeers is the number of peers that are asked for one connection, and peerStagger how long one may take before the next one is
	// asked too.
	maxPeers    = 4
	peerStagger = 60 * time.Millisecond
	// minWitnesses is the number of peers that must not reach an upstream until it counts as gone: a peer may have lost the same way.
	minWitnesses = 2
	// peerFailurePeriod is how long a peer that could not help comes after others.
	peerFailurePeriod = 500 * time.Millisecond
)

const (
	// headerRequest names the request for which a connection is opened, for the logs of both VMs.
	headerRequest = "Cassiabridge-Request"
	// headerKind is the kind of the error of a connection that a peer could not open.
	headerKind = "Cassiabridge-Kind"
)

// Peer is a VM through which connections can be opened.
type Peer struct {
	VM string
	// Address is the IP address and port at which it listens.
	Address string
	// Distance orders peers: those with a lower one are asked first.
	Distance int
}

// requestKey is the context key of the ID of a request.
type requestKey struct{}

// WithRequest returns a context for connections that are opened for the request with an ID.
func WithRequest(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, requestKey{}, id)
}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestKey{}).(string)
	return id
}

// Dialer opens connections to upstreams directly or through peers. It is safe for concurrent use.
type Dialer struct {
	paths  *Paths
	direct exchange.Dial
	// toPeer opens connections to peers.
	toPeer exchange.Dial
	// peers returns the peers that may be asked.
	peers func() []Peer
	log   *zap.Logger
	// onRelayed is called for each connection that is opened through a peer.
	onRelayed func()
	now       func() time.Time

	mu sync.Mutex
	// failedAt is when a peer last could not help, by name.
	failedAt map[string]time.Time
}

// DialerOption configures a Dialer.
type DialerOption func(*Dialer)

// WithDialerLogger sets the logger. The default discards everything.
func WithDialerLogger(log *zap.Logger) DialerOption { return func(d *Dialer) { d.log = log } }

// WithRelayObserver sets a function that is called for each connection that is opened through a peer.
func WithRelayObserver(observe func()) DialerOption {
	return func(d *Dialer) { d.onRelayed = observe }
}

// NewDialer returns a Dialer that opens connections with direct, or through the peers that peers returns.
func NewDialer(paths *Paths, direct exchange.Dial, peers func() []Peer, opts ...DialerOption) *Dialer {
	d := &Dialer{paths: paths, direct: direct, toPeer: exchange.DirectDial, peers: peers, log: zap.NewNop(), onRelayed: func() {}, now: time.Now, failedAt: map[string]time.Time{}}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// dialed is what came of one way to an upstream.
type dialed struct {
	conn    net.Conn
	err     error
	relayed bool
}

// Dial opens a connection to an upstream at addr. Its errors are of type *Error if a peer knows that the upstream cannot be reached, and
// else those of the direct attempt.
func (d *Dialer) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	peers := d.candidates()
	if len(peers) == 0 {
		return d.dialDirect(ctx, network, addr)
	}
	results := make(chan dialed, 2)
	startDirect := func() {
		go func() {
			conn, err := d.dialDirect(ctx, network, addr)
			results <- dialed{conn: conn, err: err}
		}()
	}
	startRelayed := func() {
		go func() {
			conn, err := d.dialThroughPeers(ctx, addr, peers)
			results <- dialed{conn: conn, err: err, relayed: true}
		}()
	}
	first, second := startDirect, startRelayed
	order := d.paths.order(d.now(), addr)
	if order == relayFirst {
		first, second = startRelayed, startDirect
	}
	result, pending, err := race(ctx, results, first, second, order == both)
	go discard(results, pending)
	if err != nil {
		return nil, err
	}
	if result.relayed {
		if order == directFirst && pending > 0 {
			// The direct attempt has had no answer for secondDelay.
			d.paths.recordDirect(d.now(), addr, false)
		}
		d.paths.recordRelayed(d.now(), addr)
		d.onRelayed()
	}
	return result.conn, nil
}

// race starts the first way, and the second one when the first has failed, or after secondDelay, or at once. It returns what is open
// first, and the number of ways of which nothing has come yet.
func race(ctx context.Context, results <-chan dialed, first, second func(), atOnce bool) (dialed, int, error) {
	first()
	pending, started := 1, false
	startSecond := func() {
		if !started {
			started = true
			pending++
			second()
		}
	}
	if atOnce {
		startSecond()
	}
	delay := time.NewTimer(secondDelay)
	defer delay.Stop()
	var failures []dialed
	for pending > 0 {
		select {
		case <-ctx.Done():
			return dialed{}, pending, context.Cause(ctx)
		case <-delay.C:
			startSecond()
		case result := <-results:
			pending--
			if result.err == nil {
				return result, pending, nil
			}
			failures = append(failures, result)
			startSecond()
		}
	}
	return dialed{}, 0, decisive(failures)
}

// discard closes the connections of ways that come too late.
func discard(results <-chan dialed, pending int) {
	for range pending {
		if result := <-results; result.conn != nil {
			result.conn.Close()
		}
	}
}

// decisive returns the error of a connection that could be opened in no way. An upstream that refuses this VM has ended only if it refuses
// peers too.
func decisive(failures []dialed) error {
	var direct, relayed error
	for _, failure := range failures {
		if failure.relayed {
			relayed = failure.err
		} else {
			direct = failure.err
		}
	}
	switch {
	case relayed == nil:
		return direct
	case kindOf(relayed) != ErrPeer:
		return relayed
	}
	return &Error{Op: "dial", Kind: ErrUnreachable, Err: fmt.Errorf("directly: %v; through peers: %v", direct, relayed)}
}

// dialDirect opens a connection directly. The attempt goes on when the caller has got one through a peer, since it is evidence.
func (d *Dialer) dialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	directCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), directTimeout)
	defer cancel()
	conn, err := d.direct(directCtx, network, addr)
	d.paths.recordDirect(d.now(), addr, err == nil)
	return conn, err
}

// candidates returns the peers to ask, the closest first, but those that could not help lately last. Peers that are as close take
// turns at random.
func (d *Dialer) candidates() []Peer {
	now := d.now()
	peers := slices.Clone(d.peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	d.mu.Lock()
	defer d.mu.Unlock()
	rank := func(peer Peer) int {
		if now.Sub(d.failedAt[peer.VM]) < peerFailurePeriod {
			return math.MaxInt
		}
		return peer.Distance
	}
	slices.SortStableFunc(peers, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return peers[:min(len(peers), maxPeers)]
}

// dialThroughPeers asks one peer after the other for a connection, until one has it open or enough of them do not reach the upstream.
func (d *Dialer) dialThroughPeers(ctx context.Context, addr string, peers []Peer) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan dialed, len(peers))
	asked, answered := 0, 0
	defer func() { go discard(results, asked-answered) }()
	ask := func() {
		if asked < len(peers) {
			peer := peers[asked]
			asked++
			go func() { results <- d.askPeer(ctx, peer, addr) }()
		}
	}
	ask()
	next := time.NewTicker(peerStagger)
	defer next.Stop()
	witnesses := map[ErrorKind]int{}
	for {
		select {
		case <-next.C:
			ask()
		case result := <-results:
			answered++
			if result.err == nil {
				return result.conn, nil
			}
			kind := kindOf(result.err)
			witnesses[kind]++
			if ctx.Err() != nil || answered == len(peers) || kind != ErrPeer && witnesses[kind] >= minWitnesses {
				return nil, result.err
			}
			if answered == asked {
				ask()
			}
		}
	}
}

// askPeer opens a connection through a peer, and remembers a peer that could not help.
func (d *Dialer) askPeer(ctx context.Context, peer Peer, addr string) dialed {
	conn, err := d.dialThrough(ctx, peer, addr)
	if err != nil && ctx.Err() != nil {
		return dialed{err: err, relayed: true}
	}
	d.log.Info("connection-relayed", zap.String("Request", requestID(ctx)), zap.String("Address", addr), zap.String("Peer", peer.VM), zap.Error(err))
	if err != nil {
		d.mu.Lock()
		d.failedAt[peer.VM] = d.now()
		d.mu.Unlock()
	}
	return dialed{conn: conn, err: err, relayed: true}
}

// dialThrough opens a connection through a peer.
func (d *Dialer) dialThrough(ctx context.Context, peer Peer, addr string) (net.Conn, error) {
	op := "dial " + addr + " through " + peer.VM
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	raw, err := d.toPeer(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrPeer, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	conn, err := requestConnection(raw, op, addr, requestID(ctx))
	if !stop() && err == nil {
		err = &Error{Op: op, Kind: ErrPeer, Err: context.Cause(ctx)}
	}
	if err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// requestConnection asks the peer at the other end of a connection to open one to addr.
func requestConnection(raw net.Conn, op, addr, request string) (net.Conn, error) {
	if _, err := fmt.Fprintf(raw, "CONNECT %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n\r\n", addr, addr, headerRequest, request); err != nil {
		return nil, &Error{Op: op, Kind: ErrPeer, Err: err}
	}
	reader := bufio.NewReader(raw)
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, &Error{Op: op, Kind: ErrPeer, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		return nil, &Error{Op: op, Kind: peerErrorKind(resp), Err: errors.New(resp.Status)}
	}
	return &relayedConn{Conn: raw, reader: reader}, nil
}

// peerErrorKind returns the kind of the error that a peer's answer tells of.
func peerErrorKind(resp *http.Response) ErrorKind {
	switch kind := ErrorKind(resp.Header.Get(headerKind)); kind {
	case ErrRefused, ErrUnreachable:
		return kind
	}
	return ErrPeer
}

// relayedConn is a connection to an upstream through a peer.
type relayedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read implements net.Conn.
func (c *relayedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// SingleUse implements exchange.SingleUse: connections of a peer are for its own requests.
func (c *relayedConn) SingleUse() {}

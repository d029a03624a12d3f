package peer

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"golang.org/x/net/ipv4"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/resumption"
)

const (
	methodBeacon = "Beacon"
	// maxDatagramBytes limits the size of a received beacon.
	maxDatagramBytes = 60 << 10
)

// Scope says of whom a Beacon tells.
type Scope string

// Scopes of a Beacon.
const (
	// ScopeVM is the scope of a beacon with the state of its sender.
	ScopeVM Scope = ""
	// ScopeGroup is the scope of a summary of the sender's group, for the VMs of other groups.
	ScopeGroup Scope = "Group"
	// ScopeList is the scope of a page of the list of replicas, ScopeListRequest that of a VM's request for what it lacks of the
	// list after ListNext.
	ScopeList        Scope = "List"
	ScopeListRequest Scope = "ListRequest"
	// ScopeDeclarations is the scope of a page of the declarations, ScopeDeclarationsRequest that of a VM's request for declarations
	// newer than Version.
	ScopeDeclarations        Scope = "Declarations"
	ScopeDeclarationsRequest Scope = "DeclarationsRequest"
	// ScopeStreams is the scope of a page of streams, ScopeStreamsRequest that of a VM's request for those that it has missed.
	ScopeStreams        Scope = "Streams"
	ScopeStreamsRequest Scope = "StreamsRequest"
	// ScopeStreamsQuestion is the scope of a question for streams that a VM does not know, ScopeStreamsAnswer that of its answer.
	ScopeStreamsQuestion Scope = "StreamsQuestion"
	ScopeStreamsAnswer   Scope = "StreamsAnswer"
)

// Member is a VM of which a summary tells.
type Member struct {
	VM               string
	AvailabilityZone string
	// Leaving is whether the VM has stopped accepting new requests.
	Leaving bool
	// Uptime is the time since its process started.
	Uptime time.Duration
	// StoreDistance is that of the VM's beacons.
	StoreDistance int
	// CutOff is that of the VM's beacons.
	CutOff bool
	// Address is the IP address and port that receive its beacons, or empty if it has run for long enough for all to know it.
	Address string
	// Capabilities are those of the VM's beacons.
	Capabilities Capabilities
}

// Beacon is the state that a VM periodically sends to all other VMs, or to those of its group, or a summary of several VMs.
// Each beacon carries the full state, so the next one makes up for a lost one.
type Beacon struct {
	VM          string
	Incarnation string
	// AvailabilityZone is that of the VM.
	AvailabilityZone string
	Scope            Scope
	// Format is the version of the message, MessageFormat or that of another build. Capabilities says what the VM does for others.
	Format       int
	Capabilities Capabilities
	// List is set in a page of the list of replicas, which tells nothing else.
	List *ListPage
	// Declarations is set in a page of the declarations, which tells nothing else.
	Declarations *DeclarationsPage
	// Forwarded is whether a summary was passed on by a VM of the receiver's group, which has sent it to the whole group.
	Forwarded bool
	// Members holds the VMs of which a summary tells, those that are heard. It is nil in the beacon of one VM.
	Members []Member
	// Sequence increases with each beacon of one process run.
	Sequence uint64
	// Uptime is the time since the process started.
	Uptime time.Duration
	// Version is the version of the declarations in force.
	Version uint64
	// VMCount is the number of VMs that it knows, or 0 if it does not know all of them.
	VMCount int
	// Leaving reports whether the VM has stopped accepting new requests.
	Leaving bool
	// CutOff reports whether the VM has no way of its own to upstreams that its peers reach.
	CutOff bool
	// StoreDistance is the round trip of the VM's fastest call to the store, in steps that are longer than one within a region.
	StoreDistance int
	// ReplicaLoads is the load of this VM's requests in flight, by replica ID.
	ReplicaLoads map[string]placement.Load
	// QueuedTokens is the decode memory that queued requests need, in tokens, by pool.
	QueuedTokens map[string]int
	// SpentTokens is the number of tokens admitted since the process started, by account.
	SpentTokens map[string]float64
	// BucketLevels is the number of tokens that each account may still use on all VMs together. It is set for a short
	// time after the first beacon from a process that started later, so that the later process can adopt the levels.
	BucketLevels map[string]float64
	// ReplacedReplicas holds the IDs of listed replicas at whose address a different replica responds.
	ReplacedReplicas []string
	// UnreachableReplicas holds the IDs of replicas that the VM skips because it could not reach them.
	UnreachableReplicas []string
	// UnreachableReports holds, in a summary, how many VMs skip a replica because they could not reach it, at most 2, by ID.
	UnreachableReports map[string]int
	// Suspects is the evidence on parts of prompts that may end replicas, by part. TrialParts holds the parts of which the
	// VM runs a request as a trial.
	Suspects   map[string]quarantine.Evidence
	TrialParts []string
	// ReplicaLimits holds what the VM has heard of request limits that replicas name, by replica ID.
	ReplicaLimits map[string]quota.LimitReport
	// ServiceCalls holds how many calls for plain services the VM has received since it started, by pool and priority.
	ServiceCalls map[placement.CallClass]int
	// ServiceLoads holds what plain services lately said of their loads, by replica ID. Their times are those of the receiver's
	// clock.
	ServiceLoads map[string]placement.ServiceLoad
	// ColdReplicas holds how much longer replicas are cold, by ID.
	ColdReplicas map[string]time.Duration
	// EvacuationsOffset is the offset that follows the last record that changed which availability zones are evacuated, in era
	// EvacuationsEra of the store.
	EvacuationsEra, EvacuationsOffset uint64
	// ListAge is the time since the list of replicas was last read, at the time of sending. It is negative if the
	// list has never been read.
	ListAge time.Duration
	// ListOffset is the offset that follows the last record that changed the set of known replicas, in era ListEra of the
	// store.
	ListEra, ListOffset uint64
	// ListNext is the offset up to which the VM knows the list, in era ListEra, and ListDigest the digest of the replicas that it
	// lists. ListNext is 0 if the VM does not say.
	ListNext, ListDigest uint64
	// Streams holds streams that have lately begun in pools with replicas of several software versions, and in a request for streams the
	// position from which on they are asked for.
	Streams resumption.Page
	// Question is set in a question for streams, and Answer in its answer.
	Question *resumption.Question
	Answer   *resumption.Answer
	// CheckAge is the time since the VM last checked the store for newer declarations, at the time of sending. It is
	// negative if the VM never has.
	CheckAge time.Duration
}

// Aged returns the beacon as it would tell the same facts after a period: ages are higher, and what remains of a period is
// less. A VM that passes on what others told must add the time for which it has kept it.
func (b Beacon) Aged(by time.Duration) Beacon {
	b.Uptime += by
	if b.ListAge >= 0 {
		b.ListAge += by
	}
	if b.CheckAge >= 0 {
		b.CheckAge += by
	}
	b.ReplicaLimits = mapValues(b.ReplicaLimits, func(r quota.LimitReport) quota.LimitReport { return quota.LimitReport{Limit: r.Limit, Age: r.Age + by} })
	b.Members = convertAll(b.Members, func(m Member) Member {
		m.Uptime += by
		return m
	})
	cold := make(map[string]time.Duration, len(b.ColdReplicas))
	for id, remaining := range b.ColdReplicas {
		if remaining > by {
			cold[id] = remaining - by
		}
	}
	b.ColdReplicas = cold
	return b
}

// Direction says whether a beacon was sent or received.
type Direction string

// Directions of a beacon.
const (
	Sent     Direction = "Sent"
	Received Direction = "Received"
)

// BeaconSocket sends and receives beacons over UDP.
type BeaconSocket struct {
	conn *net.UDPConn
	// observe is called with the bytes of the datagrams that are sent or received.
	observe func(direction Direction, scope Scope, bytes int)
	// batch sends many datagrams in one system call.
	batch *ipv4.PacketConn
}

// BeaconOption configures a BeaconSocket.
type BeaconOption func(*BeaconSocket)

// WithTrafficObserver sets a function that is called with the bytes of the datagrams that are sent or received.
func WithTrafficObserver(observe func(direction Direction, scope Scope, bytes int)) BeaconOption {
	return func(b *BeaconSocket) { b.observe = observe }
}

// ListenBeacons listens on addr and calls received with each beacon and its sender's address until the returned function
// is called. It calls rejected with the error for each datagram that cannot be received or decoded.
func ListenBeacons(addr string, received func(Beacon, netip.AddrPort), rejected func(error), opts ...BeaconOption) (*BeaconSocket, func(), error) {
	local, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, nil, &Error{Op: "listen for beacons", Kind: ErrFailed, Err: err}
	}
	conn, err := net.ListenUDP("udp4", local)
	if err != nil {
		return nil, nil, &Error{Op: "listen for beacons", Kind: ErrFailed, Err: err}
	}
	b := &BeaconSocket{conn: conn, batch: ipv4.NewPacketConn(conn), observe: func(Direction, Scope, int) {}}
	for _, opt := range opts {
		opt(b)
	}
	go b.receive(received, rejected)
	return b, func() { _ = conn.Close() }, nil
}

func (b *BeaconSocket) receive(received func(Beacon, netip.AddrPort), rejected func(error)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := b.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			rejected(&Error{Op: "receive beacon", Kind: ErrUnreachable, Err: err})
			continue
		}
		beacon, err := DecodeBeacon(buffer[:n])
		if err != nil {
			rejected(err)
			continue
		}
		b.observe(Received, beacon.Scope, n)
		received(beacon, from)
	}
}

// Send sends a beacon to all addresses and returns the last error. Delivery is not guaranteed.
func (b *BeaconSocket) Send(beacon Beacon, to []*net.UDPAddr) error {
	data, err := EncodeBeacon(beacon)
	if err != nil {
		return &Error{Op: "encode beacon", Kind: ErrFailed, Err: err}
	}
	b.observe(Sent, beacon.Scope, len(data)*len(to))
	buffers := [][]byte{data}
	messages := make([]ipv4.Message, len(to))
	for i, addr := range to {
		messages[i] = ipv4.Message{Buffers: buffers, Addr: addr}
	}
	var lastErr error
	for len(messages) > 0 {
		n, err := b.batch.WriteBatch(messages, 0)
		if err != nil {
			// The first message of the batch failed; the others are still sent.
			lastErr = &Error{Op: "send beacon to " + messages[0].Addr.String(), Kind: ErrUnreachable, Err: err}
			n = 1
		}
		messages = messages[n:]
	}
	return lastErr
}

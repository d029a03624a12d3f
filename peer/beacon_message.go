package peer

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/cassiabridge/cassiabridge/placement"
	"github.com/cassiabridge/cassiabridge/quarantine"
	"github.com/cassiabridge/cassiabridge/quota"
	"github.com/cassiabridge/cassiabridge/resumption"
)

// beaconMessage is the wire format of a Beacon: the parameters of a JSON-RPC notification.
type beaconMessage struct {
	VM, Incarnation string
	Sequence        uint64
	UptimeMillis    int64
	Version         uint64
	Zone            string                    `json:",omitempty"`
	Scope           Scope                     `json:",omitempty"`
	Format          int                       `json:",omitempty"`
	Capabilities    Capabilities              `json:",omitempty"`
	Forwarded       bool                      `json:",omitempty"`
	List            *listMessage              `json:",omitempty"`
	Declarations    *declarationsMessage      `json:",omitempty"`
	Members         []memberMessage           `json:",omitempty"`
	Reports         map[string]int            `json:",omitempty"`
	VMCount         int                       `json:",omitempty"`
	Leaving         bool                      `json:",omitempty"`
	StoreDistance   int                       `json:",omitempty"`
	CutOff          bool                      `json:",omitempty"`
	Loads           map[string][2]int         `json:",omitempty"`
	Waiting         map[string]int            `json:",omitempty"`
	Spent           map[string]float64        `json:",omitempty"`
	Levels          map[string]float64        `json:",omitempty"`
	Replaced        []string                  `json:",omitempty"`
	Unreachable     []string                  `json:",omitempty"`
	Suspects        map[string]suspectMessage `json:",omitempty"`
	Limits          map[string]limitMessage   `json:",omitempty"`
	Trials          []string                  `json:",omitempty"`
	Calls           []callsMessage            `json:",omitempty"`
	Services        map[string][6]int64       `json:",omitempty"`
	ColdMillis      map[string]int64          `json:",omitempty"`
	EvacuationsEra  uint64                    `json:",omitempty"`
	Evacuations     uint64                    `json:",omitempty"`
	ListReadMillis  int64
	ListChanged     uint64
	ListEra         uint64            `json:",omitempty"`
	ListNext        uint64            `json:",omitempty"`
	ListDigest      uint64            `json:",omitempty"`
	Streams         resumption.Report `json:",omitempty"`
	// StreamsNext is 0 in beacons of versions that tell each stream for a time only.
	StreamsFrom uint64               `json:",omitempty"`
	StreamsNext uint64               `json:",omitempty"`
	Question    *resumption.Question `json:",omitempty"`
	Answer      *resumption.Answer   `json:",omitempty"`
	// CheckedMillis is nil in beacons of versions that do not check for newer declarations.
	CheckedMillis *int64 `json:",omitempty"`
}

type memberMessage struct {
	VM           string `json:"V"`
	Zone         string `json:"Z"`
	Leaving      bool   `json:"L,omitempty"`
	UptimeMillis int64  `json:"U"`
	Distance     int    `json:"D,omitempty"`
	CutOff       bool   `json:"C,omitempty"`
	Address      string `json:"A,omitempty"`

	Capabilities Capabilities `json:"P,omitempty"`
}

func newMemberMessage(m Member) memberMessage {
	return memberMessage{VM: m.VM, Zone: m.AvailabilityZone, Leaving: m.Leaving, UptimeMillis: m.Uptime.Milliseconds(), Distance: m.StoreDistance, CutOff: m.CutOff, Address: m.Address, Capabilities: m.Capabilities}
}

func (m memberMessage) member() Member {
	return Member{VM: m.VM, AvailabilityZone: m.Zone, Leaving: m.Leaving, Uptime: millis(m.UptimeMillis), StoreDistance: m.Distance, CutOff: m.CutOff, Address: m.Address, Capabilities: m.Capabilities}
}

// convertAll returns the converted elements, or nil if there are none.
func convertAll[A, B any](elements []A, convert func(A) B) []B {
	var converted []B
	for _, element := range elements {
		converted = append(converted, convert(element))
	}
	return converted
}

// callsMessage is the number of calls of one class.
type callsMessage struct {
	Pool     string `json:"P"`
	Priority int    `json:"R"`
	Done     bool   `json:"D,omitempty"`
	Count    int    `json:"N"`
}

func newCallsMessages(calls map[placement.CallClass]int) []callsMessage {
	var messages []callsMessage
	for class, count := range calls {
		messages = append(messages, callsMessage{class.Pool, class.Priority, class.Completed, count})
	}
	return messages
}

func serviceCalls(messages []callsMessage) map[placement.CallClass]int {
	if len(messages) == 0 {
		return nil
	}
	calls := make(map[placement.CallClass]int, len(messages))
	for _, m := range messages {
		calls[placement.CallClass{Pool: m.Pool, Priority: m.Priority, Completed: m.Done}] = m.Count
	}
	return calls
}

// newServiceLoadMessage returns the running and waiting requests, the slots, the slowness in percent, the age and the work time
// in milliseconds of a load.
func newServiceLoadMessage(l placement.ServiceLoad) [6]int64 {
	return [6]int64{int64(l.Running), int64(l.Waiting), int64(l.Slots), int64(math.Round(l.Slowness * 100)), time.Since(l.At).Milliseconds(), l.WorkTime.Milliseconds()}
}

func serviceLoad(m [6]int64) placement.ServiceLoad {
	return placement.ServiceLoad{Running: int(m[0]), Waiting: int(m[1]), Slots: int(m[2]), Slowness: float64(m[3]) / 100, At: time.Now().Add(-millis(m[4])),
		WorkTime: millis(m[5])}
}

type limitMessage struct {
	Limit     float64
	AgeMillis int64
}

type suspectMessage struct {
	Generation uint64   `json:",omitempty"`
	Ends       []string `json:",omitempty"`
	Moments    int      `json:",omitempty"`
	Sound      bool     `json:",omitempty"`
	Trials     int      `json:",omitempty"`
}

// mapValues returns a map with the same keys and the converted values, or nil if m is empty.
func mapValues[A, B any](m map[string]A, convert func(A) B) map[string]B {
	if len(m) == 0 {
		return nil
	}
	converted := make(map[string]B, len(m))
	for key, value := range m {
		converted[key] = convert(value)
	}
	return converted
}

func newBeaconMessage(b Beacon) beaconMessage {
	checked := b.CheckAge.Milliseconds()
	return beaconMessage{
		VM: b.VM, Incarnation: b.Incarnation, Sequence: b.Sequence, UptimeMillis: b.Uptime.Milliseconds(), Version: b.Version, Zone: b.AvailabilityZone, Scope: b.Scope, Format: b.Format, Capabilities: b.Capabilities, Forwarded: b.Forwarded, Members: convertAll(b.Members, newMemberMessage), Reports: b.UnreachableReports, VMCount: b.VMCount, Leaving: b.Leaving, StoreDistance: b.StoreDistance,
		Waiting: b.QueuedTokens, Spent: b.SpentTokens, Levels: b.BucketLevels, Replaced: b.ReplacedReplicas, Unreachable: b.UnreachableReplicas,
		Trials: b.TrialParts, ListReadMillis: b.ListAge.Milliseconds(), ListChanged: b.ListOffset, ListEra: b.ListEra, ListNext: b.ListNext, ListDigest: b.ListDigest, Streams: b.Streams.Streams, StreamsFrom: b.Streams.From, StreamsNext: b.Streams.Next, Question: b.Question, Answer: b.Answer, CheckedMillis: &checked,
		Loads:          mapValues(b.ReplicaLoads, func(load placement.Load) [2]int { return [2]int{load.Requests, load.Tokens} }),
		Suspects:       mapValues(b.Suspects, func(e quarantine.Evidence) suspectMessage { return suspectMessage(e) }),
		EvacuationsEra: b.EvacuationsEra, Evacuations: b.EvacuationsOffset,
		CutOff: b.CutOff, Declarations: (*declarationsMessage)(b.Declarations),
		ColdMillis: mapValues(b.ColdReplicas, time.Duration.Milliseconds),
		Services:   mapValues(b.ServiceLoads, newServiceLoadMessage),
		Calls:      newCallsMessages(b.ServiceCalls),
		Limits:     mapValues(b.ReplicaLimits, func(r quota.LimitReport) limitMessage { return limitMessage{r.Limit, r.Age.Milliseconds()} }),
	}
}

func (m beaconMessage) beacon() Beacon {
	checked := int64(-1)
	if m.CheckedMillis != nil {
		checked = *m.CheckedMillis
	}
	return Beacon{
		VM: m.VM, Incarnation: m.Incarnation, Sequence: m.Sequence, Uptime: millis(m.UptimeMillis), Version: m.Version, AvailabilityZone: m.Zone, Scope: m.Scope, Format: m.Format, Capabilities: m.Capabilities, Forwarded: m.Forwarded, Members: convertAll(m.Members, memberMessage.member), UnreachableReports: m.Reports, VMCount: m.VMCount, Leaving: m.Leaving, StoreDistance: m.StoreDistance, CutOff: m.CutOff,
		QueuedTokens: m.Waiting, SpentTokens: m.Spent, BucketLevels: m.Levels, ReplacedReplicas: m.Replaced, UnreachableReplicas: m.Unreachable,
		TrialParts: m.Trials, ListAge: millis(m.ListReadMillis), ListOffset: m.ListChanged, ListEra: m.ListEra, ListNext: m.ListNext, ListDigest: m.ListDigest, Streams: resumption.Page{From: m.StreamsFrom, Next: m.StreamsNext, Streams: m.Streams}, Question: m.Question, Answer: m.Answer, CheckAge: millis(checked),
		ReplicaLoads:   mapValues(m.Loads, func(load [2]int) placement.Load { return placement.Load{Requests: load[0], Tokens: load[1]} }),
		Suspects:       mapValues(m.Suspects, func(s suspectMessage) quarantine.Evidence { return quarantine.Evidence(s) }),
		EvacuationsEra: m.EvacuationsEra, EvacuationsOffset: m.Evacuations, ColdReplicas: mapValues(m.ColdMillis, millis), ServiceLoads: mapValues(m.Services, serviceLoad), ServiceCalls: serviceCalls(m.Calls),
		ReplicaLimits: mapValues(m.Limits, func(l limitMessage) quota.LimitReport {
			return quota.LimitReport{Limit: l.Limit, Age: millis(l.AgeMillis)}
		}),
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// EncodeBeacon returns the datagram that carries a beacon: a JSON-RPC notification.
func EncodeBeacon(b Beacon) ([]byte, error) {
	request := jsonrpc2.Request{Method: methodBeacon, Notif: true}
	m := newBeaconMessage(b)
	var err error
	if m.List, err = newListMessage(b.List); err != nil {
		return nil, err
	}
	if err := request.SetParams(m); err != nil {
		return nil, err
	}
	return json.Marshal(&request)
}

// DecodeBeacon parses a datagram. Its errors are of type *Error.
func DecodeBeacon(data []byte) (Beacon, error) {
	var request jsonrpc2.Request
	if err := json.Unmarshal(data, &request); err != nil {
		return Beacon{}, &Error{Op: "decode beacon", Kind: ErrFailed, Err: err}
	}
	if request.Method != methodBeacon || request.Params == nil {
		return Beacon{}, &Error{Op: "decode beacon", Kind: ErrFailed, Err: fmt.Errorf("unexpected method %q or missing parameters", request.Method)}
	}
	var m beaconMessage
	if err := json.Unmarshal(*request.Params, &m); err != nil {
		return Beacon{}, &Error{Op: "decode beacon", Kind: ErrFailed, Err: err}
	}
	if m.VM == "" {
		return Beacon{}, &Error{Op: "decode beacon", Kind: ErrFailed, Err: errors.New("field VM is empty")}
	}
	b := m.beacon()
	page, err := m.List.page()
	if err != nil {
		return Beacon{}, &Error{Op: "decode beacon", Kind: ErrFailed, Err: err}
	}
	b.List, b.Declarations = page, m.Declarations.page()
	return b, nil
}

package peer

import (
	"time"

	"github.com/cassiabridge/cassiabridge/dispatch"
	"github.com/cassiabridge/cassiabridge/roster"
)

// The methods of the peer protocol.
const (
	methodChallenge = "Challenge"
	methodHello     = "Hello"
	methodHeartbeat = "Heartbeat"
	methodState     = "State"
	methodBorrow    = "Borrow"
	methodSettle    = "Settle"
	methodWithdraw  = "Withdraw"
	methodJobs      = "Jobs"
	methodDecide    = "Decide"
)

type challengeAnswer struct{ Nonce string }

type helloMessage struct {
	VM, Incarnation, Nonce, Proof string
}

type helloAnswer struct {
	VM, Incarnation, Proof string
}

// heartbeatMessage does not name its sender, which is known from the authenticated connection.
type heartbeatMessage struct {
	Next            uint64
	LogAgeMillis    int64
	Ready, Draining bool                `json:",omitempty"`
	Withdrawn       []roster.Withdrawal `json:",omitempty"`
}

func encodeHeartbeat(h roster.Heartbeat) heartbeatMessage {
	return heartbeatMessage{Next: h.NextOffset, LogAgeMillis: h.LogAge.Milliseconds(), Ready: h.Ready, Draining: h.Draining, Withdrawn: h.Withdrawn}
}

func (m heartbeatMessage) decode(from Identity) roster.Heartbeat {
	return roster.Heartbeat{VM: from.VM, Incarnation: from.Incarnation, NextOffset: m.Next, LogAge: time.Duration(m.LogAgeMillis) * time.Millisecond,
		Ready: m.Ready, Draining: m.Draining, Withdrawn: m.Withdrawn}
}

type stateAnswer struct{ Data []byte }

type borrowMessage struct {
	ID, Account string
	Want        float64
	TermMillis  int64
}

type borrowAnswer struct{ Amount float64 }

type withdrawMessage struct{ Withdrawn []roster.Withdrawal }

type settleMessage struct{ Settlements []Settlement }

// jobMessage carries times relative to the time of sending, because the clocks of VMs differ.
type jobMessage struct {
	ID           string
	Account      string
	Weight       float64
	PromptTokens int
	OutputTokens int
	Prefix       []uint64 `json:",omitempty"`
	AgeMicros    int64
	DueMicros    int64
	GiveUpMicros int64
	Urgent       bool           `json:",omitempty"`
	Avoid        []string       `json:",omitempty"`
	Stage        dispatch.Stage `json:",omitempty"`
	Prefill      string         `json:",omitempty"`
	Decode       string         `json:",omitempty"`
	GapMicros    int64          `json:",omitempty"`
}

type jobsMessage struct {
	Lane      string
	Jobs      []jobMessage      `json:",omitempty"`
	Prefilled []string          `json:",omitempty"`
	Finished  []FinishedJob     `json:",omitempty"`
	Misplaced []DecodeRejection `json:",omitempty"`
	Whole     bool              `json:",omitempty"`
}

func encodeJobs(now time.Time, u JobUpdate) jobsMessage {
	m := jobsMessage{Lane: u.Lane, Prefilled: u.Prefilled, Finished: u.Finished, Misplaced: u.DecodeRejections, Whole: u.Full}
	for _, j := range u.Jobs {
		r := j.Request
		m.Jobs = append(m.Jobs, jobMessage{
			ID: r.ID, Account: r.Account, Weight: r.Weight, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens,
			Prefix: r.Prefix, AgeMicros: now.Sub(r.ArrivedAt).Microseconds(), DueMicros: r.FirstTokenDeadline.Sub(now).Microseconds(),
			GiveUpMicros: r.ExpiresAt.Sub(now).Microseconds(), Urgent: r.Urgent, Avoid: r.Avoid,
			Stage: j.Stage, Prefill: j.PrefillEngine, Decode: j.DecodeEngine, GapMicros: j.TokenGap.Microseconds(),
		})
	}
	return m
}

func (m jobsMessage) decode(now time.Time, from Identity) JobUpdate {
	u := JobUpdate{Lane: m.Lane, Prefilled: m.Prefilled, Finished: m.Finished, DecodeRejections: m.Misplaced, Full: m.Whole}
	for _, j := range m.Jobs {
		u.Jobs = append(u.Jobs, Job{Stage: j.Stage, PrefillEngine: j.Prefill, DecodeEngine: j.Decode, TokenGap: microseconds(j.GapMicros), Request: dispatch.Request{
			ID: j.ID, VM: from.VM, Incarnation: from.Incarnation, Account: j.Account, Weight: j.Weight,
			PromptTokens: j.PromptTokens, OutputTokens: j.OutputTokens, Prefix: j.Prefix,
			ArrivedAt: now.Add(-microseconds(j.AgeMicros)), FirstTokenDeadline: now.Add(microseconds(j.DueMicros)), ExpiresAt: now.Add(microseconds(j.GiveUpMicros)),
			Urgent: j.Urgent, Avoid: j.Avoid,
		}})
	}
	return u
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

type decideMessage struct {
	Lane      string
	Decisions []dispatch.Decision
}

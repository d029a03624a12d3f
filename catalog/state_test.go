package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/cassiabridge/cassiabridge/resource"
)

var epoch = time.Unix(1_800_000_000, 0).UTC()

func account(name string, rate int) resource.Document {
	return resource.Document{Kind: resource.KindClientAccount, Name: name, Spec: json.RawMessage(fmt.Sprintf(`{"TokensPerSecond": %d, "BurstTokens": 10}`, rate))}
}

func keyDocument(name string) resource.Document {
	return resource.Document{Kind: resource.KindKey, Name: name,
		Spec: json.RawMessage(fmt.Sprintf(`{"Account": "a", "Hash": %q}`, resource.HashSecret(name)))}
}

// memoryLog is an in-memory log whose oldest entries can be expired.
type memoryLog struct {
	first   uint64
	entries []Entry
	now     time.Time
}

func newMemoryLog() *memoryLog { return &memoryLog{first: 1, now: epoch} }

func (l *memoryLog) add(records ...Record) {
	for _, r := range records {
		data, _ := r.Encode()
		l.addRaw(data)
	}
}

func (l *memoryLog) addRaw(data []byte) {
	l.now = l.now.Add(100 * time.Millisecond)
	l.entries = append(l.entries, Entry{Offset: l.first + uint64(len(l.entries)), At: l.now, Data: data})
}

func (l *memoryLog) expire(n int) {
	n = min(n, len(l.entries))
	l.entries = l.entries[n:]
	l.first += uint64(n)
}

func (l *memoryLog) replay(t require.TestingT) State {
	r := NewReplay(nil)
	_, err := r.Feed(l.first, l.entries)
	require.NoError(t, err)
	state, complete := r.State()
	require.True(t, complete)
	return state
}

func encoded(t require.TestingT, s State) string {
	data, err := EncodeState(s)
	require.NoError(t, err)
	return string(data)
}

func TestWritePreconditions(t *testing.T) {
	scenarios := []struct {
		name     string
		record   Record
		accepted bool
	}{
		{name: "create", record: Record{ID: "r", Write: &Write{Document: account("b", 1)}}, accepted: true},
		{name: "create an existing resource", record: Record{ID: "r", Write: &Write{Document: account("a", 1)}}},
		{name: "update the current version", record: Record{ID: "r", Write: &Write{Document: account("a", 2), Expect: 1}}, accepted: true},
		{name: "update another version", record: Record{ID: "r", Write: &Write{Document: account("a", 2), Expect: 9}}},
		{name: "invalid resource", record: Record{ID: "r", Write: &Write{Document: account("a", 0), Expect: 1}}},
		{name: "delete", record: Record{ID: "r", Write: &Write{Document: account("a", 1), Expect: 1, Delete: true}}, accepted: true},
		{name: "delete a missing resource", record: Record{ID: "r", Write: &Write{Document: account("c", 1), Delete: true}}},
		{name: "withdraw an unknown key", record: Record{ID: "r", Withdraw: &Withdraw{Key: "x"}}},
		{name: "overwrite a withdrawn key", record: Record{ID: "r", Write: &Write{Document: keyDocument("k"), Expect: 3}}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			l := newMemoryLog()
			l.add(Record{Write: &Write{Document: account("a", 1)}}, Record{Write: &Write{Document: keyDocument("k")}}, Record{Withdraw: &Withdraw{Key: "k"}}, s.record)
			verdict, ok := l.replay(t).Verdict("r")
			assert.True(t, ok)
			assert.Equal(t, s.accepted, verdict.Accepted, verdict.Reason)
		})
	}
}

func TestWithdrawalsAreIdempotent(t *testing.T) {
	l := newMemoryLog()
	l.add(Record{Write: &Write{Document: keyDocument("k")}}, Record{ID: "w1", Withdraw: &Withdraw{Key: "k"}}, Record{ID: "w2", Withdraw: &Withdraw{Key: "k"}})
	s := l.replay(t)
	verdict, _ := s.Verdict("w2")
	assert.True(t, verdict.Accepted)
	assert.Equal(t, uint64(2), s.ConfigVersion, "the second withdrawal must not change the version")
}

func TestOperationAttempts(t *testing.T) {
	begin := func(id string, attempt int) Record {
		return Record{ID: id, Begin: &Begin{Operation: "op", Attempt: attempt, RequestHash: "h"}}
	}
	end := func(id string, attempt int, outcome Outcome, settler string) Record {
		return Record{ID: id, End: &End{Operation: "op", Attempt: attempt, Outcome: outcome, Settler: settler}}
	}
	assertAccepted := func(t *testing.T, s State, id string, want bool) {
		t.Helper()
		verdict, ok := s.Verdict(id)
		assert.True(t, ok, id)
		assert.Equal(t, want, verdict.Accepted, "%s: %s", id, verdict.Reason)
	}
	t.Run("the first of two Begin records is accepted", func(t *testing.T) {
		l := newMemoryLog()
		l.add(begin("b1", 1), begin("b2", 1))
		assertAccepted(t, l.replay(t), "b1", true)
		assertAccepted(t, l.replay(t), "b2", false)
	})
	t.Run("a new attempt requires the previous one to be settled as not run", func(t *testing.T) {
		l := newMemoryLog()
		l.add(begin("b1", 1), begin("b2", 2), end("e1", 1, OutcomeNotRun, ""), begin("b3", 2), end("e2", 2, OutcomeDone, ""), begin("b4", 3))
		s := l.replay(t)
		assertAccepted(t, s, "b2", false)
		assertAccepted(t, s, "b3", true)
		assertAccepted(t, s, "b4", false)
	})
	t.Run("only the writer may settle as not run before settleDelay", func(t *testing.T) {
		l := newMemoryLog()
		l.add(begin("b1", 1), end("early", 1, OutcomeNotRun, "operator"))
		l.now = l.now.Add(settleDelay)
		l.add(end("late", 1, OutcomeNotRun, "operator"))
		assertAccepted(t, l.replay(t), "early", false)
		assertAccepted(t, l.replay(t), "late", true)
	})
	t.Run("settled operations expire and operations in doubt do not", func(t *testing.T) {
		l := newMemoryLog()
		l.add(begin("b1", 1), Record{ID: "x", Begin: &Begin{Operation: "doubt", Attempt: 1}}, end("e1", 1, OutcomeDone, ""))
		l.now = l.now.Add(OperationRetention + time.Hour)
		l.add(Record{ID: "y", Begin: &Begin{Operation: "new", Attempt: 1}})
		s := l.replay(t)
		_, known := s.Operation("op")
		assert.False(t, known)
		_, known = s.Operation("doubt")
		assert.True(t, known)
	})
}

func TestReplay(t *testing.T) {
	newFilledLog := func() *memoryLog {
		l := newMemoryLog()
		for n := range 20 {
			l.add(Record{ID: fmt.Sprint(n), Write: &Write{Document: account(fmt.Sprint("a", n), 1)}})
		}
		return l
	}
	appendSnapshot := func(l *memoryLog, s State) {
		records, err := SnapshotRecords(s, Instance{VM: "vm", Incarnation: "i"})
		require.NoError(t, err)
		l.add(records...)
	}
	t.Run("a snapshot replaces expired records", func(t *testing.T) {
		l := newFilledLog()
		appendSnapshot(l, l.replay(t))
		l.add(Record{ID: "after", Write: &Write{Document: account("after", 1)}})
		want := l.replay(t).Documents("")
		l.expire(20)
		assert.Equal(t, want, l.replay(t).Documents(""))
	})
	t.Run("the state is incomplete if records expired without a snapshot", func(t *testing.T) {
		l := newFilledLog()
		l.expire(5)
		r := NewReplay(nil)
		_, err := r.Feed(l.first, l.entries)
		assert.NoError(t, err)
		_, complete := r.State()
		assert.False(t, complete)
	})
	t.Run("a snapshot with a missing chunk is not used", func(t *testing.T) {
		l := newFilledLog()
		records, _ := SnapshotRecords(l.replay(t), Instance{VM: "vm"})
		records[0].Snapshot.Count = 2
		l.add(records[0], records[0])
		l.expire(20)
		r := NewReplay(nil)
		_, _ = r.Feed(l.first, l.entries)
		_, complete := r.State()
		assert.False(t, complete)
	})
	t.Run("an older state is not adopted", func(t *testing.T) {
		l := newFilledLog()
		older := l.replay(t)
		l.add(Record{ID: "after", Write: &Write{Document: account("after", 1)}})
		newer := l.replay(t)
		r := NewReplay(&newer)
		assert.False(t, r.Adopt(older))
		state, _ := r.State()
		assert.Equal(t, newer.Next, state.Next)
	})
	t.Run("records of unknown kinds are kept in snapshots", func(t *testing.T) {
		l := newFilledLog()
		l.addRaw([]byte(`{"ID": "new", "Future": {"A": 1}}`))
		state, err := DecodeState([]byte(encoded(t, l.replay(t))))
		assert.NoError(t, err)
		assert.Equal(t, 1, state.unknownRecords.Len())
	})
	t.Run("a gap is an error", func(t *testing.T) {
		l := newFilledLog()
		r := NewReplay(nil)
		_, err := r.Feed(1, l.entries[3:])
		assert.Error(t, err)
	})
}

// oracle is a reference model of State. It tracks the version of each resource, and the last attempt
// of each operation and whether another may follow.
type oracle struct {
	versions  map[string]uint64
	attempts  map[string]int
	retryable map[string]bool
}

func TestApplyMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newMemoryLog()
		m := oracle{versions: map[string]uint64{}, attempts: map[string]int{}, retryable: map[string]bool{}}
		state := NewState()
		for n := range rapid.IntRange(1, 60).Draw(t, "records") {
			record := drawRecord(t, fmt.Sprint("r", n), m)
			l.add(record)
			entry := l.entries[len(l.entries)-1]
			want := m.apply(record, entry.Offset)
			next, _, err := state.Apply(entry)
			require.NoError(t, err)
			state = next
			verdict, _ := state.Verdict(record.ID)
			require.Equal(t, want, verdict.Accepted, "%+v: %s", record, verdict.Reason)
		}
		again, _, _ := state.Apply(l.entries[0])
		require.Equal(t, state.Next, again.Next, "an entry that was applied already must change nothing")
		requireSameStateFromSnapshot(t, l, state)
	})
}

// requireSameStateFromSnapshot encodes and decodes the state at a random offset, replays the rest of
// the log on it and requires the result to equal want.
func requireSameStateFromSnapshot(t *rapid.T, l *memoryLog, want State) {
	split := rapid.IntRange(0, len(l.entries)).Draw(t, "split")
	firstReplay := NewReplay(nil)
	_, err := firstReplay.Feed(1, l.entries[:split])
	require.NoError(t, err)
	stateAtSplit, _ := firstReplay.State()
	restored, err := DecodeState([]byte(encoded(t, stateAtSplit)))
	require.NoError(t, err)
	secondReplay := NewReplay(&restored)
	_, err = secondReplay.Feed(1, l.entries[split:])
	require.NoError(t, err)
	got, _ := secondReplay.State()
	require.Equal(t, encoded(t, want), encoded(t, got))
}

func drawRecord(t *rapid.T, id string, m oracle) Record {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name")
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		expect := rapid.SampledFrom([]uint64{0, m.versions[name], 3}).Draw(t, "expect")
		return Record{ID: id, Write: &Write{Document: account(name, 1), Expect: expect, Delete: rapid.Bool().Draw(t, "delete")}}
	case 1:
		return Record{ID: id, Begin: &Begin{Operation: name, Attempt: rapid.IntRange(1, 3).Draw(t, "attempt")}}
	case 2:
		outcome := rapid.SampledFrom([]Outcome{OutcomeDone, OutcomeNotRun}).Draw(t, "outcome")
		return Record{ID: id, End: &End{Operation: name, Attempt: rapid.IntRange(1, 3).Draw(t, "attempt"), Outcome: outcome}}
	}
	return Record{ID: id, Withdraw: &Withdraw{Key: name}}
}

// apply updates the oracle with a record and returns whether State must accept it.
func (m oracle) apply(r Record, offset uint64) bool {
	switch {
	case r.Write != nil:
		name := r.Write.Document.Name
		version, exists := m.versions[name]
		if r.Write.Expect != version || (r.Write.Delete && !exists) {
			return false
		}
		m.versions[name] = offset
		if r.Write.Delete {
			delete(m.versions, name)
		}
		return true
	case r.Begin != nil:
		op := r.Begin.Operation
		first := m.attempts[op] == 0 && r.Begin.Attempt == 1
		again := m.retryable[op] && r.Begin.Attempt == m.attempts[op]+1
		if first || again {
			m.attempts[op], m.retryable[op] = r.Begin.Attempt, false
			m.versions["begun/"+op] = 1
		}
		return first || again
	case r.End != nil:
		op := r.End.Operation
		begun := m.versions["begun/"+op] == 1 && m.attempts[op] == r.End.Attempt
		if begun {
			delete(m.versions, "begun/"+op)
			m.retryable[op] = r.End.Outcome == OutcomeNotRun
		}
		return begun
	}
	return false
}

func FuzzDecodeRecord(f *testing.F) {
	good, _ := Record{ID: "r", Write: &Write{Document: account("a", 1)}}.Encode()
	for _, seed := range [][]byte{good, nil, []byte("{}"), []byte(`{"Move": {"Slots": [-1, 99]}}`), []byte(`{"Snapshot": {"Index": 5}}`), []byte(`[1]`)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		state, _, err := NewState().Apply(Entry{Offset: 1, At: epoch, Data: data})
		require.NoError(t, err)
		require.Equal(t, uint64(2), state.Next)
		_, err = EncodeState(state)
		require.NoError(t, err)
		_, _ = NewReplay(nil).Feed(5, []Entry{{Offset: 5, At: epoch, Data: data}})
	})
}

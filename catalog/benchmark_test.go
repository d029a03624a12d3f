package catalog

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/cassiabridge/cassiabridge/resource"
)

// buildState returns a state with the given numbers of accounts, each with a key, of upstreams and
// of settled operations.
func buildState(b *testing.B, accounts, upstreams, operations int) State {
	l := newMemoryLog()
	for n := range accounts {
		l.add(Record{ID: fmt.Sprint("a", n), Write: &Write{Document: account(fmt.Sprint("account-", n), 1000)}})
		l.add(Record{ID: fmt.Sprint("k", n), Write: &Write{Document: keyDocument(fmt.Sprint("key-", n))}})
	}
	for n := range upstreams {
		doc := resource.Document{Kind: resource.KindUpstream, Name: fmt.Sprint("u", n), Spec: []byte(`{"Pool": "decode", "Address": "10.0.0.1:7000"}`)}
		l.add(Record{ID: fmt.Sprint("u", n), Write: &Write{Document: doc}})
	}
	for n := range operations {
		id := fmt.Sprint("account/release/job-", n)
		l.add(Record{ID: fmt.Sprint("b", n), Begin: &Begin{Operation: id, Attempt: 1, RequestHash: resource.HashSecret(id)}},
			Record{ID: fmt.Sprint("e", n), End: &End{Operation: id, Attempt: 1, Outcome: OutcomeDone, Answer: Answer{Status: 200, Body: make([]byte, 100)}}})
	}
	return l.replay(b)
}

// BenchmarkMemory reports the heap and snapshot bytes that the state and its view take per entry.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ accounts, upstreams, operations int }{{1300, 0, 0}, {0, 10_000, 0}, {0, 0, 10_000}, {0, 0, 40_000}} {
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d/operations=%d", size.accounts, size.upstreams, size.operations), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				state := buildState(b, size.accounts, size.upstreams, size.operations)
				view := NewView(state, nil, nil)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.accounts+size.upstreams+size.operations), "B/entry")
				data, _ := EncodeState(state)
				b.ReportMetric(float64(len(data))/float64(size.accounts+size.upstreams+size.operations), "snapshot-B/entry")
				runtime.KeepAlive(view)
			}
		})
	}
}

// BenchmarkView measures the rebuild of a View after a configuration change, with all specs cached.
func BenchmarkView(b *testing.B) {
	for _, size := range []struct{ accounts, upstreams int }{{5, 18}, {1300, 18}, {1300, 1000}, {1300, 10_000}} {
		state := buildState(b, size.accounts, size.upstreams, 0)
		b.Run(fmt.Sprintf("accounts=%d/upstreams=%d", size.accounts, size.upstreams), func(b *testing.B) {
			view := NewView(state, nil, nil)
			for b.Loop() {
				view = NewView(state, nil, view)
			}
		})
	}
}

// BenchmarkApply measures the application of one record and reports its encoded size.
func BenchmarkApply(b *testing.B) {
	state := buildState(b, 1300, 1000, 10_000)
	write, _ := Record{ID: "w", Write: &Write{Document: account("new", 5)}}.Encode()
	begin, _ := Record{ID: "b", Begin: &Begin{Operation: "new", Attempt: 1}}.Encode()
	for name, data := range map[string][]byte{"write": write, "begin": begin} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				_, _, _ = state.Apply(Entry{Offset: state.Next, At: epoch, Data: data})
			}
			b.ReportMetric(float64(len(data)), "B/record")
		})
	}
}

// BenchmarkSnapshot measures encoding and decoding of a state at the size that the design targets.
func BenchmarkSnapshot(b *testing.B) {
	state := buildState(b, 1300, 10_000, 0)
	data, _ := EncodeState(state)
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = EncodeState(state)
		}
		b.ReportMetric(float64(len(data)), "B")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = DecodeState(data)
		}
	})
}

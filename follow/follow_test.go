package follow

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var errGone = errors.New("gone")

// fakeTopic is a topic in memory that can be away and can forget.
type fakeTopic struct {
	mu      sync.Mutex
	records []Record
	first   uint64
	fail    error
	hang    bool
	newests int
	reads   int
}

func (f *fakeTopic) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, Record{Key: key, Value: []byte(value), Offset: uint64(len(f.records))})
}

func (f *fakeTopic) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTopic) newest(context.Context) ([]Record, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newests++
	return append([]Record{}, f.records...), uint64(len(f.records)), f.fail
}

func (f *fakeTopic) read(ctx context.Context, from uint64, wait time.Duration) ([]Record, error) {
	deadline := time.Now().Add(wait)
	f.set(func() { f.reads++ })
	for {
		f.mu.Lock()
		fail, hang, first := f.fail, f.hang, f.first
		records := append([]Record{}, f.records[min(from, uint64(len(f.records))):]...)
		f.mu.Unlock()
		switch {
		case hang:
			<-ctx.Done()
			return nil, ctx.Err()
		case fail != nil:
			return nil, fail
		case from < first:
			return nil, errGone
		case len(records) > 0 || time.Now().After(deadline):
			return records, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// collected gathers what a follower passes on.
type collected struct {
	mu      sync.Mutex
	values  map[string]string
	batches []Batch
}

func (c *collected) apply(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Whole {
		c.values = map[string]string{}
	}
	for _, r := range b.Records {
		c.values[r.Key] = string(r.Value)
	}
	c.batches = append(c.batches, b)
}

func (c *collected) value(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key]
}

func (c *collected) outage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for _, b := range c.batches {
		longest = max(longest, b.Outage)
	}
	return longest
}

func startFollower(t *testing.T, topic *fakeTopic, opts ...Option) (*Follower, *collected) {
	t.Helper()
	got := &collected{values: map[string]string{}}
	opts = append([]Option{WithWait(50 * time.Millisecond), WithExpired(func(err error) bool { return errors.Is(err, errGone) })}, opts...)
	f := New(Topic{Name: "t", Newest: topic.newest, Read: topic.read}, got.apply, opts...)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, got
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	require.Eventually(t, holds, 5*time.Second, 2*time.Millisecond, what)
}

func TestFollower(t *testing.T) {
	t.Run("takes the newest and then what comes", func(t *testing.T) {
		topic := &fakeTopic{}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		eventually(t, "the newest", func() bool { return got.value("a") == "1" })
		topic.put("a", "2")
		eventually(t, "a later one", func() bool { return got.value("a") == "2" })
		assert.Equal(t, 1, topic.newests)
	})
	t.Run("outlasts an outage and says how long it was", func(t *testing.T) {
		topic := &fakeTopic{}
		_, got := startFollower(t, topic)
		topic.set(func() { topic.fail = errors.New("down") })
		topic.put("a", "1")
		time.Sleep(300 * time.Millisecond)
		assert.Empty(t, got.value("a"))
		topic.set(func() { topic.fail = nil })
		eventually(t, "the record", func() bool { return got.value("a") == "1" })
		assert.Greater(t, got.outage(), 150*time.Millisecond)
	})
	t.Run("starts during an outage", func(t *testing.T) {
		topic := &fakeTopic{fail: errors.New("down")}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		time.Sleep(100 * time.Millisecond)
		topic.set(func() { topic.fail = nil })
		eventually(t, "the newest", func() bool { return got.value("a") == "1" })
	})
	t.Run("reads all anew after records were dropped", func(t *testing.T) {
		topic := &fakeTopic{}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		eventually(t, "the newest", func() bool { return got.value("a") == "1" })
		topic.set(func() {
			topic.records = append(topic.records, Record{Key: "a", Value: []byte("2"), Offset: 1})
			topic.first = 2
		})
		eventually(t, "the newest again", func() bool { return got.value("a") == "2" })
	})
	t.Run("reads at once when nudged out of a connection that is silent", func(t *testing.T) {
		topic := &fakeTopic{}
		nudges := make(chan struct{}, 1)
		_, got := startFollower(t, topic, WithWait(20*time.Second), WithNudges(nudges))
		eventually(t, "a read", func() bool { topic.mu.Lock(); defer topic.mu.Unlock(); return topic.reads > 0 })
		topic.set(func() { topic.hang = true })
		topic.put("a", "1")
		time.Sleep(10 * time.Millisecond)
		nudges <- struct{}{}
		eventually(t, "the record", func() bool { return got.value("a") == "1" })
	})
	t.Run("keeps its pace", func(t *testing.T) {
		topic := &fakeTopic{}
		_, _ = startFollower(t, topic, WithWait(0), WithPace(100*time.Millisecond))
		time.Sleep(350 * time.Millisecond)
		topic.mu.Lock()
		defer topic.mu.Unlock()
		assert.LessOrEqual(t, topic.newests+topic.reads, 5)
	})
}

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

var errExpired = errors.New("records expired")

// fakeTopic is a topic in memory. It can fail, hang and drop the records before firstOffset.
type fakeTopic struct {
	mu          sync.Mutex
	records     []Record
	firstOffset uint64
	era         uint64
	err         error
	// hang leaves reads that wait for records without an answer.
	hang        bool
	newestCalls int
	readCalls   int
}

func (f *fakeTopic) put(key, value string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, Record{Key: key, Value: []byte(value), Offset: uint64(len(f.records))})
}

func (f *fakeTopic) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeTopic) newest(context.Context) (Range, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newestCalls++
	return Range{Records: append([]Record{}, f.records...), Next: uint64(len(f.records)), Era: f.era}, f.err
}

func (f *fakeTopic) read(ctx context.Context, from uint64, wait time.Duration) (Range, error) {
	deadline := time.Now().Add(wait)
	f.update(func() { f.readCalls++ })
	for {
		f.mu.Lock()
		fail, hang, first, era := f.err, f.hang, f.firstOffset, f.era
		records := append([]Record{}, f.records[min(from, uint64(len(f.records))):]...)
		f.mu.Unlock()
		switch {
		case hang && wait > 0:
			<-ctx.Done()
			return Range{}, ctx.Err()
		case fail != nil:
			return Range{}, fail
		case from < first:
			return Range{}, errExpired
		case len(records) > 0 || time.Now().After(deadline):
			return Range{Records: records, Next: from + uint64(len(records)), Era: era}, nil
		}
		select {
		case <-ctx.Done():
			return Range{}, ctx.Err()
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// reads returns the number of reads that have begun, but for those of snapshots.
func (f *fakeTopic) reads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readCalls
}

// batchRecorder records the batches that a follower delivers.
type batchRecorder struct {
	mu      sync.Mutex
	values  map[string]string
	batches []Batch
}

func (c *batchRecorder) apply(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Snapshot {
		c.values = map[string]string{}
	}
	for _, r := range b.Records {
		c.values[r.Key] = string(r.Value)
	}
	c.batches = append(c.batches, b)
}

func (c *batchRecorder) value(key string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[key]
}

// last returns the last batch that had records.
func (c *batchRecorder) last() Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(c.batches) - 1; i > 0; i-- {
		if len(c.batches[i].Records) > 0 {
			return c.batches[i]
		}
	}
	return c.batches[0]
}

func (c *batchRecorder) longestOutage() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := time.Duration(0)
	for _, b := range c.batches {
		longest = max(longest, b.Outage)
	}
	return longest
}

func startFollower(t *testing.T, topic *fakeTopic, opts ...Option) (*Follower, *batchRecorder) {
	t.Helper()
	got := &batchRecorder{values: map[string]string{}}
	opts = append([]Option{WithWait(50 * time.Millisecond), WithExpired(func(err error) bool { return errors.Is(err, errExpired) })}, opts...)
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
	t.Run("reads a snapshot and then new records", func(t *testing.T) {
		topic := &fakeTopic{}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		eventually(t, "snapshot", func() bool { return got.value("a") == "1" })
		topic.put("a", "2")
		eventually(t, "record appended later", func() bool { return got.value("a") == "2" })
		assert.Equal(t, 1, topic.newestCalls)
	})
	t.Run("recovers from an outage and reports its duration", func(t *testing.T) {
		topic := &fakeTopic{}
		_, got := startFollower(t, topic)
		topic.update(func() { topic.err = errors.New("down") })
		topic.put("a", "1")
		time.Sleep(300 * time.Millisecond)
		assert.Empty(t, got.value("a"))
		topic.update(func() { topic.err = nil })
		eventually(t, "record", func() bool { return got.value("a") == "1" })
		assert.Greater(t, got.longestOutage(), 150*time.Millisecond)
	})
	t.Run("starts during an outage", func(t *testing.T) {
		topic := &fakeTopic{err: errors.New("down")}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		time.Sleep(100 * time.Millisecond)
		topic.update(func() { topic.err = nil })
		eventually(t, "snapshot", func() bool { return got.value("a") == "1" })
	})
	t.Run("reads a new snapshot after records expired", func(t *testing.T) {
		topic := &fakeTopic{}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		eventually(t, "snapshot", func() bool { return got.value("a") == "1" })
		topic.update(func() {
			topic.records = append(topic.records, Record{Key: "a", Value: []byte("2"), Offset: 1})
			topic.firstOffset = 2
		})
		eventually(t, "new snapshot", func() bool { return got.value("a") == "2" })
	})
	t.Run("wakeup interrupts a read on a hanging connection", func(t *testing.T) {
		topic := &fakeTopic{}
		wakeups := make(chan struct{}, 1)
		_, got := startFollower(t, topic, WithWait(20*time.Second), WithWakeups(wakeups))
		eventually(t, "first read", func() bool { topic.mu.Lock(); defer topic.mu.Unlock(); return topic.readCalls > 0 })
		topic.update(func() { topic.hang = true })
		topic.put("a", "1")
		time.Sleep(10 * time.Millisecond)
		wakeups <- struct{}{}
		eventually(t, "record", func() bool { return got.value("a") == "1" })
	})
	t.Run("reads a new snapshot in a new era, though its offset exists in it", func(t *testing.T) {
		topic := &fakeTopic{era: 1}
		topic.put("a", "1")
		_, got := startFollower(t, topic)
		eventually(t, "snapshot", func() bool { return got.value("a") == "1" })
		topic.update(func() {
			topic.records = []Record{{Key: "b", Value: []byte("2")}, {Key: "c", Value: []byte("3"), Offset: 1}}
			topic.era = 2
		})
		eventually(t, "new snapshot", func() bool { return got.value("b") == "2" && got.value("c") == "3" && got.value("a") == "" })
		last := got.last()
		assert.True(t, last.Snapshot && last.Restored, "%+v", last)
		assert.Equal(t, uint64(2), last.Era)
	})
	t.Run("pauses between reads", func(t *testing.T) {
		topic := &fakeTopic{}
		_, _ = startFollower(t, topic, WithWait(0), WithInterval(100*time.Millisecond))
		time.Sleep(350 * time.Millisecond)
		topic.mu.Lock()
		defer topic.mu.Unlock()
		assert.LessOrEqual(t, topic.newestCalls+topic.readCalls, 5)
	})
}

// TestLostAnswerHidesNewRecords guards against a waiting read whose answer is lost, which hides records for as long as it
// waits.
func TestLostAnswerHidesNewRecords(t *testing.T) {
	start := func(t *testing.T) (*Follower, *fakeTopic) {
		topic := &fakeTopic{era: 1}
		topic.put("a", "1")
		f, got := startFollower(t, topic, WithWait(20*time.Second))
		eventually(t, "waiting read", func() bool { topic.mu.Lock(); defer topic.mu.Unlock(); return topic.readCalls > 0 })
		require.Equal(t, "1", got.value("a"))
		topic.update(func() { topic.hang = true })
		// The read under way notices that it hangs.
		time.Sleep(20 * time.Millisecond)
		return f, topic
	}
	assertUpToDate := func(t *testing.T, f *Follower, want bool) {
		t.Helper()
		got, err := f.UpToDate(context.Background())
		assert.NoError(t, err)
		assert.Equal(t, want, got)
	}
	t.Run("no new records", func(t *testing.T) {
		f, _ := start(t)
		assertUpToDate(t, f, true)
	})
	t.Run("new records", func(t *testing.T) {
		f, topic := start(t)
		topic.put("a", "2")
		assertUpToDate(t, f, false)
	})
	t.Run("another era", func(t *testing.T) {
		f, topic := start(t)
		topic.update(func() { topic.era = 2 })
		assertUpToDate(t, f, false)
	})
	t.Run("the records to read are gone", func(t *testing.T) {
		f, topic := start(t)
		topic.update(func() { topic.firstOffset = 5 })
		assertUpToDate(t, f, false)
	})
	t.Run("the store fails", func(t *testing.T) {
		f, topic := start(t)
		topic.update(func() { topic.err = errors.New("down") })
		_, err := f.UpToDate(context.Background())
		assert.Error(t, err)
	})
	t.Run("nothing has been read yet", func(t *testing.T) {
		f, _ := startFollower(t, &fakeTopic{err: errors.New("down")})
		_, err := f.UpToDate(context.Background())
		assert.ErrorIs(t, err, errNoSnapshot)
	})
}

// TestFollowerBeginsWhereItWasAdvancedTo guards against a follower that reads what is known from elsewhere.
func TestFollowerBeginsWhereItWasAdvancedTo(t *testing.T) {
	topic := &fakeTopic{era: 3}
	for range 5 {
		topic.put("k", "v")
	}
	wakeups, batches := make(chan struct{}, 1), make(chan Batch, 10)
	f := New(Topic{Name: "t", Newest: topic.newest, Read: topic.read}, func(b Batch) { batches <- b }, WithInterval(time.Hour), WithWakeups(wakeups), WithFirstReadOnWakeup())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	f.Advance(4, 3)
	select {
	case <-batches:
		require.Fail(t, "it reads before the first wakeup")
	case <-time.After(50 * time.Millisecond):
	}
	wakeups <- struct{}{}
	first := <-batches
	assert.False(t, first.Snapshot)
	assert.Len(t, first.Records, 1)
	f.Advance(2, 3)
	wakeups <- struct{}{}
	assert.Empty(t, (<-batches).Records, "it never goes back")
	cancel()
	<-done
	topic.update(func() { assert.Zero(t, topic.newestCalls) })
}

// TestPausedFollowerReads guards against a follower that goes on asking the store for what becomes known from elsewhere, or that misses
// what was appended meanwhile.
func TestPausedFollowerReads(t *testing.T) {
	newPaused := func(t *testing.T) (*fakeTopic, *Follower, *batchRecorder, chan struct{}) {
		topic, wakeups := &fakeTopic{}, make(chan struct{}, 1)
		topic.put("a", "1")
		f, got := startFollower(t, topic, WithWait(10*time.Second), WithWakeups(wakeups))
		eventually(t, "waiting read", func() bool { return got.value("a") == "1" && topic.reads() == 1 })
		f.SetPaused(true)
		time.Sleep(30 * time.Millisecond)
		return topic, f, got, wakeups
	}
	t.Run("nothing while it pauses", func(t *testing.T) {
		topic, _, got, _ := newPaused(t)
		topic.put("a", "2")
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, 1, topic.reads())
		assert.Equal(t, "1", got.value("a"))
	})
	t.Run("at a wakeup", func(t *testing.T) {
		topic, _, got, wakeups := newPaused(t)
		topic.put("a", "2")
		wakeups <- struct{}{}
		eventually(t, "2", func() bool { return got.value("a") == "2" })
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, 1, topic.reads(), "it pauses again")
	})
	t.Run("what was appended during the pause", func(t *testing.T) {
		topic, f, got, _ := newPaused(t)
		topic.put("a", "2")
		f.SetPaused(false)
		eventually(t, "2", func() bool { return got.value("a") == "2" })
	})
	t.Run("from where others know it", func(t *testing.T) {
		topic, f, got, _ := newPaused(t)
		topic.put("b", "known")
		f.Advance(2, 0)
		time.Sleep(20 * time.Millisecond)
		upToDate, err := f.UpToDate(t.Context())
		assert.NoError(t, err)
		assert.True(t, upToDate)
		topic.put("c", "new")
		f.SetPaused(false)
		eventually(t, "new", func() bool { return got.value("c") == "new" })
		assert.Empty(t, got.value("b"))
	})
}

// TestWakeupGivesUpAnAnswerThatArrives guards against a follower that asks again for what is on its way to it.
func TestWakeupGivesUpAnAnswerThatArrives(t *testing.T) {
	wakeups := make(chan struct{}, 1)
	topic := &fakeTopic{}
	topic.put("a", "1")
	started, givenUp := make(chan struct{}, 1), make(chan struct{}, 1)
	read := func(ctx context.Context, from uint64, wait time.Duration) (Range, error) {
		RecordProgress(ctx)
		select {
		case started <- struct{}{}:
		default:
		}
		select {
		case <-ctx.Done():
			givenUp <- struct{}{}
			return Range{}, ctx.Err()
		case <-time.After(100 * time.Millisecond):
		}
		return topic.read(ctx, from, 0)
	}
	f := New(Topic{Name: "t", Newest: topic.newest, Read: read}, func(Batch) {}, WithWait(time.Minute), WithWakeups(wakeups))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.Run(ctx)
	<-started
	wakeups <- struct{}{}
	select {
	case <-givenUp:
		t.Error("the answer was given up")
	case <-time.After(60 * time.Millisecond):
	}
}

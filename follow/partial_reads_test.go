package follow

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRestOfALongReadWaits guards against records that the follower knows to be there and reads only after its interval, and against the
// time of a read that is that of its answer.
func TestRestOfALongReadWaits(t *testing.T) {
	const total = 3
	var batches []Batch
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	topic := Topic{Name: "t", Newest: func(context.Context) (Range, error) { return Range{}, nil }, Read: func(_ context.Context, from uint64, _ time.Duration) (Range, error) {
		time.Sleep(20 * time.Millisecond)
		return Range{Records: []Record{{Key: "k", Offset: from}}, Next: from + 1, Partial: from+1 < total}, nil
	}}
	wakeups := make(chan struct{}, 1)
	f := New(topic, func(b Batch) {
		assert.GreaterOrEqual(t, time.Since(b.SentAt), time.Duration(len(b.Records))*20*time.Millisecond, "when the read was sent")
		if batches = append(batches, b); len(batches) == 1+total {
			close(done)
		}
	}, WithInterval(time.Hour), WithWakeups(wakeups))
	go f.Run(ctx)
	wakeups <- struct{}{}
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("the rest is not read")
	}
	assert.Equal(t, []bool{false, true, true, false}, []bool{batches[0].Partial, batches[1].Partial, batches[2].Partial, batches[3].Partial})
}

package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestListQueue(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	t.Run("readers of other groups come first", func(t *testing.T) {
		q := newListQueue()
		q.add(now, "mate", listPosition{}, false)
		q.add(now, "reader", listPosition{}, true)
		q.add(now, "mate", listPosition{}, false)
		assert.Equal(t, []string{"reader", "mate", ""}, []string{q.take(now), q.take(now), q.take(now)})
	})
	t.Run("a VM that has not asked again has got the list elsewhere", func(t *testing.T) {
		q := newListQueue()
		q.add(now, "a", listPosition{}, false)
		q.add(now, "b", listPosition{}, false)
		q.add(now.Add(listQueuePatience), "b", listPosition{}, false)
		assert.Equal(t, "b", q.take(now.Add(listQueuePatience+time.Millisecond)))
	})
	t.Run("what was sent passes the link first", func(t *testing.T) {
		q := newListQueue()
		q.add(now, "a", listPosition{}, false)
		assert.LessOrEqual(t, q.dueIn(now), time.Duration(0))
		q.recordSent(now, listBytesPerSecond/listEntryBytes/2)
		assert.Equal(t, time.Second/2, q.dueIn(now))
		assert.LessOrEqual(t, q.dueIn(now.Add(time.Second/2)), time.Duration(0))
	})
}

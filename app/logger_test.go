package app

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"go.uber.org/zap"

	"github.com/cassiabridge/cassiabridge/settings"
)

// blockableWriter blocks writes while mu is held.
type blockableWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockableWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestAsyncLoggerNeverBlocks(t *testing.T) {
	w := &blockableWriter{}
	dropped := int64(0)
	log, _, closeLog := newAsyncLogger(w, settings.Settings{VM: "vm-1"}, func(lines int64) { dropped += lines })
	w.mu.Lock()
	start := time.Now()
	for range 3 * logQueueSize {
		log.Info("event", zap.Int("N", 1))
	}
	assert.Less(t, time.Since(start), 5*time.Second)
	w.mu.Unlock()
	closeLog()
	lines := strings.Count(w.written.String(), "Event=event")
	assert.Greater(t, lines, 100)
	assert.LessOrEqual(t, lines, 2*maxLinesPerSecond)
	assert.Contains(t, w.written.String(), "Event=log-lines-dropped")
	assert.Equal(t, int64(3*logQueueSize-lines), dropped, "every line is either written or counted as dropped")
	log.Info("after the end")
}

func TestLogLevels(t *testing.T) {
	w := &blockableWriter{}
	log, level, closeLog := newAsyncLogger(w, settings.Settings{Log: settings.Log{Level: "warn"}}, func(int64) {})
	log.Info("left-out")
	setLevel(level, settings.Settings{Log: settings.Log{Level: "debug"}})
	log.Debug("taken")
	closeLog()
	assert.NotContains(t, w.written.String(), "left-out")
	assert.Contains(t, w.written.String(), "Event=taken")
}

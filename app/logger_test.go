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

// stalledWriter does not take anything until it is released.
type stalledWriter struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *stalledWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestLogNeverBlocks(t *testing.T) {
	w := &stalledWriter{}
	dropped := int64(0)
	log, _, closeLog := newTrafficLogger(w, settings.Settings{VM: "vm-1"}, func(lines int64) { dropped += lines })
	w.mu.Lock()
	began := time.Now()
	for range 3 * logQueue {
		log.Info("event", zap.Int("N", 1))
	}
	assert.Less(t, time.Since(began), 5*time.Second)
	w.mu.Unlock()
	closeLog()
	lines := strings.Count(w.written.String(), "Event=event")
	assert.Greater(t, lines, 100)
	assert.LessOrEqual(t, lines, 2*maxLinesPerSecond)
	assert.Contains(t, w.written.String(), "Event=log-lines-dropped")
	assert.Equal(t, int64(3*logQueue-lines), dropped, "every line is written or counted")
	log.Info("after the end")
}

func TestLogLevels(t *testing.T) {
	w := &stalledWriter{}
	log, level, closeLog := newTrafficLogger(w, settings.Settings{Log: settings.Log{Level: "warn"}}, func(int64) {})
	log.Info("left-out")
	setLevel(level, settings.Settings{Log: settings.Log{Level: "debug"}})
	log.Debug("taken")
	closeLog()
	assert.NotContains(t, w.written.String(), "left-out")
	assert.Contains(t, w.written.String(), "Event=taken")
}

package app

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cassiabridge/cassiabridge/settings"
)

const (
	// logQueueSize is the number of lines that can be queued for writing. Further lines are dropped and counted.
	logQueueSize = 2048
	// logFlushInterval is how long a line may be held back to be written in a batch with later ones.
	logFlushInterval = 50 * time.Millisecond
	// maxLogBatchBytes is the size at which a batch is written without waiting for further lines.
	maxLogBatchBytes = 32 << 10
	// logCloseTimeout bounds how long the end of a process waits until its last lines are written.
	logCloseTimeout = 100 * time.Millisecond
	// maxLinesPerSecond limits the volume of the log. Further lines are dropped and counted.
	maxLinesPerSecond = 1000
)

func encoderConfig() zapcore.EncoderConfig {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey, encoding.LevelKey, encoding.MessageKey = "Time", "Level", "Event"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return encoding
}

func setLevel(level zap.AtomicLevel, cfg settings.Settings) {
	parsed, err := zapcore.ParseLevel(cfg.Log.Level)
	if err != nil {
		parsed = zapcore.InfoLevel
	}
	level.SetLevel(parsed)
}

// newAsyncLogger returns a logger that never blocks, its adjustable level, and a function that flushes and closes it.
// dropped is called with the number of lines dropped since its last call.
func newAsyncLogger(w io.Writer, cfg settings.Settings, dropped func(lines int64)) (*zap.Logger, zap.AtomicLevel, func()) {
	level := zap.NewAtomicLevel()
	setLevel(level, cfg)
	lines := newLineWriter(w, dropped)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), lines, level)
	return zap.New(core).With(zap.String("VM", cfg.VM)), level, lines.close
}

// lineWriter writes log lines in the background. It drops lines above the limits and logs how many were dropped.
type lineWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// done is closed once all lines are written.
	done chan struct{}
	// onDropped is called with the number of lines dropped since its last call.
	onDropped func(lines int64)

	mu              sync.Mutex
	currentSecond   int64
	linesThisSecond int
	closed          bool
}

func newLineWriter(out io.Writer, onDropped func(lines int64)) *lineWriter {
	w := &lineWriter{out: out, onDropped: onDropped, lines: make(chan []byte, logQueueSize), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues or drops the line, and never blocks or fails.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.currentSecond {
		w.currentSecond, w.linesThisSecond = now, 0
	}
	w.linesThisSecond++
	if w.closed || w.linesThisSecond > maxLinesPerSecond {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := append(make([]byte, 0, len(p)), p...)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing; close flushes the queue.
func (w *lineWriter) Sync() error { return nil }

// close writes the queued lines and stops the background goroutine. Later lines are dropped. It gives up after
// logCloseTimeout, if nobody reads what is written.
func (w *lineWriter) close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(logCloseTimeout):
	}
}

func (w *lineWriter) run() {
	defer close(w.done)
	for line := range w.lines {
		batch := w.collect(line)
		if n := w.dropped.Swap(0); n > 0 {
			w.onDropped(n)
			batch = append(batch, "Event=log-lines-dropped Count="+strconv.FormatInt(n, 10)+"\n"...)
		}
		if _, err := w.out.Write(batch); err != nil {
			// The reader of the log has gone, so the failure can only be counted.
			w.dropped.Add(int64(bytes.Count(batch, []byte("\n"))))
		}
	}
}

// collect appends queued lines to batch until logFlushInterval has passed or the batch has maxLogBatchBytes.
func (w *lineWriter) collect(batch []byte) []byte {
	timer := time.NewTimer(logFlushInterval)
	defer timer.Stop()
	for len(batch) < maxLogBatchBytes {
		select {
		case line, open := <-w.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		case <-timer.C:
			return batch
		}
	}
	return batch
}

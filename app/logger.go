package app

import (
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
	// logQueue is how many lines may wait to be written. More are left out and counted.
	logQueue = 2048
	// logFlush is how long a line may wait for others, so that they are written together.
	logFlush = 50 * time.Millisecond
	// logBatchBytes ends the wait for further lines.
	logBatchBytes = 32 << 10
	// maxLinesPerSecond bounds the volume of the log. More are left out and counted.
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

// newLogger returns a logger that writes one line of key=value pairs for each event.
func newLogger(w io.Writer, cfg settings.Settings) *zap.Logger {
	level := zap.NewAtomicLevel()
	setLevel(level, cfg)
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), zapcore.Lock(zapcore.AddSync(w)), level))
}

// newTrafficLogger returns a logger that never blocks, the level that can be changed, and a function that writes what
// is left. dropped is told how many lines were left out.
func newTrafficLogger(w io.Writer, cfg settings.Settings, dropped func(lines int64)) (*zap.Logger, zap.AtomicLevel, func()) {
	level := zap.NewAtomicLevel()
	setLevel(level, cfg)
	lines := newLineWriter(w, dropped)
	core := zapcore.NewCore(zaplogfmt.NewEncoder(encoderConfig()), lines, level)
	return zap.New(core).With(zap.String("VM", cfg.VM)), level, lines.close
}

// lineWriter writes lines in the background. Lines that come too fast are left out, and their number is written.
type lineWriter struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	// onDropped is told how many lines were left out.
	onDropped func(lines int64)

	mu     sync.Mutex
	second int64
	count  int
	closed bool
}

func newLineWriter(to io.Writer, onDropped func(lines int64)) *lineWriter {
	w := &lineWriter{to: to, onDropped: onDropped, lines: make(chan []byte, logQueue)}
	w.done.Go(w.run)
	return w
}

// Write implements io.Writer. It never blocks.
func (w *lineWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now().Unix(); now != w.second {
		w.second, w.count = now, 0
	}
	w.count++
	if w.closed || w.count > maxLinesPerSecond {
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

// Sync implements zapcore.WriteSyncer.
func (w *lineWriter) Sync() error { return nil }

// close writes what is left. Lines that come later are left out.
func (w *lineWriter) close() {
	w.mu.Lock()
	w.closed = true
	close(w.lines)
	w.mu.Unlock()
	w.done.Wait()
}

func (w *lineWriter) run() {
	for line := range w.lines {
		batch := w.collect(line)
		if n := w.dropped.Swap(0); n > 0 {
			w.onDropped(n)
			batch = append(batch, "Event=log-lines-dropped Count="+strconv.FormatInt(n, 10)+"\n"...)
		}
		// Nobody can be told when the log itself cannot be written.
		_, _ = w.to.Write(batch)
	}
}

// collect adds the lines that come within a short time to a batch.
func (w *lineWriter) collect(batch []byte) []byte {
	timer := time.NewTimer(logFlush)
	defer timer.Stop()
	for len(batch) < logBatchBytes {
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

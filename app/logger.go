package app

import (
	"io"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/cassiabridge/cassiabridge/settings"
)

// newLogger returns a logger that writes one line of key=value pairs for each event.
func newLogger(w io.Writer, cfg settings.Settings) *zap.Logger {
	encoding := zap.NewProductionEncoderConfig()
	encoding.TimeKey, encoding.LevelKey, encoding.MessageKey = "Time", "Level", "Event"
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	level, err := zapcore.ParseLevel(cfg.Log.Level)
	if err != nil {
		level = zapcore.InfoLevel
	}
	return zap.New(zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(w)), level))
}

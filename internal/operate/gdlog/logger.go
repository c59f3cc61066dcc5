package gdlog

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level is the severity of an event.
type Level int

// The levels, in increasing order of severity.
const (
	Debug Level = iota
	Info
	Error
)

func (l Level) String() string {
	switch l {
	case Debug:
		return "debug"
	case Info:
		return "info"
	default:
		return "error"
	}
}

// ParseLevel returns the level with the given name, or Info if there is none.
func ParseLevel(name string) Level {
	for _, l := range []Level{Debug, Info, Error} {
		if l.String() == name {
			return l
		}
	}
	return Info
}

// debugVerbosity is the logr verbosity of debug events; that of info events is 0.
const debugVerbosity = 1

// Logger writes events. It is safe for concurrent use. Its zero value discards
// everything.
type Logger struct {
	sink logr.Logger
}

// New returns a logger that writes events of at least minLevel to w. It serializes the
// writes to w.
func New(w io.Writer, minLevel Level) Logger {
	enc := zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "text",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), zapLevel(minLevel))
	return FromLogr(zapr.NewLoggerWithOptions(zap.New(core), zapr.LogInfoLevel("")))
}

// FromLogr returns a logger that writes to the given sink.
func FromLogr(sink logr.Logger) Logger { return Logger{sink: sink} }

func zapLevel(l Level) zapcore.Level {
	switch l {
	case Debug:
		return zapcore.DebugLevel
	case Info:
		return zapcore.InfoLevel
	default:
		return zapcore.ErrorLevel
	}
}

// With returns a logger that adds the keys and values to each event.
func (l Logger) With(keysAndValues ...any) Logger {
	return Logger{sink: l.sink.WithValues(keysAndValues...)}
}

// Event writes an event with additional keys and values.
func (l Logger) Event(e Event, keysAndValues ...any) { l.Failure(e, nil, keysAndValues...) }

// Failure writes an event with the error that caused it.
func (l Logger) Failure(e Event, err error, keysAndValues ...any) {
	fields := append([]any{"event", e.number}, keysAndValues...)
	if e.level == Error {
		l.sink.Error(err, e.text, fields...)
		return
	}
	if err != nil {
		fields = append(fields, "error", err.Error())
	}
	verbosity := 0
	if e.level == Debug {
		verbosity = debugVerbosity
	}
	l.sink.V(verbosity).Info(e.text, fields...)
}

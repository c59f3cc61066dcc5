package gdlog

import (
	"io"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Level is the urgency of an event.
type Level int

// The levels, from the least urgent to the most urgent.
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

// ParseLevel returns the level with the name, or Info for an unknown name.
func ParseLevel(name string) Level {
	for _, l := range []Level{Debug, Info, Error} {
		if l.String() == name {
			return l
		}
	}
	return Info
}

// debugVerbosity is the logr verbosity of debug events; info events have 0.
const debugVerbosity = 1

// Logger writes events. It is safe for concurrent use. Its zero value discards
// everything.
type Logger struct {
	sink logr.Logger
}

// New returns a logger that writes events of at least the level to w, which need
// not be safe for concurrent use.
func New(w io.Writer, least Level) Logger {
	enc := zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		MessageKey:     "text",
		LineEnding:     zapcore.DefaultLineEnding,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.StringDurationEncoder,
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(enc), zapcore.Lock(zapcore.AddSync(w)), zapLevel(least))
	return FromLogr(zapr.NewLoggerWithOptions(zap.New(core), zapr.LogInfoLevel("")))
}

// FromLogr returns a logger that writes to a sink of the caller's own.
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

// With returns a logger that adds the names and values to each event.
func (l Logger) With(namesAndValues ...any) Logger {
	return Logger{sink: l.sink.WithValues(namesAndValues...)}
}

// Event writes an event with further names and values.
func (l Logger) Event(e Event, namesAndValues ...any) { l.Failure(e, nil, namesAndValues...) }

// Failure writes an event with the error that brought it about.
func (l Logger) Failure(e Event, err error, namesAndValues ...any) {
	fields := append([]any{"event", e.number}, namesAndValues...)
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

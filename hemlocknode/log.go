package hemlocknode

import (
	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// verbosity maps the names of Settings.LogLevel to zap levels; zapr maps V(1) to -1 and V(2) to -2.
var verbosity = map[string]zapcore.Level{
	"error": zapcore.ErrorLevel,
	"info":  zapcore.InfoLevel,
	"debug": zapcore.Level(-2),
}

// NewLog returns a structured logger that writes to standard error. The level is one of LogLevels.
func NewLog(level string) (logr.Logger, error) {
	configuration := zap.NewProductionConfig()
	configuration.Level = zap.NewAtomicLevelAt(verbosity[level])
	configuration.OutputPaths = []string{"stderr"}
	configuration.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	configuration.EncoderConfig.EncodeLevel = encodeLevel
	configuration.DisableStacktrace = true
	// Sampling is off because it would drop records of state changes, which are rare and all needed.
	configuration.Sampling = nil
	sink, err := configuration.Build()
	if err != nil {
		return logr.Discard(), err
	}
	return zapr.NewLogger(sink), nil
}

// encodeLevel writes all verbose levels as debug, because zap has no names for the levels below debug.
func encodeLevel(level zapcore.Level, encoder zapcore.PrimitiveArrayEncoder) {
	zapcore.LowercaseLevelEncoder(max(level, zapcore.DebugLevel), encoder)
}

// Package telemetry sets up the logger, the traces and the metrics page of a process.
package telemetry

import (
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Error is the class of all errors of this package.
var Error = errs.Class("telemetry")

// NewLogger returns a logger that writes JSON lines of the given level and above to
// standard error. The level is debug, info, warn or error.
//
// zap's sampling is off: in a burst it drops refusals, but each refusal must be in the
// log under its request ID.
func NewLogger(level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, Error.New("log level %q: want debug, info, warn or error", level)
	}
	config := zap.NewProductionConfig()
	config.Level = zap.NewAtomicLevelAt(parsed)
	config.Sampling = nil
	config.DisableStacktrace = true
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncoderConfig.EncodeDuration = zapcore.StringDurationEncoder
	log, err := config.Build()
	return log, Error.Wrap(err)
}

// Reason returns the log field of an error, in one line. zap.Error adds the stack of
// errors that have one, about ten lines each, which floods the log if many calls fail.
func Reason(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("reason", err.Error())
}

// Package telemetry sets up what an operator watches a process by: the logger,
// the traces and the metrics page.
package telemetry

import (
	"github.com/zeebo/errs"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Error is the class of all errors of this package.
var Error = errs.Class("telemetry")

// NewLogger makes a logger that writes JSON lines to standard error, from the
// given level on: debug, info, warn or error.
//
// zap's sampling is off: under a burst it would drop refusals, and each of them
// must be found in the log by its request ID.
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

// Reason is the field of an error, in one line: zap.Error adds the stack of errors
// that carry one, some ten lines each, which would fill the logs of a bad day.
func Reason(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("reason", err.Error())
}

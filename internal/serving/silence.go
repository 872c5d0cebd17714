package serving

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// silentAttemptsTotal counts the attempts whose backend server was silent for too long, by
// what became of the request: those that this VM ended, and those kept, which nothing
// could replace.
const silentAttemptsTotal = "bergamotreel_relay_silent_attempts_total"

var (
	silentContinued  = metrics.NewCounter(silentAttemptsTotal + `{outcome="continued"}`)
	silentCut        = metrics.NewCounter(silentAttemptsTotal + `{outcome="cut"}`)
	silentRefused    = metrics.NewCounter(silentAttemptsTotal + `{outcome="refused"}`)
	silentCallerLeft = metrics.NewCounter(silentAttemptsTotal + `{outcome="caller_left"}`)
	silentKept       = metrics.NewCounter(silentAttemptsTotal + `{outcome="kept"}`)
)

// isEndedForSilence reports whether the error is that of an attempt that the stall guard
// ended, and not the backend server.
func isEndedForSilence(err error) bool {
	return errors.Is(err, errHeadTimeout) || errors.Is(err, errStalled)
}

// countSilentAttempt counts an attempt that ended for silence. The error is what ends the
// request, nil if it continues on another backend server.
func (f *forwarding) countSilentAttempt(ctx context.Context, err error) {
	switch {
	case err == nil:
		silentContinued.Inc()
	case errors.Is(ctx.Err(), context.Canceled):
		silentCallerLeft.Inc()
	case f.answer.HasBegun():
		silentCut.Inc()
	default:
		silentRefused.Inc()
	}
}

// silenceFields returns the log fields that tell a failure of the backend server from an
// attempt that this VM ended because of its silence.
func (f *forwarding) silenceFields(err error) []zap.Field {
	since := f.pending.attemptStart
	if !f.lastReceived.IsZero() {
		since = f.lastReceived
	}
	return []zap.Field{
		zap.Bool("ended_for_silence", isEndedForSilence(err)), zap.Duration("silent_for", time.Since(since)),
		zap.Int("pieces", f.pieces), zap.ByteString("last_event", f.order.lastID), zap.Bool("stopping", f.server.isStopping()),
	}
}

// secureReplacement reserves another backend server for a request whose attempt is
// silent, and a retry of the budget. It returns false if the request can't continue
// elsewhere now. The stall guard calls it.
func (f *forwarding) secureReplacement() bool {
	if !f.canContinueAnswer() || f.quarantineRefusal() != nil || !f.isVersionKnown() {
		return false
	}
	f.excludeNotContinuing()
	doubtful := !f.tracking.isSettled.Load() && f.sendings.HasConn()
	f.replacement = f.pending.reserveReplacement(f.request.Service, f.unitToContinue(), doubtful)
	if f.replacement == nil {
		return false
	}
	if doubtful {
		f.server.mu.Lock()
		defer f.server.mu.Unlock()
		f.keepUnsettled(time.Now(), f.pending.backend)
		f.tracking.isCurrentKept = true
	}
	return true
}

// releaseReplacement releases a reservation that isn't needed, because the attempt or the
// request ended meanwhile.
func (f *forwarding) releaseReplacement() {
	if f.replacement != nil {
		f.pending.release(f.replacement, f.request.Service)
		f.replacement = nil
	}
}

// isStopping reports whether this VM refuses requests instead of queueing them.
func (s *Server) isStopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopped
}

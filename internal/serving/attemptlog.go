package serving

import (
	"time"

	"go.uber.org/zap"

	"bergamotreel/internal/telemetry"
)

// logAttempt logs the outcome of an attempt and the data that led to it.
func (f *forwarding) logAttempt(err error) {
	outcome := "answered"
	if err != nil {
		outcome = "failed"
	}
	fields := []zap.Field{
		zap.String("request", f.request.ID), zap.String("unit", f.pending.query.Unit),
		zap.String("backend", f.pending.backend), zap.Int("try", f.attempts),
		zap.Bool("ready_at_arrival", f.readyAtArrival),
		zap.Duration("waited", f.pending.attemptStart.Sub(f.request.Arrived)), zap.Duration("first", f.pending.timeToFirstToken),
		zap.Duration("ran", time.Since(f.pending.attemptStart)),
		zap.String("outcome", outcome), zap.Bool("may_have_run", f.outcome.mayHaveRun), telemetry.Reason(err),
	}
	if err != nil {
		fields = append(fields, f.silenceFields(err)...)
	}
	sending := f.sendings.Last()
	fields = append(fields, zap.Bool("kept_connection", sending.Kept))
	if sending.Closed > 0 {
		fields = append(fields, zap.Int("same_connections_closed", sending.Closed))
	}
	if sending.Repeats > 0 {
		fields = append(fields, zap.Int("repeated_by_transport", sending.Repeats))
	}
	if f.keptSilent {
		fields = append(fields, zap.Bool("kept_silent", true))
	}
	if f.pace.events > 0 {
		fields = append(fields, zap.Int("events", f.pace.events), zap.Duration("max_gap", f.pace.maxGap))
	}
	if f.framing != "" {
		fields = append(fields, zap.String("framing", f.framing))
	}
	if f.endsInsideEvent() {
		fields = append(fields, zap.Bool("inside_event", true))
	}
	if f.target.Version != "" {
		fields = append(fields, zap.String("version", f.target.Version))
	}
	if f.origin.Weights != 0 {
		fields = append(fields, zap.Int64("weights", f.origin.Weights))
	}
	if f.target.Gateway != "" {
		fields = append(fields, zap.String("gateway", f.target.Gateway))
	}
	if f.retry == retrySpent {
		fields = append(fields, zap.Float64("retries_left", f.retryUsage.Left), zap.Float64("retry_capacity", f.retryUsage.Capacity), zap.Int("retries_held", f.retryUsage.Held))
	}
	if f.tracking.current == arrivalUnsettled {
		fields = append(fields, zap.Bool("arrival_unsettled", true))
	}
	if f.limit.Limited {
		fields = append(fields, zap.Float64("backend_limit", f.limit.PerSecond))
	}
	if f.cooldown > 0 {
		fields = append(fields, zap.Duration("backend_rest", f.cooldown))
	}
	if f.maxRejections > 0 {
		fields = append(fields, zap.Int("backend_max_rejections", f.maxRejections))
	}
	if f.leaving {
		fields = append(fields, zap.Bool("backend_leaving", true))
	}
	if len(f.subjects) > 0 {
		fields = append(fields, zap.Stringer("fingerprint", f.subjects[0]), zap.Stringers("part_fingerprints", f.subjects[1:]), zap.Strings("prompt_parts", f.request.PromptParts))
	}
	f.server.config.Logger.Info("attempt", fields...)
}

// logNotSent logs a request that was sent to no backend server, and whether one was
// ready for its unit when it arrived. If not, the cause lies in placement, or in this VM's
// paths if backend servers hold the unit and are unreachable.
func (s *Server) logNotSent(id, unit string, readyAtArrival bool, err error) {
	s.config.Logger.Info("not sent", zap.String("request", id), zap.String("unit", unit),
		zap.Bool("ready_at_arrival", readyAtArrival), zap.Int("unreachable", s.forwardDirectory().CountUnreachable(unit)),
		telemetry.Reason(err))
}

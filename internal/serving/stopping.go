package serving

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bergamotreel/refusal"
)

// stoppingRetryAfter is the retry delay for callers whose requests this VM has no time for. Other VMs have, and the load
// balancer leads most retries there.
const stoppingRetryAfter = 100 * time.Millisecond

// unsentForStop counts the attempts that were not made because this VM stops.
var unsentForStop = metrics.NewCounter("bergamotreel_relay_unsent_for_stop_total")

// stoppingRefusal returns a refusal if this VM stops before the request's answer could end, otherwise nil. An answer that
// has begun goes on for as long as this VM does.
func (f *forwarding) stoppingRefusal(now time.Time) *refusal.Refusal {
	if f.answer.HasBegun() {
		return nil
	}
	s := f.server
	s.mu.Lock()
	schedule := s.schedule
	s.mu.Unlock()
	if schedule.CanFinish(now, f.expectDuration(now)) {
		return nil
	}
	unsentForStop.Inc()
	return refusal.New(refusal.CodeShuttingDown, stoppingRetryAfter, "this entry VM stops before the answer could end")
}

// expectDuration returns how long the request is expected to take from now on, 0 if unknown.
func (f *forwarding) expectDuration(now time.Time) time.Duration {
	r := &f.request
	return min(f.server.durations.Expect(lengthKind(r, f.pending.query.Pool), r.OutputTokens), max(r.AnswerDeadline.Sub(now), 0))
}

// recordDuration records how long the whole answer took. Of a stream that was continued, only the last part is known.
func (f *forwarding) recordDuration(now time.Time) {
	r := &f.request
	if r.ResumedAfter == "" && f.attempts == 1 {
		f.server.durations.Observe(lengthKind(r, f.pending.query.Pool), r.OutputTokens, now.Sub(f.pending.attemptStart))
	}
}

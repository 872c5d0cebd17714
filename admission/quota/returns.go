package quota

import (
	"time"

	"bergamotreel/internal/meter"
	"bergamotreel/refusal"
)

const (
	// returnWindow smooths the rate of admitted credit.
	returnWindow = 2 * time.Second
	// returningShare is the part of the admitted credit that returning requests are expected to get
	// beside new ones.
	returningShare = 0.5
)

// ReturnSchedule spreads the returns of requests beyond one workspace's quota over the credit that
// accrues at this VM. It addresses bursts that last for seconds: without it, all refused callers return
// when the next credit is due, most of them to be refused again. The zero value is ready to use.
type ReturnSchedule struct {
	admitted meter.Meter
	// next is when the next request may return.
	next time.Time
}

// RecordAdmitted records the cost of an admitted request, in units of the quota.
func (s *ReturnSchedule) RecordAdmitted(now time.Time, cost float64) {
	s.admitted.Add(now, cost, returnWindow)
}

// Delay returns after which time a refused request of the given cost should return. wait is when its
// workspace has credit again, left the time that its caller has left. If the schedule is full until
// refusal.MaxRetryAfter, the request returns then, as late as its caller can.
func (s *ReturnSchedule) Delay(now time.Time, cost float64, wait, left time.Duration) time.Duration {
	longest := refusal.MaxRetryAfter(left)
	delay := max(wait, s.next.Sub(now))
	if delay >= longest {
		return max(wait, longest)
	}
	step := longest - delay
	if rate := returningShare * s.admitted.Rate(now, returnWindow); rate > 0 && cost/rate < step.Seconds() {
		step = time.Duration(cost / rate * float64(time.Second))
	}
	s.next = now.Add(delay + step)
	return delay
}

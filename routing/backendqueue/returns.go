package backendqueue

import (
	"math"
	"time"

	"bergamotreel/refusal"
)

const (
	// returningShare is the part of this VM's admitted rate that refused requests are expected to
	// get when they return.
	returningShare = 0.25
	// minRetryAfter is long enough for the fleet's load to have changed and for the sums that VMs
	// exchange to show it.
	minRetryAfter = 400 * time.Millisecond
)

// returnSchedule spreads the returns of refused requests: each gets the next free time.
type returnSchedule struct {
	last time.Time
	// full counts the requests for which no time was free.
	full int
}

// next returns the delay after which a refused request should return, for a VM that admits the
// given rate. Requests for which no time is free are spread over the times that are useful to them.
func (r *returnSchedule) next(now time.Time, left time.Duration, admitted float64) time.Duration {
	longest := refusal.MaxRetryAfter(left)
	shortest := min(minRetryAfter, longest)
	step := longest
	if admitted > 0 {
		step = min(longest, time.Duration(float64(time.Second)/(returningShare*admitted)))
	}
	delay := max(shortest, r.last.Add(step).Sub(now))
	if delay > longest {
		_, fraction := math.Modf(float64(r.full) * math.Phi)
		r.full++
		return max(time.Millisecond, shortest+time.Duration(fraction*float64(longest-shortest)))
	}
	r.last = now.Add(delay)
	return max(time.Millisecond, delay)
}

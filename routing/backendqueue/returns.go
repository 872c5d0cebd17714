package backendqueue

import "time"

const (
	// returningShare is the part of this VM's admitted rate that refused requests are expected to
	// get when they return.
	returningShare = 0.25
	// minRetryAfter is long enough for the fleet's load to have changed and for the sums that VMs
	// exchange to show it.
	minRetryAfter = 400 * time.Millisecond
	// maxShareOfTimeLeft bounds the retry delay: callers wait no longer than a third of the time
	// that they have left.
	maxShareOfTimeLeft = 1.0 / 3
)

// returnSchedule spreads the returns of refused requests: each gets the next free time.
type returnSchedule struct{ last time.Time }

// next returns the delay after which a refused request should return, for a VM that admits the
// given rate. Requests for which no time is free share the last one that is useful to them.
func (r *returnSchedule) next(now time.Time, left time.Duration, admitted float64) time.Duration {
	longest := max(0, time.Duration(maxShareOfTimeLeft*float64(left)))
	earliest := now.Add(min(minRetryAfter, longest))
	at := earliest
	if admitted > 0 {
		at = r.last.Add(min(longest, time.Duration(float64(time.Second)/(returningShare*admitted))))
	}
	if at.Before(earliest) {
		at = earliest
	}
	if latest := now.Add(longest); at.After(latest) {
		at = latest
	}
	r.last = at
	return max(time.Millisecond, at.Sub(now))
}

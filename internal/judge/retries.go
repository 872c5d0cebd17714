package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"time"
)

const retryBudgetKept = "retry budget"

// RetryBound bounds the retries at a service: in any Window, at most Ratio x requests + Slack
// arrivals beyond the first of each request may reach it, over all entry VMs.
type RetryBound struct {
	Window       time.Duration
	Ratio, Slack float64
}

// CheckRetries finds the services that got more retries than the bound allows, with the window
// that exceeds it most. Requests count when their callers sent them, whether they arrived or
// not, and in the best of three windows: the same one, the one before it, and the one that
// begins half a window earlier. Nothing excuses a violation.
func CheckRetries(h *History, bound RetryBound) (violations []Violation) {
	for service, times := range h.retryTimes() {
		worst, worstExcess := Violation{}, 0.0
		check := func(from time.Time) {
			retries := countBetween(times.retries, from, from.Add(bound.Window))
			requests := 0
			for _, shift := range []time.Duration{0, bound.Window / 2, bound.Window} {
				requests = max(requests, countBetween(times.requests, from.Add(-shift), from.Add(bound.Window-shift)))
			}
			allowed := bound.Ratio*float64(requests) + bound.Slack
			if excess := float64(retries) - allowed; excess > worstExcess {
				worstExcess = excess
				worst = Violation{retryBudgetKept, from, fmt.Sprintf("%d retries for %d requests for %s within %s, allowed %.0f", retries, requests, service, bound.Window, allowed)}
			}
		}
		for _, at := range times.retries {
			check(at)
			check(at.Add(1 - bound.Window)) // the window that ends with this retry
		}
		if worstExcess > 0 {
			violations = append(violations, worst)
		}
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Detail, b.Detail)) })
	return violations
}

// serviceTimes holds the times at which callers sent requests for a service, and those at which
// arrivals beyond the first of a request reached it, both in ascending order.
type serviceTimes struct{ requests, retries []time.Time }

// retryTimes returns the times of requests and retries by service.
func (h *History) retryTimes() map[string]*serviceTimes {
	byService := make(map[string]*serviceTimes)
	get := func(service string) *serviceTimes {
		if byService[service] == nil {
			byService[service] = &serviceTimes{}
		}
		return byService[service]
	}
	for i := range h.Outcomes {
		o := &h.Outcomes[i]
		times := get(o.Service)
		times.requests = append(times.requests, o.Sent)
	}
	arrived := make(map[string]bool)
	for i := range h.Arrivals {
		a := &h.Arrivals[i]
		if arrived[a.Request] {
			times := get(a.Service)
			times.retries = append(times.retries, a.At)
		}
		arrived[a.Request] = true
	}
	for _, times := range byService {
		slices.SortFunc(times.requests, time.Time.Compare)
		slices.SortFunc(times.retries, time.Time.Compare)
	}
	return byService
}

// countBetween returns how many of the sorted times are at or after from and before to.
func countBetween(times []time.Time, from, to time.Time) int {
	index := func(limit time.Time) int {
		return sort.Search(len(times), func(i int) bool { return !times[i].Before(limit) })
	}
	return index(to) - index(from)
}

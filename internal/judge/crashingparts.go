package judge

import (
	"fmt"
	"time"
)

// CrashingPart is a part of prompts that ends the backend servers which run a request with it.
type CrashingPart struct {
	// Sent is when callers sent requests with the part.
	Sent []time.Time
	// Arrivals are the requests with the part that reached backend servers, Crashes is when
	// backend servers ended because of them.
	Arrivals []Arrival
	Crashes  []time.Time
	// Sound are the outcomes of requests without the part that share its requests' first part.
	Sound []Outcome
}

// CrashBound bounds what a CrashingPart may cause.
type CrashBound struct {
	// Crashes is how many crashes show that the part is at fault. Settle is the time for all entry
	// VMs to act on it; after it, at most MaxLate requests with the part may reach backend
	// servers.
	Crashes, MaxLate int
	Settle           time.Duration
	// From twice Settle on, sound requests must be answered at least MinSoundShare times as often
	// as before the first crash. This is checked if there are MinSound of them at both times.
	MinSoundShare float64
	MinSound      int
}

// Names of the guarantees on crashing parts of prompts.
const (
	crashesEnd  = "crashes end"
	soundServed = "sound requests served"
	soundPassed = "sound requests pass the quarantine"
)

// CheckCrashingParts finds parts of prompts with which requests go on to reach backend servers
// after these crashed often enough. A disruption of an entry VM excuses what it sends.
func CheckCrashingParts(h *History, bound CrashBound) (violations []Violation) {
	for _, part := range h.CrashingParts {
		if len(part.Crashes) < bound.Crashes {
			continue
		}
		settled := part.Crashes[bound.Crashes-1].Add(bound.Settle)
		late := 0
		for i := range part.Arrivals {
			a := &part.Arrivals[i]
			if a.At.After(settled) && !h.isDisrupted(a.VM, a.At.Add(-bound.Settle), a.At, false) {
				late++
			}
		}
		if late > bound.MaxLate {
			violations = append(violations, Violation{crashesEnd, settled, fmt.Sprintf("requests with the part reached backend servers %d times later than %s after crash %d of %d", late, bound.Settle, bound.Crashes, len(part.Crashes))})
		}
	}
	return violations
}

// CheckSoundRequests finds crashing parts whose refusal, or whose crashes, keep sound requests from
// being answered while requests with the part still come.
func CheckSoundRequests(h *History, bound CrashBound) (violations []Violation) {
	for _, part := range h.CrashingParts {
		if len(part.Crashes) == 0 {
			continue
		}
		learned := part.Crashes[min(bound.Crashes, len(part.Crashes))-1]
		from, to := learned.Add(2*bound.Settle), part.Sent[len(part.Sent)-1]
		before := countAnswered(part.Sound, time.Time{}, part.Crashes[0])
		after := countAnswered(part.Sound, from, to)
		if min(before.sent, after.sent) >= bound.MinSound && after.share() < bound.MinSoundShare*before.share() {
			violations = append(violations, Violation{soundServed, from, fmt.Sprintf("%d of %d sound requests were answered, before the first crash %d of %d", after.answered, after.sent, before.answered, before.sent)})
		}
	}
	return violations
}

// quarantineSlice is the unit in which the time with refusals is counted.
const quarantineSlice = 100 * time.Millisecond

// CheckSoundRefusals finds sound requests that were refused as if they crashed backend servers, for
// longer than maxTime in all. All outcomes of the history are those of sound requests.
func CheckSoundRefusals(h *History, maxTime time.Duration) []Violation {
	slices := make(map[time.Time]bool)
	var last time.Time
	refused := 0
	for i := range h.Outcomes {
		if at := h.Outcomes[i].QuarantinedAt; !at.IsZero() {
			slices[at.Truncate(quarantineSlice)] = true
			refused++
			last = at
		}
	}
	total := time.Duration(len(slices)) * quarantineSlice
	if total <= maxTime {
		return nil
	}
	return []Violation{{soundPassed, last, fmt.Sprintf("%d sound requests were refused over %s, %s are allowed", refused, total, maxTime)}}
}

// answeredCount counts requests and the answered ones among them.
type answeredCount struct{ sent, answered int }

func (c answeredCount) share() float64 { return float64(c.answered) / float64(max(c.sent, 1)) }

// countAnswered counts the outcomes of requests that were sent at or after from and before to.
func countAnswered(outcomes []Outcome, from, to time.Time) (count answeredCount) {
	for i := range outcomes {
		o := &outcomes[i]
		if o.Sent.Before(from) || !o.Sent.Before(to) {
			continue
		}
		count.sent++
		if o.Answered {
			count.answered++
		}
	}
	return count
}

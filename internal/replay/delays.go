package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The fairness experiment compares the same bystanders' requests in two runs.
// Their arrivals, routers and service times are equal, because each unit draws
// from a random stream of its own. Requests that are slower during the burst are
// grouped by the cause of their delay.

// requestKey identifies a request of the trace.
type requestKey struct {
	unit int
	at   time.Duration
}

// outcome holds a request's time to first token and the cause of its delay.
type outcome struct {
	Took float64 // seconds
	Met  string
}

// Causes of delay. A unit that was unloaded has a cause with the reason instead:
// see arrivalCause.
const (
	causeReady       = "ready replica"
	causeNoSlot      = "no free slot"
	causeReserve     = "reserve kept from customers above their share"
	causeRateLimit   = "held for its customer's rate"
	causeLoading     = "replica still loading"
	causeNeverLoaded = "never loaded before"
)

// DelayGroup counts the bystanders' requests with the same cause of delay in the
// slower run.
type DelayGroup struct {
	Met string
	// Requests counts those slower by more than minDelaySeconds, Seconds is the sum
	// of their delays.
	Requests int
	Seconds  float64
}

// minDelaySeconds is the difference up to which two times to first token count as
// equal: a tenth of the shortest possible time.
var minDelaySeconds = 0.1 * TimeToFirstToken.Seconds()

// groupDelays groups the requests that were slower in slow than in fast by cause,
// the largest total delay first.
func groupDelays(slow, fast *Result) []DelayGroup {
	sums := make(map[string]*DelayGroup)
	for key, delayed := range slow.Outcomes {
		reference, ok := fast.Outcomes[key]
		if !ok || delayed.Took-reference.Took <= minDelaySeconds {
			continue
		}
		if sums[delayed.Met] == nil {
			sums[delayed.Met] = &DelayGroup{Met: delayed.Met}
		}
		sums[delayed.Met].Requests++
		sums[delayed.Met].Seconds += delayed.Took - reference.Took
	}
	var out []DelayGroup
	for _, sum := range sums {
		out = append(out, *sum)
	}
	slices.SortFunc(out, func(a, b DelayGroup) int {
		return cmp.Or(-cmp.Compare(a.Seconds, b.Seconds), cmp.Compare(a.Met, b.Met))
	})
	return out
}

// arrivalCause returns the state of the unit at a request's arrival as a cause of
// delay.
func (s *sim) arrivalCause(u *unit, ready bool) string {
	if ready {
		return causeReady
	}
	for _, r := range s.replicas[u.id] {
		if !r.withdrawn && r.wanted {
			return causeLoading
		}
	}
	if s.lossReasons[u.id] == "" {
		return causeNeverLoaded
	}
	return "gone: " + s.lossReasons[u.id]
}

// waitCause returns why a request is not sent although its unit is ready.
func (s *sim) waitCause(r *request) string {
	vm := s.routers[r.router]
	switch {
	case s.chooseReplica(r, vm, false) == nil:
		return causeNoSlot
	case s.chooseReplica(r, vm, true) == nil:
		return causeReserve
	}
	return causeRateLimit
}

// recordLossReason records why the unit last lost a replica. The reasons contain
// no names, so that those of one kind are counted together.
func (s *sim) recordLossReason(u *unit, reason string) {
	s.lossReasons[u.id] = reason
}

// formatDelays formats the groups as one line of the report.
func formatDelays(list []DelayGroup) string {
	out := ""
	for _, s := range list {
		out += fmt.Sprintf("%d × %s (%.1f s); ", s.Requests, s.Met, s.Seconds)
	}
	return out
}

package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The fairness experiment compares the same requests of the bystanders in two
// runs: their arrivals, routers and service times are equal, as each unit draws
// from a stream of its own. A request that was slower beside the burst is put
// down to what it met there.

// requestKey names a request of the trace.
type requestKey struct {
	unit int
	at   time.Duration
}

// outcome is a request's time to its first token and what it met.
type outcome struct {
	Took float64 // seconds
	Met  string
}

// What a request meets.
const (
	metReady   = "ready replica"
	metNoSlot  = "no free slot"
	metReserve = "reserve kept from customers above their share"
	metRate    = "held for its customer's rate"
	metLoading = "replica still loading"
	metNever   = "never loaded before"
)

// Slower is the bystanders' requests that met the same in the slower run.
type DelayGroup struct {
	Met string
	// Requests were slower by more than slowerThan, Seconds in sum.
	Requests int
	Seconds  float64
}

// slowerThan is the difference below which two times to a first token count as
// equal, in seconds: a tenth of the least there is.
var slowerThan = 0.1 * TimeToFirstToken.Seconds()

// pair sums up which of the requests were slower in slow than in fast.
func pair(slow, fast *Result) []DelayGroup {
	sums := make(map[string]*DelayGroup)
	for key, in := range slow.Outcomes {
		before, ok := fast.Outcomes[key]
		if !ok || in.Took-before.Took <= slowerThan {
			continue
		}
		if sums[in.Met] == nil {
			sums[in.Met] = &DelayGroup{Met: in.Met}
		}
		sums[in.Met].Requests++
		sums[in.Met].Seconds += in.Took - before.Took
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

// whatItMeets tells what a request that arrives finds of its unit.
func (s *sim) whatItMeets(u *unit, ready bool) string {
	if ready {
		return metReady
	}
	for _, r := range s.replicas[u.id] {
		if !r.withdrawn && r.wanted {
			return metLoading
		}
	}
	if s.goneFor[u.id] == "" {
		return metNever
	}
	return "gone: " + s.goneFor[u.id]
}

// whatHolds tells what a request waits for whose unit is ready.
func (s *sim) whatHolds(r *request) string {
	at := s.routers[r.router]
	switch {
	case s.pickReplica(r, at, false) == nil:
		return metNoSlot
	case s.pickReplica(r, at, true) == nil:
		return metReserve
	}
	return metRate
}

// noteGone remembers why the unit lost a replica, without the names in it, so
// that reasons of one kind are counted together.
func (s *sim) noteGone(u *unit, reason string) {
	s.goneFor[u.id] = reason
}

// writeSlower is one line for the report.
func writeSlower(list []DelayGroup) string {
	out := ""
	for _, s := range list {
		out += fmt.Sprintf("%d × %s (%.1f s); ", s.Requests, s.Met, s.Seconds)
	}
	return out
}

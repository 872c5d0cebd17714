package hindsight

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/internal/daylog"
)

// Cause is why a request earned less than it could.
type Cause string

// The causes, as an operator would look for them.
const (
	CauseNoPlace    Cause = "refused, no engine had its model"
	CauseRefused    Cause = "refused, its engines were full or out of reach"
	CauseSwap       Cause = "late, its model had to be loaded"
	CauseWaited     Cause = "late, it waited for a free place"
	CauseSlow       Cause = "late, its engine took long"
	CauseReturned   Cause = "late, refused first and back"
	CauseFailed     Cause = "failed at its engine, or on the way"
	CauseBroken     Cause = "broken off midway"
	CauseLeft       Cause = "its caller left"
	CauseUnready    Cause = "its entry VM was starting or stopping"
	CauseUnanswered Cause = "no answer in time"
	CauseQuota      Cause = "refused, over its workspace's quota"
	CauseKey        Cause = "refused, its key was in no workspace"
)

// LossSpan is the length of a window of losses.
const LossSpan = 2 * time.Second

// Loss is what the requests of one route lost in a window for one cause.
type Loss struct {
	Route    string
	Target   time.Duration
	From     time.Duration
	Cause    Cause
	Requests int
	Worth    float64
}

// Losses tells for each route, window and cause what was lost, the earliest first.
// A request that was refused and came back counts once, where its caller began.
func Losses(d *daylog.Day, value Value) []Loss {
	type key struct {
		route string
		from  time.Duration
		cause Cause
	}
	lost := make(map[key]*Loss)
	d.EachCaller(func(first, last *daylog.Request) {
		cause, full := causeOf(first, last)
		if cause == "" {
			return
		}
		worth := value(first.Target, first.Allowed)
		at := key{first.Route, first.Arrived / LossSpan * LossSpan, cause}
		if lost[at] == nil {
			lost[at] = &Loss{Route: at.route, Target: first.Target, From: at.from, Cause: cause}
		}
		lost[at].Requests++
		lost[at].Worth += worth.InTime
		if !full {
			lost[at].Worth -= worth.Late
		}
	})
	out := make([]Loss, 0, len(lost))
	for _, l := range lost {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// causeOf is why a caller's request, which ended as last, lost something; full is whether it
// lost all. It is empty for one that was answered in time.
func causeOf(first, last *daylog.Request) (cause Cause, full bool) {
	if last.OK() {
		switch {
		case last.Arrived+last.First <= first.Arrived+first.Target:
			return "", false
		case last != first:
			return CauseReturned, false
		case !last.ReadyAtArrival:
			return CauseSwap, false
		case 2*last.Waited > last.First:
			return CauseWaited, false
		default:
			return CauseSlow, false
		}
	}
	switch last.Code {
	case "broken_off":
		return CauseBroken, true
	case "caller_left":
		return CauseLeft, true
	case "not_ready", "shutting_down":
		return CauseUnready, true
	case "rate_limited":
		return CauseQuota, true
	case "unknown_key":
		return CauseKey, true
	case "outcome_unknown":
		return CauseUnanswered, true
	case "wait_too_long", "no_capacity":
		if !last.ReadyAtArrival {
			return CauseNoPlace, true
		}
		return CauseRefused, true
	default:
		return CauseFailed, true
	}
}

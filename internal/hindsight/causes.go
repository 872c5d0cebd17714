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
	CauseModelNotResident Cause = "refused, no engine had its model"
	CauseNoCapacity       Cause = "refused, its engines were full or out of reach"
	CauseModelLoad        Cause = "late, its model had to be loaded"
	CauseQueued           Cause = "late, it waited for a free place"
	CauseSlowEngine       Cause = "late, its engine took long"
	CauseRetried          Cause = "late, refused first and back"
	CauseFailed           Cause = "failed at its engine, or on the way"
	CauseStreamBroken     Cause = "broken off midway"
	CauseCallerLeft       Cause = "its caller left"
	CauseVMNotReady       Cause = "its entry VM was starting or stopping"
	CauseAnswerTimeout    Cause = "no answer in time"
	CauseQuota            Cause = "refused, over its workspace's quota"
	CauseUnknownKey       Cause = "refused, its key was in no workspace"
)

// LossSpan is the length of a window of losses.
const LossWindow = 2 * time.Second

// Loss is what the requests of one route lost in a window for one cause.
type Loss struct {
	Route     string
	Target    time.Duration
	From      time.Duration
	Cause     Cause
	Requests  int
	WorthLost float64
}

// Losses tells for each route, window and cause what was lost, the earliest first.
// A request that was refused and came back counts once, where its caller began.
func ListLosses(d *daylog.Day, value WorthFunc) []Loss {
	type key struct {
		route string
		from  time.Duration
		cause Cause
	}
	lost := make(map[key]*Loss)
	d.ForEachCaller(func(first, last *daylog.Request) {
		cause, full := causeOf(first, last)
		if cause == "" {
			return
		}
		worth := value(first.Target, first.Allowed)
		at := key{first.Route, first.ArrivedAt / LossWindow * LossWindow, cause}
		if lost[at] == nil {
			lost[at] = &Loss{Route: at.route, Target: first.Target, From: at.from, Cause: cause}
		}
		lost[at].Requests++
		lost[at].WorthLost += worth.InTime
		if !full {
			lost[at].WorthLost -= worth.Late
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
	if last.IsOK() {
		switch {
		case last.ArrivedAt+last.TimeToFirstToken <= first.ArrivedAt+first.Target:
			return "", false
		case last != first:
			return CauseRetried, false
		case !last.ReadyAtArrival:
			return CauseModelLoad, false
		case 2*last.QueueTime > last.TimeToFirstToken:
			return CauseQueued, false
		default:
			return CauseSlowEngine, false
		}
	}
	switch last.Code {
	case "broken_off":
		return CauseStreamBroken, true
	case "caller_left":
		return CauseCallerLeft, true
	case "not_ready", "shutting_down":
		return CauseVMNotReady, true
	case "rate_limited":
		return CauseQuota, true
	case "unknown_key":
		return CauseUnknownKey, true
	case "outcome_unknown":
		return CauseAnswerTimeout, true
	case "wait_too_long", "no_capacity":
		if !last.ReadyAtArrival {
			return CauseModelNotResident, true
		}
		return CauseNoCapacity, true
	default:
		return CauseFailed, true
	}
}

package hindsight

import (
	"cmp"
	"slices"
	"time"

	"bergamotreel/internal/daylog"
)

// Cause is why a request earned less than its worth within the target.
type Cause string

// The causes, as reported to operators.
const (
	CauseModelNotResident Cause = "refused, its model was not resident on any engine"
	CauseNoCapacity       Cause = "refused, its engines were full or unreachable"
	CauseModelLoad        Cause = "late, its model had to be loaded"
	CauseQueued           Cause = "late, it waited for a free slot"
	CauseSlowEngine       Cause = "late, its engine was slow"
	CauseRetried          Cause = "late, refused first and retried"
	CauseFailed           Cause = "failed at its engine or in transit"
	CauseStreamBroken     Cause = "answer interrupted"
	CauseCallerLeft       Cause = "caller disconnected"
	CauseVMNotReady       Cause = "its entry VM was starting or stopping"
	CauseAnswerTimeout    Cause = "no answer in time"
	CauseQuota            Cause = "refused, over its workspace's quota"
	CauseUnknownKey       Cause = "refused, its key belongs to no workspace"
)

// LossWindow is the length of the windows by which losses are summed up.
const LossWindow = 2 * time.Second

// Loss is what requests of one route and one cause lost in one window.
type Loss struct {
	Route     string
	Target    time.Duration
	From      time.Duration
	Cause     Cause
	Requests  int
	WorthLost float64
}

// ListLosses returns what was lost for each route, window and cause, the earliest window
// first. A refused request and its retries count once, in the window of the first attempt.
func ListLosses(d *daylog.Day, worthFunc WorthFunc) []Loss {
	type key struct {
		route string
		from  time.Duration
		cause Cause
	}
	losses := make(map[key]*Loss)
	d.ForEachCaller(func(first, last *daylog.Request) {
		cause, lostAll := causeOf(first, last)
		if cause == "" {
			return
		}
		worth := worthFunc(first.Target, first.Allowed)
		lossKey := key{first.Route, first.ArrivedAt / LossWindow * LossWindow, cause}
		if losses[lossKey] == nil {
			losses[lossKey] = &Loss{Route: lossKey.route, Target: first.Target, From: lossKey.from, Cause: cause}
		}
		losses[lossKey].Requests++
		losses[lossKey].WorthLost += worth.InTime
		if !lostAll {
			losses[lossKey].WorthLost -= worth.Late
		}
	})
	out := make([]Loss, 0, len(losses))
	for _, l := range losses {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// causeOf returns why a caller's request lost worth, from its first and last attempt. lostAll
// is whether it lost all of its worth. The cause is empty if it was answered in time.
func causeOf(first, last *daylog.Request) (cause Cause, lostAll bool) {
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

package judge_test

import (
	"testing"
	"time"

	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func arrival(request, backend, vm string, seconds float64) judge.Arrival {
	return judge.Arrival{Request: request, Backend: backend, VM: vm, Sent: at(seconds), At: at(seconds), Ran: true}
}

func rests(seconds float64) judge.Arrival {
	a := arrival("asked", "b", "v", seconds)
	a.Ran, a.RetryAfter = false, 3*time.Second
	return a
}

func leaving(seconds float64) judge.Arrival {
	a := arrival("told", "b", "v", seconds)
	a.Leaving = true
	return a
}

func turnedAway(request string, seconds float64) judge.Arrival {
	a := arrival(request, "b", "v", seconds)
	a.Ran = false
	return a
}

func restarted(a judge.Arrival) judge.Arrival {
	a.Incarnation = 1
	return a
}

// Guards against a judge that finds nothing, and against one that blames what is allowed.
func TestJudges(t *testing.T) {
	once := func(h *judge.History) []judge.Violation { return judge.CheckAtMostOnce(h) }
	honest := func(h *judge.History) []judge.Violation { return judge.CheckHonestRefusals(h) }
	said := func(h *judge.History) []judge.Violation { return judge.CheckDrainByAnswer(h, 2*time.Second) }
	listed := func(h *judge.History) []judge.Violation {
		return judge.CheckDrainByRegistry(h, 2*time.Second, 3*time.Second)
	}
	rest := func(h *judge.History) []judge.Violation { return judge.CheckRetryAfter(h, 500*time.Millisecond, 2) }
	recovered := func(h *judge.History) []judge.Violation { return judge.CheckRecovery(h, at(10), 0.5) }
	three := []judge.Arrival{rests(1), turnedAway("p", 1.6), turnedAway("q", 2), turnedAway("r", 3.9)}
	left := []judge.LeaveNotice{{Backend: "b", At: at(5)}}
	for _, c := range []struct {
		name  string
		judge func(*judge.History) []judge.Violation
		want  int
		h     judge.History
	}{
		{"ran twice", once, 1, judge.History{Arrivals: []judge.Arrival{arrival("r", "b", "v", 1), arrival("r", "c", "v", 2)}}},
		{"turned away, then ran", once, 0, judge.History{Arrivals: []judge.Arrival{turnedAway("r", 1), arrival("r", "c", "v", 2)}}},
		{"a lie", honest, 1, judge.History{Arrivals: []judge.Arrival{arrival("r", "b", "v", 1)}, Outcomes: []judge.Outcome{{Request: "r", NotRun: true}}}},
		{"a true refusal", honest, 0, judge.History{Arrivals: []judge.Arrival{turnedAway("r", 1)}, Outcomes: []judge.Outcome{{Request: "r", NotRun: true}}}},
		{"unknown outcome", honest, 0, judge.History{Arrivals: []judge.Arrival{arrival("r", "b", "v", 1)}, Outcomes: []judge.Outcome{{Request: "r"}}}},
		{"too late after it was told", said, 1, judge.History{Arrivals: []judge.Arrival{leaving(1), arrival("r", "b", "v", 3.1)}}},
		{"soon after it was told", said, 0, judge.History{Arrivals: []judge.Arrival{leaving(1), arrival("r", "b", "v", 2.9)}}},
		{"another VM was told", said, 0, judge.History{Arrivals: []judge.Arrival{leaving(1), arrival("r", "b", "w", 9)}}},
		{"restarted since", said, 0, judge.History{Arrivals: []judge.Arrival{leaving(1), restarted(arrival("r", "b", "v", 9))}}},
		{"too late after it was listed", listed, 1, judge.History{LeaveNotices: left, Arrivals: []judge.Arrival{arrival("r", "b", "v", 7.1)}}},
		{"soon after it was listed", listed, 0, judge.History{LeaveNotices: left, Arrivals: []judge.Arrival{arrival("r", "b", "v", 6.9)}}},
		{"the registry was away", listed, 0, judge.History{LeaveNotices: left, Arrivals: []judge.Arrival{arrival("r", "b", "v", 7.1)},
			Disruptions: []judge.Disruption{{From: at(1), To: at(2.5), Registry: true}}}},
		{"the registry was away long before", listed, 1, judge.History{LeaveNotices: left, Arrivals: []judge.Arrival{arrival("r", "b", "v", 7.1)},
			Disruptions: []judge.Disruption{{From: at(0), To: at(1.5), Registry: true}}}},
		{"three within a rest", rest, 1, judge.History{Arrivals: three}},
		{"two within a rest", rest, 0, judge.History{Arrivals: three[:3]}},
		{"a registry excuses no rest", rest, 1, judge.History{Arrivals: three, Disruptions: []judge.Disruption{{From: at(0), To: at(9), Registry: true}}}},
		{"a cut excuses it", rest, 0, judge.History{Arrivals: three, Disruptions: []judge.Disruption{{VM: "v", From: at(0), To: at(9)}}}},
		{"of another VM's cut", rest, 1, judge.History{Arrivals: three, Disruptions: []judge.Disruption{{VM: "w", From: at(0), To: at(9)}}}},
		{"does not recover", recovered, 1, judge.History{Outcomes: []judge.Outcome{{Sent: at(11)}, {Sent: at(12)}, {Sent: at(13), Answered: true}}}},
		{"recovers", recovered, 0, judge.History{Outcomes: []judge.Outcome{{Sent: at(1)}, {Sent: at(2)}, {Sent: at(13), Answered: true}}}},
	} {
		testkit.Equal(t, c.name, len(c.judge(&c.h)), c.want)
	}
}

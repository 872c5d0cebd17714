package judge_test

import (
	"slices"
	"testing"
	"time"

	"bergamotreel/internal/judge"
	"bergamotreel/internal/testkit"
)

func atSecond(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func arrival(request, backend, vm string, seconds float64) judge.Arrival {
	return judge.Arrival{Request: request, Backend: backend, VM: vm, Sent: atSecond(seconds), At: atSecond(seconds), Ran: true}
}

func retryAfterArrival(seconds float64) judge.Arrival {
	a := arrival("refused", "b", "v", seconds)
	a.Ran, a.RetryAfter = false, 3*time.Second
	return a
}

func leavingArrival(seconds float64) judge.Arrival {
	a := arrival("leaving", "b", "v", seconds)
	a.Leaving = true
	return a
}

func refusedArrival(request string, seconds float64) judge.Arrival {
	a := arrival(request, "b", "v", seconds)
	a.Ran = false
	return a
}

func afterRestart(a judge.Arrival) judge.Arrival {
	a.Incarnation = 1
	return a
}

// Guards against checks that miss violations and against checks that report allowed behaviour.
func TestChecksFindOnlyViolations(t *testing.T) {
	atMostOnce := func(h *judge.History) []judge.Violation { return judge.CheckAtMostOnce(h) }
	honestRefusals := func(h *judge.History) []judge.Violation { return judge.CheckHonestRefusals(h) }
	drainByAnswer := func(h *judge.History) []judge.Violation { return judge.CheckDrainByAnswer(h, 2*time.Second) }
	drainByRegistry := func(h *judge.History) []judge.Violation {
		return judge.CheckDrainByRegistry(h, 2*time.Second, 3*time.Second)
	}
	retryAfter := func(h *judge.History) []judge.Violation { return judge.CheckRetryAfter(h, 500*time.Millisecond, 2) }
	recovery := func(h *judge.History) []judge.Violation { return judge.CheckRecovery(h, atSecond(10), 0.5) }
	servedWithoutPaths := func(h *judge.History) []judge.Violation {
		return judge.CheckServedWithoutPaths(h, 3*time.Second, 0.6, func(int) int { return 1 })
	}
	room := func(h *judge.History) []judge.Violation {
		return judge.CheckRoom(h, func(int) int { return 1 }, time.Second)
	}
	oneVersion := func(h *judge.History) []judge.Violation { return judge.CheckSoftwareVersions(h) }
	completeStreams := func(h *judge.History) []judge.Violation { return judge.CheckCompleteStreams(h) }
	inOrder := func(h *judge.History) []judge.Violation { return judge.CheckStreamOrder(h) }
	received := func(events ...int) judge.History {
		return judge.History{Outcomes: []judge.Outcome{{Request: "r", Events: events}}}
	}
	retryBudget := func(h *judge.History) []judge.Violation {
		return judge.CheckRetries(h, judge.RetryBound{Window: 10 * time.Second, Ratio: 0.5, Slack: 1})
	}
	crashBound := judge.CrashBound{Crashes: 2, MaxLate: 1, Settle: time.Second, MinSoundShare: 0.5, MinSound: 2}
	crashesEnd := func(h *judge.History) []judge.Violation { return judge.CheckCrashingParts(h, crashBound) }
	soundServed := func(h *judge.History) []judge.Violation { return judge.CheckSoundRequests(h, crashBound) }
	soundPassed := func(h *judge.History) []judge.Violation {
		return judge.CheckSoundRefusals(h, 200*time.Millisecond)
	}
	quarantined := func(seconds ...float64) (outcomes []judge.Outcome) {
		for _, at := range seconds {
			outcomes = append(outcomes, judge.Outcome{Request: "r", Sent: atSecond(0), QuarantinedAt: atSecond(at)})
		}
		return outcomes
	}
	crashingPart := func(soundAnswered bool, arrivals ...float64) []judge.CrashingPart {
		part := judge.CrashingPart{Sent: []time.Time{atSecond(2), atSecond(9)}, Crashes: []time.Time{atSecond(2), atSecond(3)}}
		for _, at := range arrivals {
			part.Arrivals = append(part.Arrivals, arrival("r", "b", "v", at))
		}
		for _, at := range []float64{0, 1, 6, 7} {
			part.Sound = append(part.Sound, judge.Outcome{Sent: atSecond(at), Answered: at < 2 || soundAnswered})
		}
		return []judge.CrashingPart{part}
	}
	twice := func(request string, seconds float64) []judge.Arrival {
		return []judge.Arrival{refusedArrival(request, seconds), arrival(request, "c", "w", seconds+0.1)}
	}
	outcomes := func(seconds float64, answered bool) []judge.Outcome {
		return []judge.Outcome{{VM: "w", Sent: atSecond(seconds), Answered: true}, {VM: "v", Sent: atSecond(seconds), Answered: answered}, {VM: "v", Sent: atSecond(seconds)}}
	}
	losses := []judge.PathLoss{{VMs: map[string]bool{"v": true}, From: atSecond(1), To: atSecond(9)}}
	fragile := []judge.FragilePeriod{{Backends: 3, From: atSecond(1), To: atSecond(9), Crashes: []time.Time{atSecond(5), atSecond(6)}}}
	retries := []judge.Arrival{retryAfterArrival(1), refusedArrival("p", 1.6), refusedArrival("q", 2), refusedArrival("r", 3.9)}
	notices := []judge.LeaveNotice{{Backend: "b", At: atSecond(5)}}
	for _, c := range []struct {
		name  string
		check func(*judge.History) []judge.Violation
		want  int
		h     judge.History
	}{
		{"events of two versions", oneVersion, 1, judge.History{Outcomes: []judge.Outcome{{Request: "r", Versions: []string{"v1", "v2"}}}}},
		{"events of one version", oneVersion, 0, judge.History{Outcomes: []judge.Outcome{{Request: "r", Versions: []string{"v1"}}, {Request: "q", Versions: []string{"v2"}}}}},
		{"cut off and complete to the caller", completeStreams, 1, judge.History{Outcomes: []judge.Outcome{{Request: "r", CutOff: true}}}},
		{"events in order", inOrder, 0, received(1, 2, 3)},
		{"no events", inOrder, 0, received()},
		{"an event twice", inOrder, 1, received(1, 2, 2, 3)},
		{"from the first event again", inOrder, 1, received(1, 2, 1, 2, 3)},
		{"an event left out", inOrder, 1, received(1, 3)},
		{"the first event left out", inOrder, 1, received(2, 3)},
		{"broken off", completeStreams, 0, judge.History{Outcomes: []judge.Outcome{{Request: "r"}}}},
		{"sound requests refused for too long", soundPassed, 1, judge.History{Outcomes: quarantined(1, 1.2, 1.4)}},
		{"sound requests refused briefly", soundPassed, 0, judge.History{Outcomes: quarantined(1, 1.02, 1.4)}},
		{"ran twice", atMostOnce, 1, judge.History{Arrivals: []judge.Arrival{arrival("r", "b", "v", 1), arrival("r", "c", "v", 2)}}},
		{"refused, then ran", atMostOnce, 0, judge.History{Arrivals: []judge.Arrival{refusedArrival("r", 1), arrival("r", "c", "v", 2)}}},
		{"not run reported for a request that ran", honestRefusals, 1, judge.History{Arrivals: []judge.Arrival{arrival("r", "b", "v", 1)}, Outcomes: []judge.Outcome{{Request: "r", NotRun: true}}}},
		{"not run reported for a refused request", honestRefusals, 0, judge.History{Arrivals: []judge.Arrival{refusedArrival("r", 1)}, Outcomes: []judge.Outcome{{Request: "r", NotRun: true}}}},
		{"unknown outcome of a request that ran", honestRefusals, 0, judge.History{Arrivals: []judge.Arrival{arrival("r", "b", "v", 1)}, Outcomes: []judge.Outcome{{Request: "r"}}}},
		{"later than the bound after the answer", drainByAnswer, 1, judge.History{Arrivals: []judge.Arrival{leavingArrival(1), arrival("r", "b", "v", 3.1)}}},
		{"within the bound after the answer", drainByAnswer, 0, judge.History{Arrivals: []judge.Arrival{leavingArrival(1), arrival("r", "b", "v", 2.9)}}},
		{"another VM received the answer", drainByAnswer, 0, judge.History{Arrivals: []judge.Arrival{leavingArrival(1), arrival("r", "b", "w", 9)}}},
		{"VM restarted since the answer", drainByAnswer, 0, judge.History{Arrivals: []judge.Arrival{leavingArrival(1), afterRestart(arrival("r", "b", "v", 9))}}},
		{"later than the bound after the leave notice", drainByRegistry, 1, judge.History{LeaveNotices: notices, Arrivals: []judge.Arrival{arrival("r", "b", "v", 7.1)}}},
		{"within the bound after the leave notice", drainByRegistry, 0, judge.History{LeaveNotices: notices, Arrivals: []judge.Arrival{arrival("r", "b", "v", 6.9)}}},
		{"registry disrupted shortly before the leave notice", drainByRegistry, 0, judge.History{LeaveNotices: notices, Arrivals: []judge.Arrival{arrival("r", "b", "v", 7.1)},
			Disruptions: []judge.Disruption{{From: atSecond(1), To: atSecond(2.5), Registry: true}}}},
		{"registry disrupted long before the leave notice", drainByRegistry, 1, judge.History{LeaveNotices: notices, Arrivals: []judge.Arrival{arrival("r", "b", "v", 7.1)},
			Disruptions: []judge.Disruption{{From: atSecond(0), To: atSecond(1.5), Registry: true}}}},
		{"three requests within the retry period", retryAfter, 1, judge.History{Arrivals: retries}},
		{"two requests within the retry period", retryAfter, 0, judge.History{Arrivals: retries[:3]}},
		{"a registry disruption doesn't excuse requests within the retry period", retryAfter, 1, judge.History{Arrivals: retries, Disruptions: []judge.Disruption{{From: atSecond(0), To: atSecond(9), Registry: true}}}},
		{"a disruption of the VM excuses them", retryAfter, 0, judge.History{Arrivals: retries, Disruptions: []judge.Disruption{{VM: "v", From: atSecond(0), To: atSecond(9)}}}},
		{"a disruption of another VM doesn't excuse them", retryAfter, 1, judge.History{Arrivals: retries, Disruptions: []judge.Disruption{{VM: "w", From: atSecond(0), To: atSecond(9)}}}},
		{"too few requests answered", recovery, 1, judge.History{Outcomes: []judge.Outcome{{Sent: atSecond(11)}, {Sent: atSecond(12)}, {Sent: atSecond(13), Answered: true}}}},
		{"nothing answered without paths", servedWithoutPaths, 1, judge.History{PathLosses: losses, Outcomes: outcomes(5, false)}},
		{"answered without paths", servedWithoutPaths, 0, judge.History{PathLosses: losses, Outcomes: outcomes(5, true)}},
		{"nothing answered just after the paths were lost", servedWithoutPaths, 0, judge.History{PathLosses: losses, Outcomes: outcomes(3, false)}},
		{"nothing answered while another VM is disrupted too", servedWithoutPaths, 0, judge.History{PathLosses: losses, Outcomes: outcomes(5, false),
			Disruptions: []judge.Disruption{{VM: "w", From: atSecond(4), To: atSecond(5)}}}},
		{"nothing answered while all VMs are without paths", servedWithoutPaths, 0, judge.History{Outcomes: outcomes(5, false),
			PathLosses: append([]judge.PathLoss{{VMs: map[string]bool{"w": true}, From: atSecond(2), To: atSecond(8)}}, losses...)}},
		{"too many crashes for want of room", room, 1, judge.History{Fragile: fragile}},
		{"a crash after a VM was disrupted", room, 0, judge.History{Fragile: fragile, Disruptions: []judge.Disruption{{VM: "w", From: atSecond(4), To: atSecond(4.5)}}}},
		{"more retries than two requests and the slack allow", retryBudget, 1, judge.History{Arrivals: slices.Concat(twice("p", 11), twice("q", 15), twice("r", 19)),
			Outcomes: []judge.Outcome{{Sent: atSecond(11)}, {Sent: atSecond(15)}}}},
		{"the same for four requests", retryBudget, 0, judge.History{Arrivals: slices.Concat(twice("p", 11), twice("q", 15), twice("r", 19)),
			Outcomes: []judge.Outcome{{Sent: atSecond(11)}, {Sent: atSecond(12)}, {Sent: atSecond(13)}, {Sent: atSecond(15)}}}},
		{"the same for four requests of the window before", retryBudget, 0, judge.History{Arrivals: slices.Concat(twice("p", 11), twice("q", 15), twice("r", 19)),
			Outcomes: []judge.Outcome{{Sent: atSecond(6)}, {Sent: atSecond(7)}, {Sent: atSecond(8)}, {Sent: atSecond(9)}}}},
		{"the same for requests for another service", retryBudget, 1, judge.History{Arrivals: slices.Concat(twice("p", 11), twice("q", 15), twice("r", 19)),
			Outcomes: []judge.Outcome{{Sent: atSecond(11), Service: "other"}, {Sent: atSecond(12), Service: "other"}, {Sent: atSecond(13), Service: "other"}, {Sent: atSecond(14), Service: "other"}}}},
		{"the same retries in two windows", retryBudget, 0, judge.History{Arrivals: slices.Concat(twice("p", 11), twice("q", 15), twice("r", 22)),
			Outcomes: []judge.Outcome{{Sent: atSecond(11)}, {Sent: atSecond(15)}}}},
		{"two late arrivals of a crashing part", crashesEnd, 1, judge.History{CrashingParts: crashingPart(true, 2, 3, 4.1, 8)}},
		{"one late arrival", crashesEnd, 0, judge.History{CrashingParts: crashingPart(true, 2, 3, 3.9, 8)}},
		{"two late arrivals, one from a disrupted VM", crashesEnd, 0, judge.History{CrashingParts: crashingPart(true, 2, 3, 5, 8),
			Disruptions: []judge.Disruption{{VM: "v", From: atSecond(7.5), To: atSecond(7.6)}}}},
		{"sound requests refused", soundServed, 1, judge.History{CrashingParts: crashingPart(false)}},
		{"sound requests answered", soundServed, 0, judge.History{CrashingParts: crashingPart(true)}},
		{"enough requests answered", recovery, 0, judge.History{Outcomes: []judge.Outcome{{Sent: atSecond(1)}, {Sent: atSecond(2)}, {Sent: atSecond(13), Answered: true}}}},
	} {
		testkit.Equal(t, c.name, len(c.check(&c.h)), c.want)
	}
}

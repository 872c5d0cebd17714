package fleetload_test

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"bergamotreel/admission/fleetload"
	"bergamotreel/internal/testkit"
)

var epoch = time.Unix(1_000_000, 0)

// newRequest returns a request with ten seconds for its caller.
func newRequest(now time.Time, priority int) fleetload.Request {
	return fleetload.Request{
		Kind:    fleetload.Kind{Unit: "m", Priority: priority, Target: 400 * time.Millisecond},
		Arrived: now, Deadline: now.Add(9900 * time.Millisecond), CallerDeadline: now.Add(10 * time.Second),
	}
}

func load(priority, waiting int, arrived, usual, dispatched float64) fleetload.Load {
	kind := newRequest(epoch, priority).Kind
	kind.Unit = fleetload.UnitHash(kind.Unit)
	return fleetload.Load{Kind: kind, Waiting: waiting, Arrived: arrived, Usual: usual, Dispatched: dispatched}
}

// newOverloaded returns an estimator that has received the loads for the given time until now.
func newOverloaded(lasted time.Duration, loads ...fleetload.Load) (*fleetload.Estimator, time.Time) {
	e := fleetload.NewEstimator(func() float64 { return 0 })
	now := epoch
	for ; now.Sub(epoch) < lasted; now = now.Add(400 * time.Millisecond) {
		e.SetFleet(now, loads)
	}
	e.SetFleet(now, loads)
	return e, now
}

// Guards against refused callers that return together, or faster than the usual demand leaves room: a VM
// with a tenth of the arrivals may use a tenth of the spare rate of 40 per second.
func TestReturnsAreSpreadOverTheSpareRate(t *testing.T) {
	e, now := newOverloaded(2*time.Second, load(0, 50, 200, 60, 100))
	for range 29 { // 20 per second with a time constant of 1.5 s
		e.RecordArrival(now, newRequest(now, 0))
	}
	var positions []time.Duration
	for {
		after, free, known := e.RetryAfter(now, newRequest(now, 0))
		testkit.Need(t, known, "no retry time")
		if !free {
			testkit.That(t, after == 10*time.Second/3, "the longest useful wait is %s", after)
			break
		}
		positions = append(positions, after)
	}
	testkit.That(t, slices.IsSorted(positions) && positions[0] >= time.Second && positions[len(positions)-1] <= 10*time.Second/3, "got %v", positions)
	rate := float64(len(positions)-1) / (positions[len(positions)-1] - positions[0]).Seconds()
	testkit.That(t, rate > 3 && rate < 9, "%.1f returns per second in %v", rate, positions)

	// No room is left by a demand that usually exceeds the capacity.
	e, now = newOverloaded(2*time.Second, load(0, 50, 200, 150, 100))
	after, free, known := e.RetryAfter(now, newRequest(now, 0))
	testkit.That(t, known && !free && after == 10*time.Second/3, "got %s, free %v", after, free)
	// A caller without time for a retry is not told to make one.
	late := newRequest(now, 0)
	late.CallerDeadline = now.Add(100 * time.Millisecond)
	_, _, known = e.RetryAfter(now, late)
	testkit.That(t, !known, "a retry within 100 ms")
}

// Guards against waits that ignore who goes first: 30 urgent and 60 other requests wait, 100 per second are
// dispatched, and 50 urgent ones per second arrive.
func TestWaitCountsMoreUrgentRequests(t *testing.T) {
	e, now := newOverloaded(20*time.Second, load(0, 30, 50, 50, 50), load(-1, 60, 100, 100, 50))
	urgent, known := e.Wait(now, newRequest(now, 0))
	testkit.That(t, known && urgent == 300*time.Millisecond, "urgent: %s", urgent)
	other, known := e.Wait(now, newRequest(now, -1))
	testkit.That(t, known && other > 1700*time.Millisecond && other < 1900*time.Millisecond, "other: %s", other)
	for range 100 {
		testkit.That(t, e.Admit(now, newRequest(now, 0)), "an urgent request is refused")
	}
	hopeless := newRequest(now, -1)
	hopeless.Deadline = now.Add(time.Second)
	testkit.That(t, !e.Admit(now, hopeless), "a request is admitted that can't be dispatched in time")
}

// Guards against decisions by sums that are old, by too few dispatches, by a short backlog or by bad numbers.
func TestLittleKnowledgeDecidesNothing(t *testing.T) {
	full := load(0, 1000, 200, 200, 100)
	bad := make([]fleetload.Load, 6)
	for i := range bad {
		bad[i] = full
	}
	bad[0].Waiting, bad[1].Waiting = -1, math.MaxInt
	bad[2].Dispatched, bad[3].Arrived, bad[4].Usual, bad[5].Returned = math.NaN(), math.Inf(1), -1, math.MaxFloat64
	cases := map[string]struct {
		loads  []fleetload.Load
		lasted time.Duration
		age    time.Duration
	}{
		"nothing":          {lasted: 10 * time.Second},
		"few dispatches":   {loads: []fleetload.Load{load(0, 1000, 200, 200, 3)}, lasted: 10 * time.Second},
		"short backlog":    {loads: []fleetload.Load{full}, lasted: 800 * time.Millisecond},
		"no backlog":       {loads: []fleetload.Load{load(0, 5, 100, 100, 100)}, lasted: 10 * time.Second},
		"sums are too old": {loads: []fleetload.Load{full}, lasted: 10 * time.Second, age: 3 * time.Second},
		"bad numbers":      {loads: bad, lasted: 10 * time.Second},
	}
	for name, c := range cases {
		e, now := newOverloaded(c.lasted, c.loads...)
		now = now.Add(c.age)
		r := newRequest(now, -1)
		_, _, known := e.RetryAfter(now, r)
		_, reachable := e.CanReach(now, r)
		may := e.MayDispatch(now, r, func() bool { return false })
		testkit.That(t, e.Admit(now, r) && may && reachable && !known, "%s decides", name)
	}
	e, now := newOverloaded(10*time.Second, full)
	testkit.That(t, !e.Admit(now, newRequest(now, -1)), "the full load doesn't decide either")
}

// Guards against memory and messages that grow with the model names that callers make up.
func TestMadeUpUnitsAreBounded(t *testing.T) {
	e := fleetload.NewEstimator(func() float64 { return 0 })
	for i := range 100_000 {
		r := newRequest(epoch, 0)
		r.Unit = strconv.Itoa(i)
		e.RecordArrival(epoch, r)
		e.RecordWaiting(epoch, r.Kind)
		testkit.Need(t, e.Admit(epoch, r), "refused")
	}
	testkit.That(t, len(e.Report(epoch)) <= 16, "%d entries", len(e.Report(epoch)))
}

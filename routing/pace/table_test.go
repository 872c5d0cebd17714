package pace_test

import (
	"math"
	"math/rand"
	"testing"
	"time"

	"bergamotreel/internal/testkit"
	"bergamotreel/routing"
	"bergamotreel/routing/pace"
)

func key(engine string, started int64) pace.Key {
	return pace.Key{Engine: engine, Started: started, Model: "m"}
}

// newMeasuredTable returns a table that knows three engines from its own measurements. "slow" writes an event in
// 90 ms, and a twentieth of its events in 250 ms; the others need 60 ms.
func newMeasuredTable(now time.Time) *pace.Table {
	t := pace.NewTable()
	for i := range 400 {
		t.ObserveGap(now, key("one", 1), 60*time.Millisecond, 1)
		t.ObserveGap(now, key("two", 1), 60*time.Millisecond, 1)
		gap := 90 * time.Millisecond
		if i%20 == 0 {
			gap = 250 * time.Millisecond
		}
		t.ObserveGap(now, key("slow", 1), gap, 1)
		t.ObserveFirstEvent(now, key("one", 1), 100*time.Millisecond)
	}
	t.SetFleet(now, t.Report(now))
	return t
}

func streamOf(events float64) pace.Targets {
	return pace.Targets{Gap: targetGap, Events: events, FirstEventDue: fleetStart.Add(time.Minute)}
}

// Load pattern: long and short streams. Guards against short streams that avoid slow engines as long ones have to.
func TestShortStreamsLoseLittleOnSlowEngines(t *testing.T) {
	table := newMeasuredTable(fleetStart)
	slow, fast := table.Estimate(fleetStart, key("slow", 1)), table.Estimate(fleetStart, key("one", 1))
	long, short := slow.MissProbability(fleetStart, streamOf(31)), slow.MissProbability(fleetStart, streamOf(5))
	testkit.That(t, long > 0.7 && short < 0.3, "31 events %.3f, 5 events %.3f", long, short)
	testkit.That(t, fast.MissProbability(fleetStart, streamOf(31)) < 0.05, "on a fast engine %.3f", fast.MissProbability(fleetStart, streamOf(31)))
	testkit.That(t, slow.Slowness() > 1.3 && fast.Slowness() == 1, "slowness %.2f and %.2f", slow.Slowness(), fast.Slowness())
	due := streamOf(31)
	due.FirstEventDue = fleetStart.Add(90 * time.Millisecond)
	testkit.That(t, fast.MissProbability(fleetStart, due) > 0.5, "a first event due in 90 ms: %.3f", fast.MissProbability(fleetStart, due))
	due.FirstEventDue = fleetStart
	testkit.That(t, fast.MissProbability(fleetStart, due) == 1, "a late request takes a fast place")
}

// Load patterns: an engine that starts anew, a slow period that passes, a VM that was frozen. Guards against
// estimates from an earlier start or cause, and against engines that are not explored.
func TestPacesAreForgotten(t *testing.T) {
	table, now := newMeasuredTable(fleetStart), fleetStart
	median := table.Estimate(now, key("one", 2))
	testkit.That(t, median.Slowness() == 1 && median.MissProbability(now, streamOf(31)) < 0.05, "a new start of the slow engine isn't the median")
	testkit.That(t, table.Estimate(now, key("slow", 2)) == median, "two engines without samples differ")
	testkit.That(t, table.Estimate(now.Add(pace.Window+1), key("slow", 1)) == nil, "an estimate after a freeze")
	for range 10 {
		now = now.Add(time.Second)
		for range 100 {
			table.ObserveGap(now, key("slow", 1), 60*time.Millisecond, 1)
			table.ObserveGap(now, key("one", 1), 60*time.Millisecond, 1)
		}
		table.SetFleet(now, table.Report(now))
	}
	after := table.Estimate(now, key("slow", 1))
	testkit.That(t, after.Slowness() == 1 && after.MissProbability(now, streamOf(31)) < 0.01, "slow after it has passed: %.2f, %.3f", after.Slowness(), after.MissProbability(now, streamOf(31)))
	testkit.Equal(t, "reported engines", len(table.Report(now)), 2)
	testkit.Equal(t, "engines reported without samples", len(table.Report(now.Add(pace.Window))), 0)
}

// Guards against an operator's log that repeats itself or misses that an engine is slow.
func TestChangesAreReportedOnce(t *testing.T) {
	table := pace.NewTable()
	counts := []pace.Counts{{Backend: "one", Model: "m", Gaps: []uint32{0, 100}}, {Backend: "two", Model: "m", Gaps: []uint32{0, 100}}, {Backend: "slow", Model: "m", Gaps: []uint32{0, 0, 0, 100}}}
	changes := table.SetFleet(fleetStart, counts)
	testkit.That(t, len(changes) == 1 && changes[0].Engine == "slow" && changes[0].Slow, "got %+v", changes)
	testkit.Equal(t, "repeated changes", len(table.SetFleet(fleetStart, counts)), 0)
	changes = table.SetFleet(fleetStart, counts[:2])
	testkit.That(t, len(changes) == 1 && !changes[0].Slow, "got %+v", changes)
}

// Guards against counts of a faulty VM and token counts of a caller that make estimates useless for others.
func TestBadNumbersAffectNobodyElse(t *testing.T) {
	table := pace.NewTable()
	table.ObserveGap(fleetStart, key("one", 1), -time.Second, 1)
	table.ObserveGap(fleetStart, key("one", 1), time.Second, -3)
	bad := make([]uint32, 100)
	for i := range bad {
		bad[i] = math.MaxUint32
	}
	table.SetFleet(fleetStart, append(table.Report(fleetStart), pace.Counts{Backend: "bad", Model: "m", Gaps: bad, FirstEvents: bad}))
	for _, engine := range []string{"one", "bad"} {
		p := table.Estimate(fleetStart, key(engine, 1)).MissProbability(fleetStart, streamOf(math.Inf(1)))
		testkit.That(t, p >= 0 && p <= 1, "%s: %v", engine, p)
	}
	lengths := pace.NewLengths()
	testkit.That(t, lengths.Expect("k", 279) > 1, "no default")
	for i := range 200 {
		lengths.Observe("k", 279, 31)
		if i%4 == 0 {
			lengths.Observe("k", 1<<40, 1)
		}
	}
	events := lengths.Expect("k", 279)
	testkit.That(t, events > 20 && events < 45, "%.1f events expected of 31", events)
	testkit.That(t, lengths.Expect("k", 45) < 8, "%.1f events expected of 5", lengths.Expect("k", 45))
}

// Load pattern: all fast engines are full. Guards against slow engines that stay empty, in both ways to choose.
func TestSlowEnginesAreUsedWhenOthersAreFull(t *testing.T) {
	table := newMeasuredTable(fleetStart)
	for _, age := range []time.Duration{0, 400 * time.Millisecond} {
		router := routing.New(routing.Config{}, rand.New(rand.NewSource(1)))
		used := map[string]int{}
		for range 36 {
			var list []routing.Candidate
			for _, name := range []string{"one", "two", "slow"} {
				list = append(list, routing.Candidate{Engine: name, Slots: 12, Ready: true, PeersInFlightAge: age, Pace: table.Estimate(fleetStart, key(name, 1))})
			}
			choice, ok := router.Pick(fleetStart, routing.Query{Pool: "m", Pace: streamOf(31)}, list)
			testkit.Need(t, ok, "no engine with %v in use", used)
			router.RecordStart(fleetStart, choice.Engine, "m", nil)
			if used[choice.Engine]++; age == 0 && used["slow"] > 0 {
				testkit.That(t, used["one"] == 12 && used["two"] == 12, "slow engine used with %v in use", used)
			}
		}
		testkit.Equal(t, "used slots of the slow engine", used["slow"], 12)
	}
}

package placement

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/internal/testkit"
)

// A planner goes while a timer calls every 10 minutes, and another one takes over
// with what it is told: it must keep, load ahead and value the unit as the first
// would have. Told once more, or of less than it knows, it must not count the same
// calls twice; and a broken history must not be taken at all.
func TestHistoryIsHandedOver(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	first, next := NewPlanner(Config{}), NewPlanner(Config{})
	for range 12 {
		for range 3 {
			first.RecordRequest("timer", at)
			at = at.Add(5 * time.Second)
		}
		at = at.Add(10*time.Minute - 15*time.Second)
	}
	first.RecordLoad("timer", TierDisk, 3*time.Second)
	told, _ := first.History("timer", at)
	for i, want := range []bool{true, false} {
		testkit.That(t, next.ImportHistory(told, at) == want, "told the %d. time: not %v", i+1, want)
		again, _ := next.History("timer", at)
		diff := cmp.Diff(told, again)
		testkit.That(t, diff == "", "not what was told: %s", diff)
		testkit.That(t, next.all == first.all && next.KeepUntil("timer", at).Equal(first.KeepUntil("timer", at)),
			"keeps or values it differently")
	}
	from, to, ok := first.histories["timer"].rhythm.next(at)
	nextFrom, nextTo, nextOK := next.histories["timer"].rhythm.next(at)
	testkit.That(t, ok && ok == nextOK && from.Equal(nextFrom) && to.Equal(nextTo), "foresees another call")
	for _, broken := range []History{
		{}, {Unit: "x", Gaps: make([]float32, gapBuckets+1)}, {Unit: "x", Gaps: []float32{float32(math.NaN())}},
		{Unit: "x", Bins: map[int16]float64{int16(binsPerDay): 1}}, {Unit: "x", LastAgo: -1}, {Unit: "x", Mean: math.NaN()},
		{Unit: "x", LoadTimes: map[string]time.Duration{"disk": 0}},
	} {
		testkit.That(t, !next.ImportHistory(broken, at) && next.histories["x"] == nil, "took %+v", broken)
	}
}

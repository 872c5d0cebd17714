package placement

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/internal/testkit"
)

// A planner that imports the history of a unit must keep, preload and evict it as
// the exporting planner would have. Importing the same history again must not count
// its requests twice, and an invalid history must be rejected.
func TestImportHistoryKeepsForecast(t *testing.T) {
	at := time.Unix(1_800_000_000, 0)
	exporter, importer := NewPlanner(Config{}), NewPlanner(Config{})
	for range 12 {
		for range 3 {
			exporter.RecordRequest("timer", at)
			at = at.Add(5 * time.Second)
		}
		at = at.Add(10*time.Minute - 15*time.Second)
	}
	exporter.RecordLoad("timer", TierDisk, 3*time.Second)
	exported, _ := exporter.History("timer", at)
	for i, want := range []bool{true, false} {
		testkit.That(t, importer.ImportHistory(exported, at) == want, "import %d: not %v", i+1, want)
		again, _ := importer.History("timer", at)
		diff := cmp.Diff(exported, again)
		testkit.That(t, diff == "", "not the imported history: %s", diff)
		testkit.That(t, importer.allGaps == exporter.allGaps && importer.KeepUntil("timer", at).Equal(exporter.KeepUntil("timer", at)),
			"keep time or gap counts differ")
	}
	from, to, ok := exporter.histories["timer"].period.nextWakeUp(at)
	importedFrom, importedTo, importedOK := importer.histories["timer"].period.nextWakeUp(at)
	testkit.That(t, ok && ok == importedOK && from.Equal(importedFrom) && to.Equal(importedTo), "expects another next call")
	for _, invalid := range []History{
		{}, {Unit: "x", Gaps: make([]float32, gapBuckets+1)}, {Unit: "x", Gaps: []float32{float32(math.NaN())}},
		{Unit: "x", Bins: map[int16]float64{int16(binsPerDay): 1}}, {Unit: "x", LastAgo: -1}, {Unit: "x", Mean: math.NaN()},
		{Unit: "x", LoadTimes: map[string]time.Duration{"disk": 0}},
	} {
		testkit.That(t, !importer.ImportHistory(invalid, at) && importer.histories["x"] == nil, "imported %+v", invalid)
	}
}

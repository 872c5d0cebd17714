package fairshare_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"bergamotreel/admission/fairshare"
	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

var epoch = time.Unix(1_000_000, 0)

func key(workspace string) fairshare.Key { return fairshare.Key{Service: "s", Workspace: workspace} }

func usage(workspace string, slots float64) fairshare.Usage {
	return fairshare.Usage{Key: key(workspace), Used: int64(slots * 1000)}
}

// Guards against a weight that depends on the quota's unit, and against a quota that is unset, extreme or
// not a number and leaves a workspace without a share or takes that of the others.
func TestWeights(t *testing.T) {
	quota := func(unit contract.QuotaUnit, rate float64) contract.Quota {
		return contract.Quota{Unit: unit, PerSecond: rate}
	}
	for want, weights := range map[string]map[string]float64{
		"map[a:1.5 b:0.5 c:1 d:1]": fairshare.Weights([]contract.Workspace{{Name: "a", Quota: quota(contract.CountTokens, 3000)},
			{Name: "b", Quota: quota(contract.CountTokens, 1000)}, {Name: "c"}, {Name: "d", Quota: quota(contract.CountRequests, 5)}}),
		"map[huge:2 tiny:0.01]": fairshare.Weights([]contract.Workspace{{Name: "huge", Quota: quota(contract.CountTokens, 1e12)}, {Name: "tiny", Quota: quota(contract.CountTokens, 1)}}),
		"map[inf:1 nan:1 neg:1]": fairshare.Weights([]contract.Workspace{{Name: "nan", Quota: quota(contract.CountTokens, math.NaN())},
			{Name: "inf", Quota: quota(contract.CountTokens, math.Inf(1))}, {Name: "neg", Quota: quota(contract.CountTokens, -1)}}),
	} {
		for name, weight := range weights {
			weights[name] = math.Round(100*weight) / 100
		}
		testkit.Equal(t, "weights", fmt.Sprint(weights), want)
	}
}

// Guards against usage that counts requests instead of slot time, against entries that are never forgotten,
// and against a report that grows with the number of workspaces.
func TestMeterMeasuresSlotTime(t *testing.T) {
	m := fairshare.NewMeter()
	for i := range 100 {
		m.Run(epoch, key(fmt.Sprint("w", i)), 1)
	}
	m.Run(epoch, key("long"), 3)
	m.Wait(epoch, key("long"), 2)
	m.Run(epoch.Add(-time.Hour), key("long"), 0) // a clock that goes back has no effect
	report := m.Report(epoch.Add(10*fairshare.Window), 3)
	testkit.That(t, len(report) == 3 && report[0].Key == key("long") && report[0].Used == 3000 && report[0].Waiting == 2, "got %v", report)
	for i := range 100 {
		m.Run(epoch.Add(10*fairshare.Window), key(fmt.Sprint("w", i)), -1)
	}
	// A request of half a second each second uses half a slot.
	at := epoch.Add(10 * fairshare.Window)
	for i := range 40 {
		m.Run(at, key("half"), 1-2*(i%2))
		at = at.Add(500 * time.Millisecond)
	}
	report = m.Report(at, 200)
	testkit.That(t, len(report) == 2 && report[0].Key == key("half") && report[0].Used > 300 && report[0].Used < 700, "got %v", report)
}

// Guards against a workspace that counts as beyond its share although it is alone, or by random variation,
// and against one that changes its state with each report, or keeps it without reports.
func TestSharesOfWorkspaces(t *testing.T) {
	s := fairshare.NewShares()
	s.SetWeights(map[string]float64{"a": 1, "b": 1, "big": 4})
	isOver := func(workspace string, usages ...fairshare.Usage) bool {
		s.SetFleet(epoch, usages)
		return s.IsOver(epoch, key(workspace))
	}
	for name, got := range map[string]bool{
		"alone":          isOver("a", usage("a", 1000)),
		"by chance":      isOver("a", usage("a", 60), usage("b", 40)),
		"by its weight":  isOver("big", usage("big", 400), usage("a", 100)),
		"negative usage": isOver("a", usage("a", 1), usage("b", -1e9)),
	} {
		testkit.That(t, !got, "%s: beyond the share", name)
	}
	testkit.That(t, isOver("a", usage("a", 90), usage("b", 10)), "a burst is within its share")
	testkit.That(t, isOver("a", usage("a", 60), usage("b", 40)), "not beyond the share any more slightly below its limit")
	testkit.That(t, s.IsOver(epoch.Add(fairshare.MaxAge), key("a")) && !s.IsOver(epoch.Add(fairshare.MaxAge+1), key("a")), "the state without reports")
	testkit.Equal(t, "changes at the end of all usage", fmt.Sprint(s.SetFleet(epoch, nil)), "[{{s a} false 0 0}]")
}

// Guards against a VM that learns of a burst only from other VMs' reports, and against one that takes a
// workspace whose requests have moved to it for a burst for long.
func TestSurgeThroughOneVM(t *testing.T) {
	s := fairshare.NewShares()
	now := epoch
	set := func(slots float64) bool {
		now = now.Add(400 * time.Millisecond)
		s.SetOwn(now, []fairshare.Usage{usage("a", slots), usage("b", 5)})
		return s.IsOver(now, key("a"))
	}
	for range 50 {
		testkit.That(t, !set(5), "a surge of constant usage")
	}
	testkit.That(t, set(50), "no surge at ten times the usage")
	for range 6 {
		set(50)
	}
	testkit.That(t, !set(50), "still a surge after 2.8 s")
}

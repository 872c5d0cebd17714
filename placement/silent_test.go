package placement

import "testing"

// A contract's minimum of two is loaded on an engine that this VM hears and on two
// that it doesn't. Were those two not counted, the one heard would seem promised
// and never make room: requests for other models would be refused beside a
// replica that nobody needs.
func TestSilentEnginesCountAsWhole(t *testing.T) {
	f, unit := NewFleet(), Unit{Name: "m", Customer: "c", MinReplicas: 2}
	right := []Holding{{Unit: "m", Customer: "c", Wanted: true}}
	f.Set(Engine{Name: "heard", MemoryBytes: 1, Holdings: right})
	for _, step := range []struct {
		keep     func(Engine)
		holdings []Holding
		promised bool
		largest  int64
	}{{f.Set, right, false, 9}, {f.SetSilent, right, false, 9}, {f.SetSilent, nil, true, 9}, {f.SetSilent, right, false, 9},
		{func(e Engine) { f.Remove(e.Name) }, nil, true, 1}} {
		for _, name := range []string{"a", "b"} {
			step.keep(Engine{Name: name, MemoryBytes: 9, Holdings: step.holdings})
		}
		r := newRound(NewPlanner(Config{}), View{Fleet: f, LookupUnit: func(string, string) (Unit, bool) { return unit, true }})
		if got, largest := r.promised(&right[0]), r.largestEngine(); got != step.promised || largest != step.largest {
			t.Errorf("%+v: promised %v, largest %d", step, got, largest)
		}
	}
	if len(f.silentCounts) != 0 {
		t.Errorf("counts left: %v", f.silentCounts)
	}
}

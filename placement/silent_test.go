package placement

import "testing"

// A contract's minimum of two replicas is loaded on an engine that reports to this
// VM and on two silent ones. If the silent ones were not counted, the replica on the
// first would seem required by the contract and would never be evicted: requests for
// other models would be refused although nobody needs it.
func TestSilentEnginesCountForContracts(t *testing.T) {
	f, unit := NewFleet(), Unit{Name: "m", Customer: "c", MinReplicas: 2}
	right := []Holding{{Unit: "m", Customer: "c", Wanted: true}}
	f.SetEngine(Engine{Name: "reporting", MemoryBytes: 1, Holdings: right})
	for _, step := range []struct {
		set      func(Engine)
		holdings []Holding
		required bool
		largest  int64
	}{{f.SetEngine, right, false, 9}, {f.SetSilent, right, false, 9}, {f.SetSilent, nil, true, 9}, {f.SetSilent, right, false, 9},
		{func(e Engine) { f.Remove(e.Name) }, nil, true, 1}} {
		for _, name := range []string{"a", "b"} {
			step.set(Engine{Name: name, MemoryBytes: 9, Holdings: step.holdings})
		}
		r := newRound(NewPlanner(Config{}), View{Fleet: f, LookupUnit: func(string, string) (Unit, bool) { return unit, true }})
		if got, largest := r.isRequiredByContract(&right[0]), r.largestEngineMemory(); got != step.required || largest != step.largest {
			t.Errorf("%+v: required %v, largest %d", step, got, largest)
		}
	}
	if len(f.silentCounts) != 0 {
		t.Errorf("counts left: %v", f.silentCounts)
	}
}

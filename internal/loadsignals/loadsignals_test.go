package loadsignals_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/internal/testkit"
)

// Guards against sums that depend on the order of VMs, change a VM's own signals or drop one's.
func TestSumAddsSignalsOfAllVMs(t *testing.T) {
	first := &entryvm.LoadSignals{
		Paces:      []entryvm.EnginePace{{Backend: "e", Started: 1, Model: "m", Gaps: []uint32{1, 2}}},
		Workspaces: []entryvm.WorkspaceUsage{{Service: "s", Workspace: "w", Used: 1.5, Waiting: 2}},
		Units:      []entryvm.UnitLoad{{Unit: "u", Priority: -1, Waiting: 3, Arrived: 2, Dispatched: 1}},
	}
	second := &entryvm.LoadSignals{
		Paces:      []entryvm.EnginePace{{Backend: "e", Started: 2, Model: "m", Gaps: []uint32{9}}, {Backend: "e", Started: 1, Model: "m", Gaps: []uint32{1, 1, 1}, FirstEvents: []uint32{4}}},
		Workspaces: []entryvm.WorkspaceUsage{{Service: "s", Workspace: "w", Used: 0.5}, {Service: "s", Workspace: "v", Waiting: 1}},
		Units:      []entryvm.UnitLoad{{Unit: "u", Waiting: 5}, {Unit: "u", Priority: -1, Waiting: 1, Dispatched: 2}},
	}
	want := &entryvm.LoadSignals{
		Paces:      []entryvm.EnginePace{{Backend: "e", Started: 1, Model: "m", Gaps: []uint32{2, 3, 1}, FirstEvents: []uint32{4}}, {Backend: "e", Started: 2, Model: "m", Gaps: []uint32{9}}},
		Workspaces: []entryvm.WorkspaceUsage{{Service: "s", Workspace: "v", Waiting: 1}, {Service: "s", Workspace: "w", Used: 2, Waiting: 2}},
		Units:      []entryvm.UnitLoad{{Unit: "u", Priority: -1, Waiting: 4, Arrived: 2, Dispatched: 3}, {Unit: "u", Waiting: 5}},
	}
	for _, order := range [][]*entryvm.LoadSignals{{first, nil, second}, {second, first}} {
		sum := loadsignals.NewSum()
		for _, s := range order {
			sum.Add(s)
		}
		testkit.That(t, reflect.DeepEqual(sum.Total(), want), "got %+v", sum.Total())
	}
	testkit.That(t, slices.Equal(first.Paces[0].Gaps, []uint32{1, 2}), "the first VM's gaps changed to %v", first.Paces[0].Gaps)
}

// Guards against lists of paces that grow with the number of engines, and against a choice of the kept ones that
// depends on the order of VMs.
func TestSumBoundsPaces(t *testing.T) {
	sum := loadsignals.NewSum()
	for i := range 600 {
		sum.Add(&entryvm.LoadSignals{Paces: []entryvm.EnginePace{{Backend: fmt.Sprint("e", i), Gaps: []uint32{uint32(i)}}}})
	}
	kept := sum.Total().Paces
	testkit.Equal(t, "paces", len(kept), 512)
	testkit.That(t, !slices.ContainsFunc(kept, func(p entryvm.EnginePace) bool { return p.Gaps[0] < 600-512 }), "a pace with few samples is kept")
}

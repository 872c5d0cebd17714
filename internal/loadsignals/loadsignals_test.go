package loadsignals_test

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"testing"

	"bergamotreel/entryvm"
	"bergamotreel/internal/loadsignals"
	"bergamotreel/internal/testkit"
)

// Guards against sums that depend on the order of VMs, change a VM's own signals or drop one's.
func TestSumAddsSignalsOfAllVMs(t *testing.T) {
	first := &entryvm.LoadSignals{
		Paces:      []entryvm.EnginePace{{Backend: "e", Started: 1, Model: "m", Gaps: []uint32{1, 2}}},
		Workspaces: []entryvm.ServiceUsage{{Service: "s", Workspaces: []entryvm.WorkspaceUsage{{Workspace: "w", Used: 1500, Waiting: 2}}}},
		Units:      []entryvm.UnitLoad{{Unit: "u", Priority: -1, Waiting: 3, Arrived: 2, Dispatched: 1}},
		Queues:     []entryvm.QueueLoad{{Service: "s", Arrived: 3, Sent: 2, Work: 0.5}, {Service: "s", Backend: "b", Sent: 2, Rejected: 1, Length: 3, VMs: 1}},
	}
	second := &entryvm.LoadSignals{
		Paces:      []entryvm.EnginePace{{Backend: "e", Started: 2, Model: "m", Gaps: []uint32{9}}, {Backend: "e", Started: 1, Model: "m", Gaps: []uint32{1, 1, 1}, FirstEvents: []uint32{4}}},
		Workspaces: []entryvm.ServiceUsage{{Service: "r", Workspaces: []entryvm.WorkspaceUsage{{Workspace: "w", Used: 7}}}, {Service: "s", Workspaces: []entryvm.WorkspaceUsage{{Workspace: "w", Used: 500}, {Workspace: "v", Waiting: 1}}}},
		Units:      []entryvm.UnitLoad{{Unit: "u", Waiting: 5}, {Unit: "u", Priority: -1, Waiting: 1, Dispatched: 2}},
		Queues:     []entryvm.QueueLoad{{Service: "s", Backend: "b", Sent: 1, Length: 4, VMs: 1}, {Service: "s", Arrived: 1}},
	}
	want := &entryvm.LoadSignals{
		Paces:      []entryvm.EnginePace{{Backend: "e", Started: 1, Model: "m", Gaps: []uint32{2, 3, 1}, FirstEvents: []uint32{4}}, {Backend: "e", Started: 2, Model: "m", Gaps: []uint32{9}}},
		Workspaces: []entryvm.ServiceUsage{{Service: "r", Workspaces: []entryvm.WorkspaceUsage{{Workspace: "w", Used: 7}}}, {Service: "s", Workspaces: []entryvm.WorkspaceUsage{{Workspace: "v", Waiting: 1}, {Workspace: "w", Used: 2000, Waiting: 2}}}},
		Units:      []entryvm.UnitLoad{{Unit: "u", Priority: -1, Waiting: 4, Arrived: 2, Dispatched: 3}, {Unit: "u", Waiting: 5}},
		Queues:     []entryvm.QueueLoad{{Service: "s", Arrived: 4, Sent: 2, Work: 0.5}, {Service: "s", Backend: "b", Sent: 3, Rejected: 1, Length: 7, VMs: 2}},
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

// Guards against sums that grow with the number of workspaces, or leave out the largest ones.
func TestSumKeepsLargestWorkspaces(t *testing.T) {
	sum, service := loadsignals.NewSum(), entryvm.ServiceUsage{Service: "s"}
	for i := range 500 {
		service.Workspaces = append(service.Workspaces, entryvm.WorkspaceUsage{Workspace: strconv.Itoa(i), Used: int64(i)})
	}
	sum.Add(&entryvm.LoadSignals{Workspaces: []entryvm.ServiceUsage{service}})
	list := sum.Total().Workspaces[0].Workspaces
	testkit.That(t, len(list) == 64 && list[0].Workspace == "436" && list[63].Workspace == "499", "%d workspaces: %v", len(list), list)
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

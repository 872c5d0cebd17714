package main

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"bergamotreel/internal/verbs"
	"bergamotreel/operator"
)

// bubbleStart is the initial time of the clock in a synctest bubble.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// sampleReport returns a report with an example of each state that the status prints.
func sampleReport() operator.StatusReport {
	ago := func(d time.Duration) time.Time { return bubbleStart.Add(-d) }
	unit := func(name string, phase operator.Phase) operator.Unit {
		u := operator.Unit{Name: name, Customer: "trinidad", Phase: phase, Bytes: 16e9}
		if phase == operator.PhaseLoading {
			u.PhaseSince = ago(95 * time.Second)
		}
		return u
	}
	return operator.StatusReport{
		VM:  operator.ReportingVM{ID: "entry-a", Domain: "d1", Region: "main", Incarnation: "1f", Version: "v0.1.0", StartedAt: ago(26 * time.Hour), Ready: true},
		Log: operator.LogPosition{Applied: 17, End: 20, Lag: 3, Reachable: true, LastReachedAt: ago(time.Second)},
		VMs: []operator.EntryVM{
			{ID: "entry-a", Domain: "d1", Applied: 17, NewestContract: version(17), LastDigestAt: ago(0)},
			{ID: "entry-b", Domain: "d1", Applied: 15, NewestContract: version(9), LastDigestAt: ago(250 * time.Millisecond)},
			{ID: "entry-c", Domain: "d2", Missing: true, LastDigestAt: ago(42 * time.Second)},
			{ID: "entry-d", Domain: "d2", Missing: true},
			{ID: "entry-f", Domain: "d2", Missing: true, Leaving: true, LastDigestAt: ago(7 * time.Second)},
			{ID: "entry-e", Domain: "d2", Applied: 16, LastDigestAt: ago(time.Second), Leaving: true},
		},
		Contracts: []operator.ContractSummary{
			{Customer: "kathmandu", Version: version(12), ChangeID: "FIRST", Models: 2, Adapters: 2, Services: 1},
			{Customer: "old", Version: version(7), ChangeID: "REMOVE", Removed: true},
			{Customer: "trinidad", Version: version(17), ChangeID: "CARNIVAL", Models: 3, Adapters: 2, Services: 1},
		},
		Engines: []operator.Engine{
			{Name: "10.0.2.1:9000", Domain: "d1", Keeper: "entry-a", FencingToken: version(11), ChecksTokens: true, MemoryBytes: 80e9, UsedBytes: 32.2e9,
				Units: []operator.Unit{unit("clerk-7b", operator.PhaseLoaded), unit("damage-13b", operator.PhaseLoading), unit("shop-12", operator.PhaseLoaded)}},
			{Name: "10.0.2.2:9000", Domain: "d2", MemoryBytes: 80e9, UsedBytes: 16e9, Missing: true,
				Units: []operator.Unit{unit("clerk-7b", operator.PhaseStandby), unit("season-34b", operator.PhaseUnloading)}},
			{Name: "10.0.2.3:9000", Domain: "d2", Keeper: "entry-e", FencingToken: version(5), MemoryBytes: 80e9, Leaving: true,
				Units: []operator.Unit{unit("shop-47", operator.PhaseStandby), unit("season-34b", operator.PhaseUnloading)}},
		},
		Waiting: []operator.WaitingUnit{
			{Name: "damage-13b", Customer: "trinidad", Requests: 3, TimeLeft: 12500 * time.Millisecond},
			{Name: "shop-47", Customer: "trinidad", Requests: 1, TimeLeft: 800 * time.Millisecond},
		},
		Refusals: []operator.RefusalCount{{Customer: "", Code: "unknown_key", Count: 4}, {Customer: "trinidad", Code: "wait_too_long", Count: 2}},
	}
}

func runStatus(t *testing.T, report operator.StatusReport, args ...string) string {
	var printed string
	synctest.Test(t, func(t *testing.T) {
		s := &statusCommand{connection: newConnection()}
		op := &fakeOperator{status: func(int) (operator.StatusReport, error) { return report, nil }}
		s.connection.open = func() (operator.Operator, error) { return op, nil }
		printed = runVerb(verbs.Verb{Name: "status", Attach: s.attach, Run: s.run}, args)
	})
	return printed
}

func TestStatus(t *testing.T) {
	lost := operator.StatusReport{
		VM:  operator.ReportingVM{ID: "entry-a", Domain: "d1", Region: "main", Version: "v0.1.0", StartedAt: bubbleStart, NotReadyReason: "no state yet"},
		Log: operator.LogPosition{Applied: 9}, // from another entry VM
	}
	many := operator.StatusReport{VM: sampleReport().VM, Log: sampleReport().Log}
	for i := range maxRows + 2 {
		many.Engines = append(many.Engines, operator.Engine{Name: fmt.Sprintf("engine-%02d", i), Domain: "d1", MemoryBytes: 80e9})
	}
	golden := goldie.New(t)
	golden.Assert(t, "status", []byte(runStatus(t, sampleReport())))
	golden.Assert(t, "status_json", []byte(runStatus(t, sampleReport(), "-json")))
	golden.Assert(t, "status_lost", []byte(runStatus(t, lost)))
	golden.Assert(t, "status_many", []byte(runStatus(t, many)))
	golden.Assert(t, "status_all", []byte(runStatus(t, many, "-all")))
}

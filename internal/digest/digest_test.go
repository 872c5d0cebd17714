package digest_test

import (
	"fmt"
	"testing"
	"time"

	"bergamotreel/entryvm"
	"bergamotreel/internal/digest"
	"bergamotreel/internal/testkit"

	_ "bergamotreel/internal/fixedseed"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

const timeout = 3 * time.Second

var begin = time.Unix(1000, 0)

// after is the time so many milliseconds after the begin.
func after(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

func names(digests []entryvm.Digest) []string {
	var vms []string
	for _, d := range digests {
		vms = append(vms, d.VM)
	}
	return vms
}

// Digests arrive late, twice and out of order. Whatever the order, the table
// holds the newest of each start, and hands on none of what it knew.
func TestNewestSequenceWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequences := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "sequences")
		table := digest.NewTable("self", timeout)
		newest := uint64(0)
		for _, sequence := range sequences {
			fresh := table.Merge(begin, []entryvm.Digest{
				{VM: "a", Incarnation: "i", Sequence: sequence},
				{VM: "self", Sequence: sequence},
			})
			if (len(fresh) == 1) != (sequence > newest) {
				t.Fatalf("sequence %d after %d: fresh %v", sequence, newest, fresh)
			}
			newest = max(newest, sequence)
		}
		live := table.Live(begin)
		if len(live) != 1 || live[0].Sequence != newest {
			t.Fatalf("live %v, want sequence %d", live, newest)
		}
	})
}

// A VM dies. Its last digest is still handed from VM to VM, each of which holds
// it for a while, and comes back to those that knew it. Nobody may count the VM
// as live longer than the timeout after its last word.
func TestHandingOnDoesNotProlongLife(t *testing.T) {
	last := entryvm.Digest{VM: "dead", Incarnation: "i", Sequence: 7}
	now := 0
	for _, held := range []int{0, 1400, 1400} {
		now += held
		last.Age += time.Duration(held) * time.Millisecond
		table := digest.NewTable("self", timeout)
		table.Merge(after(now), []entryvm.Digest{last})
		testkit.Equal(t, fmt.Sprintf("held %v: live before its time", last.Age), len(table.Live(after(2999))), 1)
		for _, again := range []int{3100, 3200} {
			table.Merge(after(again), []entryvm.Digest{last})
			testkit.Equal(t, fmt.Sprintf("held %v: live after it", last.Age), len(table.Live(after(again))), 0)
		}
	}
}

// A digest comes by a slow way first and then by a quick one, which knows better
// how old it is.
func TestQuickerCopyTellsTheAge(t *testing.T) {
	table := digest.NewTable("self", timeout)
	table.Merge(after(1000), []entryvm.Digest{{VM: "a", Sequence: 1}})
	table.Merge(after(1100), []entryvm.Digest{{VM: "a", Sequence: 1, Age: 1100 * time.Millisecond}})
	testkit.Equal(t, "live", len(table.Live(after(3000))), 0)
}

// A VM restarts; a late digest of its former start arrives after the first of the
// new one. The VM is counted once, as its new start.
func TestRestartedVMIsCountedOnce(t *testing.T) {
	table := digest.NewTable("self", timeout)
	table.Merge(after(0), []entryvm.Digest{{VM: "a", Incarnation: "z-old", Sequence: 500}})
	table.Merge(after(900), []entryvm.Digest{{VM: "a", Incarnation: "new", Sequence: 1}})
	table.Merge(after(1000), []entryvm.Digest{{VM: "a", Incarnation: "z-old", Sequence: 501, Age: 500 * time.Millisecond}})
	live := table.Live(after(1000))
	if len(live) != 1 || live[0].Incarnation != "new" || live[0].Age != 100*time.Millisecond {
		t.Errorf("live: %+v", live)
	}
}

func TestWhoIsLiveForWhat(t *testing.T) {
	table := digest.NewTable("self", timeout)
	table.Merge(after(0), []entryvm.Digest{{VM: "silent", Sequence: 1}})
	table.Merge(after(2000), []entryvm.Digest{
		{VM: "leaving", Sequence: 1, Leaving: true},
		{VM: "b", Sequence: 1},
		{VM: "b", Sequence: 1, Cell: "d1", VMs: 3},
		{VM: "a", Sequence: 1, Cell: "d1", VMs: 2},
		{VM: "a", Sequence: 1, Cell: "d2", VMs: 4},
		{VM: "c", Sequence: 1, Cell: "d2", VMs: 4},
	})
	check := func(what string, got []entryvm.Digest, want ...string) {
		if diff := cmp.Diff(want, names(got)); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	check("live at first", table.Live(after(2000)), "b", "leaving", "silent")
	check("live", table.Live(after(3000)), "b", "leaving")
	check("sums, one of each cell", table.Sums(after(3000)), "b", "a")
	check("nobody", table.Live(after(5000)))
	testkit.Equal(t, "VMs remembered", len(table.All()), 3)
	table.Merge(after(100_000), nil)
	testkit.Equal(t, "VMs remembered for ever", len(table.All()), 0)
}

// drawDigest draws a digest over few names, so that they meet.
func drawDigest(t *rapid.T) entryvm.Digest {
	name := rapid.SampledFrom([]string{"x", "y", "z"})
	count := rapid.IntRange(0, 9)
	span := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(count.Draw(t, "s")) * time.Second })
	return entryvm.Digest{
		InFlight: rapid.MapOf(name, count).Draw(t, "in flight"),
		Demand: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entryvm.Demand {
			return entryvm.Demand{
				Unit: name.Draw(t, "unit"), Customer: name.Draw(t, "customer"), Waiting: count.Draw(t, "n"),
				Deadline: span.Draw(t, "left"), Priority: count.Draw(t, "priority"),
			}
		}), 0, 4).Draw(t, "demand"),
		Usage: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entryvm.Usage {
			return entryvm.Usage{Customer: name.Draw(t, "customer"), DemandRate: float64(count.Draw(t, "n")), AdmittedRate: 1}
		}), 0, 4).Draw(t, "usage"),
		RecentUses: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entryvm.Use {
			return entryvm.Use{Unit: name.Draw(t, "unit"), Age: span.Draw(t, "ago")}
		}), 0, 4).Draw(t, "used"),
		Failing: rapid.SliceOfN(name, 0, 4).Draw(t, "failing"),
		Refused: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) entryvm.RefusalCount {
			return entryvm.RefusalCount{Customer: name.Draw(t, "customer"), Code: name.Draw(t, "code"), Count: uint64(count.Draw(t, "n"))}
		}), 0, 4).Draw(t, "refused"),
		Age: span.Draw(t, "age"),
	}
}

// A domain's sum of its groups' sums is what adding up its VMs at once gives.
func TestSumsOfSumsAreSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digests := rapid.SliceOfN(rapid.Custom(drawDigest), 2, 6).Draw(t, "digests")
		at := rapid.IntRange(1, len(digests)-1).Draw(t, "cut")
		maker := entryvm.Digest{VM: "relay", Sequence: 5}
		sum := func(of ...entryvm.Digest) entryvm.Digest { return digest.Summarise(maker, "cell", of, 100) }
		whole := sum(digests...)
		parts := sum(sum(digests[:at]...), sum(digests[at:]...))
		if diff := cmp.Diff(whole, parts, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// However much there is to tell, a sum tells the most pressing and no more, with
// the time run on since the digest was made.
func TestSumsAreBounded(t *testing.T) {
	d := entryvm.Digest{Age: 1, RecentUses: []entryvm.Use{{Unit: "x", Age: 4}}}
	d.InFlight = map[string]int{"few": 1, "most": 9, "more": 5}
	d.Demand = []entryvm.Demand{{Unit: "later", Deadline: 9}, {Unit: "now", Deadline: 1}, {Unit: "soon", Deadline: 5}}
	d.Usage = []entryvm.Usage{{Customer: "few", DemandRate: 1}, {Customer: "most", DemandRate: 9}, {Customer: "more", DemandRate: 5}}
	got := digest.Summarise(entryvm.Digest{VM: "relay"}, "cell", []entryvm.Digest{d}, 2)
	want := entryvm.Digest{
		VM: "relay", Cell: "cell", VMs: 1,
		InFlight:   map[string]int{"most": 9, "more": 5},
		Demand:     []entryvm.Demand{{Unit: "now", Deadline: 0}, {Unit: "soon", Deadline: 4}},
		RecentUses: []entryvm.Use{{Unit: "x", Age: 5}},
		Usage:      []entryvm.Usage{d.Usage[1], d.Usage[2]},
	}
	testkit.NoDiff(t, want, got, cmpopts.EquateEmpty())
}

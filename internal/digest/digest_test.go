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

var startTime = time.Unix(1000, 0)

// msAfterStart returns the time ms milliseconds after startTime.
func msAfterStart(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

func vmNames(digests []entryvm.Digest) []string {
	var vms []string
	for _, d := range digests {
		vms = append(vms, d.VM)
	}
	return vms
}

// Digests arrive late, twice and out of order. In any order, the table must keep the
// newest one of each incarnation and must not return known ones as new.
func TestNewestSequenceWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sequences := rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 20).Draw(t, "sequences")
		table := digest.NewTable("self", timeout)
		newest := uint64(0)
		for _, sequence := range sequences {
			newDigests := table.Merge(startTime, []entryvm.Digest{
				{VM: "a", Incarnation: "i", Sequence: sequence},
				{VM: "self", Sequence: sequence},
			})
			if (len(newDigests) == 1) != (sequence > newest) {
				t.Fatalf("sequence %d after %d: new digests %v", sequence, newest, newDigests)
			}
			newest = max(newest, sequence)
		}
		live := table.Live(startTime)
		if len(live) != 1 || live[0].Sequence != newest {
			t.Fatalf("live %v, want sequence %d", live, newest)
		}
	})
}

// The last digest of a dead VM is still forwarded from VM to VM, each of which holds
// it for a while, and returns to VMs that have it already. No VM may count the dead VM
// as live for longer than the timeout after it made its last digest.
func TestForwardedDigestExpiresOnTime(t *testing.T) {
	last := entryvm.Digest{VM: "dead", Incarnation: "i", Sequence: 7}
	now := 0
	for _, held := range []int{0, 1400, 1400} {
		now += held
		last.Age += time.Duration(held) * time.Millisecond
		table := digest.NewTable("self", timeout)
		table.Merge(msAfterStart(now), []entryvm.Digest{last})
		testkit.Equal(t, fmt.Sprintf("held %v: live just before the timeout", last.Age), len(table.Live(msAfterStart(2999))), 1)
		for _, lateMs := range []int{3100, 3200} {
			table.Merge(msAfterStart(lateMs), []entryvm.Digest{last})
			testkit.Equal(t, fmt.Sprintf("held %v: live after the timeout", last.Age), len(table.Live(msAfterStart(lateMs))), 0)
		}
	}
}

// A digest arrives by a slow path first and then by a fast one, whose age is more
// exact.
func TestFasterCopyCorrectsAge(t *testing.T) {
	table := digest.NewTable("self", timeout)
	table.Merge(msAfterStart(1000), []entryvm.Digest{{VM: "a", Sequence: 1}})
	table.Merge(msAfterStart(1100), []entryvm.Digest{{VM: "a", Sequence: 1, Age: 1100 * time.Millisecond}})
	testkit.Equal(t, "live", len(table.Live(msAfterStart(3000))), 0)
}

// A VM restarts; a late digest of its previous incarnation arrives after the first
// one of the new incarnation. The VM must count once, as the new incarnation.
func TestRestartedVMIsCountedOnce(t *testing.T) {
	table := digest.NewTable("self", timeout)
	table.Merge(msAfterStart(0), []entryvm.Digest{{VM: "a", Incarnation: "z-old", Sequence: 500}})
	table.Merge(msAfterStart(900), []entryvm.Digest{{VM: "a", Incarnation: "new", Sequence: 1}})
	table.Merge(msAfterStart(1000), []entryvm.Digest{{VM: "a", Incarnation: "z-old", Sequence: 501, Age: 500 * time.Millisecond}})
	live := table.Live(msAfterStart(1000))
	if len(live) != 1 || live[0].Incarnation != "new" || live[0].Age != 100*time.Millisecond {
		t.Errorf("live: %+v", live)
	}
}

func TestLiveSumsAndAll(t *testing.T) {
	table := digest.NewTable("self", timeout)
	table.Merge(msAfterStart(0), []entryvm.Digest{{VM: "silent", Sequence: 1}})
	table.Merge(msAfterStart(2000), []entryvm.Digest{
		{VM: "leaving", Sequence: 1, Leaving: true},
		{VM: "b", Sequence: 1},
		{VM: "b", Sequence: 1, Cell: "d1", VMs: 3},
		{VM: "a", Sequence: 1, Cell: "d1", VMs: 2},
		{VM: "a", Sequence: 1, Cell: "d2", VMs: 4},
		{VM: "c", Sequence: 1, Cell: "d2", VMs: 4},
	})
	check := func(what string, got []entryvm.Digest, want ...string) {
		if diff := cmp.Diff(want, vmNames(got)); diff != "" {
			t.Errorf("%s: %s", what, diff)
		}
	}
	check("live at 2 s", table.Live(msAfterStart(2000)), "b", "leaving", "silent")
	check("live at 3 s", table.Live(msAfterStart(3000)), "b", "leaving")
	check("sums, one per cell", table.Sums(msAfterStart(3000)), "b", "a")
	check("live at 5 s", table.Live(msAfterStart(5000)))
	testkit.Equal(t, "VMs stored", len(table.All()), 3)
	table.Merge(msAfterStart(100_000), nil)
	testkit.Equal(t, "VMs stored after a long silence", len(table.All()), 0)
}

// drawDigest draws a digest with few distinct names, so that entries of several digests
// have the same keys.
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

// A domain's sum of its groups' sums must equal the sum of its VMs' digests.
func TestSumOfSumsEqualsDirectSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		digests := rapid.SliceOfN(rapid.Custom(drawDigest), 2, 6).Draw(t, "digests")
		at := rapid.IntRange(1, len(digests)-1).Draw(t, "cut")
		own := entryvm.Digest{VM: "relay", Sequence: 5}
		sum := func(of ...entryvm.Digest) entryvm.Digest { return digest.Summarize(own, "cell", of, 100) }
		whole := sum(digests...)
		parts := sum(sum(digests[:at]...), sum(digests[at:]...))
		if diff := cmp.Diff(whole, parts, cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// A sum must contain the most important entries up to its limit, with their times
// adjusted by the age of the digest.
func TestSumsAreBounded(t *testing.T) {
	d := entryvm.Digest{Age: 1, RecentUses: []entryvm.Use{{Unit: "x", Age: 4}}}
	d.InFlight = map[string]int{"few": 1, "most": 9, "more": 5}
	d.Demand = []entryvm.Demand{{Unit: "later", Deadline: 9}, {Unit: "now", Deadline: 1}, {Unit: "soon", Deadline: 5}}
	d.Usage = []entryvm.Usage{{Customer: "few", DemandRate: 1}, {Customer: "most", DemandRate: 9}, {Customer: "more", DemandRate: 5}}
	got := digest.Summarize(entryvm.Digest{VM: "relay"}, "cell", []entryvm.Digest{d}, 2)
	want := entryvm.Digest{
		VM: "relay", Cell: "cell", VMs: 1,
		InFlight:   map[string]int{"most": 9, "more": 5},
		Demand:     []entryvm.Demand{{Unit: "now", Deadline: 0}, {Unit: "soon", Deadline: 4}},
		RecentUses: []entryvm.Use{{Unit: "x", Age: 5}},
		Usage:      []entryvm.Usage{d.Usage[1], d.Usage[2]},
	}
	testkit.NoDiff(t, want, got, cmpopts.EquateEmpty())
}

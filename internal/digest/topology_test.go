package digest_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"bergamotreel/internal/digest"
	"bergamotreel/internal/testkit"
)

// newFleet returns n live VMs in 7 failure domains of 3 regions.
func newFleet(n int) []digest.Member {
	regions := []string{"r0", "r0", "r0", "r1", "r1", "r2", "r2"}
	fleet := make([]digest.Member, n)
	for i := range fleet {
		domain := i % len(regions)
		fleet[i] = digest.Member{
			VM: fmt.Sprintf("vm-%05d", i), Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			Domain: fmt.Sprintf("d%d", domain), Region: regions[domain], Live: true,
		}
	}
	return fleet
}

// countReached returns how many VMs an update of the first live VM reaches if each VM
// forwards it to its targets.
func countReached(fleet []digest.Member, live func(digest.Member) bool) int {
	byName := map[string]digest.Member{}
	for _, m := range fleet {
		byName[m.VM] = m
	}
	cells := digest.DefaultTopology.Divide(fleet, 0)
	first := fleet[slices.IndexFunc(fleet, live)].VM
	visited := map[string]bool{first: true}
	for queue := []string{first}; len(queue) > 0; queue = queue[1:] {
		self := byName[queue[0]]
		for _, target := range cells.Targets(self) {
			if live(target.Member) && !visited[target.Member.VM] {
				visited[target.Member.VM] = true
				queue = append(queue, target.Member.VM)
			}
		}
		// A relay replies to the members of its group, which are not its targets.
		for _, m := range fleet {
			if live(m) && !visited[m.VM] && isTarget(m, self, cells) {
				visited[m.VM] = true
				queue = append(queue, m.VM)
			}
		}
	}
	return len(visited)
}

func isTarget(from, to digest.Member, cells *digest.Fleet) bool {
	return slices.ContainsFunc(cells.Targets(from), func(t digest.Target) bool { return t.Member.VM == to.VM })
}

// An update must reach every live VM also while a random tenth of the VMs, or all VMs
// that would be relays, are known to be dead.
func TestEveryVMIsReached(t *testing.T) {
	for _, n := range []int{1, 2, 9, 19, 40, 150} {
		rng := rand.New(rand.NewPCG(1, uint64(n)))
		relays := digest.DefaultTopology.Divide(newFleet(n), 0)
		dead := map[string]func(m digest.Member) bool{
			"nobody": func(digest.Member) bool { return false },
			"some":   func(digest.Member) bool { return rng.IntN(10) == 0 },
			"relays": func(m digest.Member) bool {
				return slices.ContainsFunc(relays.Targets(m), func(t digest.Target) bool { return t.Level > digest.LevelGroup })
			},
		}
		for who, isDead := range dead {
			fleet := newFleet(n)
			living := 1
			for i := 1; i < n; i++ {
				fleet[i].Live = !isDead(fleet[i])
				if fleet[i].Live {
					living++
				}
			}
			if got := countReached(fleet, func(m digest.Member) bool { return m.Live }); got != living {
				t.Errorf("%d VMs, %s dead: %d of %d reached", n, who, got, living)
			}
		}
	}
}

// The number of messages per VM must not grow with the fleet: at the largest size that
// the design is meant for, the busiest VM sends to and receives from a few dozen VMs.
func TestFewTargetsInLargeFleets(t *testing.T) {
	for _, n := range []int{9, 486, 3400} {
		counts := countTargets(newFleet(n))
		if counts.maxTargets > 40 || counts.maxSources > 80 {
			t.Errorf("%d VMs: %+v", n, counts)
		}
	}
}

// degrees are the numbers of targets and sources of the VMs of a fleet.
type degrees struct {
	maxTargets, maxSources int
	// out and in are the numbers of targets and sources by VM and level.
	out, in map[string][4]int
}

func countTargets(fleet []digest.Member) degrees {
	d := degrees{out: map[string][4]int{}, in: map[string][4]int{}}
	sources := map[string]int{}
	cells := digest.DefaultTopology.Divide(fleet, 0)
	for _, self := range fleet {
		all := cells.Targets(self)
		d.maxTargets = max(d.maxTargets, len(all))
		for _, target := range all {
			sources[target.Member.VM]++
			d.maxSources = max(d.maxSources, sources[target.Member.VM])
			out, in := d.out[self.VM], d.in[target.Member.VM]
			out[target.Level]++
			in[target.Level]++
			d.out[self.VM], d.in[target.Member.VM] = out, in
		}
	}
	return d
}

// A domain was unreachable for so long that all its VMs count as dead, and half of them
// have been replaced. It is found again only if VMs of other domains keep trying it, and
// not always the same dead VM.
func TestUnreachableDomainIsRetried(t *testing.T) {
	fleet := newFleet(210)
	for i := range fleet {
		fleet[i].Live = fleet[i].Domain != "d1"
	}
	tried := map[string]bool{}
	for round := range uint64(40) {
		for _, self := range fleet {
			if self.Domain != "d0" {
				continue
			}
			for _, target := range digest.DefaultTopology.Targets(self, fleet, round) {
				if target.Member.Domain == "d1" {
					tried[target.Member.VM] = true
				}
			}
		}
	}
	if len(tried) < 3 {
		t.Errorf("tried only %v", tried)
	}
}

// VMs that list the same fleet in a different order must select the same relays.
func TestTargetsDontDependOnOrder(t *testing.T) {
	fleet := newFleet(300)
	want := digest.DefaultTopology.Targets(fleet[3], fleet, 0)
	shuffled := slices.Clone(fleet)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) {
		shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
	})
	testkit.NoDiff(t, want, digest.DefaultTopology.Targets(fleet[3], shuffled, 0))
}

package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

// runBurst has five bystanders, who together take a good third of 64 slots, and
// one customer "burst". With several VMs the burst has one of its own.
func runBurst(vms int, naive bool, rate float64) *sim {
	contracts := []contract.Contract{{Customer: "burst", MaxQueued: 200}}
	sources := []source{{0, "burst", rate}}
	for i := range 5 {
		name := fmt.Sprint("shop", i)
		contracts = append(contracts, contract.Contract{Customer: name, MaxQueued: 200})
		sources = append(sources, source{min(1+i%2, vms-1), name, 0.8})
	}
	s := newSim(vms, 64, 1, contracts...)
	s.naive = naive
	s.run(30*time.Minute, sources...)
	return s
}

// p99 is over all customers but the burst's.
func p99(times map[string][]time.Duration) float64 {
	var all []time.Duration
	for name, list := range times {
		if name != "burst" {
			all = append(all, list...)
		}
	}
	slices.Sort(all)
	return all[len(all)*99/100].Seconds()
}

// One office sends ten times its usual requests, more than the engines can take,
// while five others go on as always. First come, first served, the others queue
// behind the burst and their callers stand at the counter. Fair queueing lets
// the burst move only itself back, and the reserve keeps slots for the others,
// who would else wait for a slot of the burst to end.
//
// With the burst at another entry VM, only the digests tell that VM of the
// others; it would take each slot as it comes free.
func TestBurstCostsBystandersNothing(t *testing.T) {
	const most = 1.1
	naive := runBurst(1, true, 8)
	for _, vms := range []int{1, 3} {
		alone, beside := runBurst(vms, false, 0), runBurst(vms, false, 8)
		first, total := p99(beside.waits)/p99(alone.waits), p99(beside.totals)/p99(alone.totals)
		naiveFirst := p99(naive.waits) / p99(alone.waits)
		t.Logf("%d VMs: bystanders' p99 beside a burst ÷ alone: first token %.3f, whole answer %.3f; first come, first served %.1f",
			vms, first, total, naiveFirst)
		testkit.That(t, first <= most && total <= most,
			"%d VMs: first token %.3f, whole answer %.3f times the p99 alone, want at most %.1f", vms, first, total, most)
		testkit.That(t, naiveFirst >= 2, "the naive twin is not hurt (%.2f): the model shows nothing", naiveFirst)
	}
}

// Two customers who both want more than there is get engines by the weights of
// their contracts.
func TestContendedPoolIsSharedByWeight(t *testing.T) {
	s := newSim(1, 0, 1, contract.Contract{Customer: "big", Weight: 3, MaxQueued: 1000}, contract.Contract{Customer: "small", Weight: 1, MaxQueued: 1000},
		contract.Contract{Customer: "again", Weight: 1, MaxQueued: 1000})
	counts := map[string]int{}
	for range 400 {
		s.arrive(source{0, "big", 0})
		s.arrive(source{0, "small", 0})
	}
	for range 200 {
		counts[s.vms[0].Next(s.now, "m", nil).Customer]++
	}
	testkit.That(t, counts["big"] >= 148 && counts["big"] <= 152, "of 200 the weights 3 and 1 got %v", counts)
	// One that asks anew as soon as it is served has no claim to every turn.
	clear(counts)
	for range 100 {
		s.arrive(source{0, "again", 0})
		counts[s.vms[0].Next(s.now, "m", nil).Customer]++
	}
	testkit.That(t, counts["again"] >= 15 && counts["again"] <= 25, "of 100 the weights 3, 1 and 1 got %v", counts)
}

// What a caller sees: with nobody bursting, half of the offices' requests wait
// while slots are free. Equals send a request more or less by chance, and whoever
// is above the even share just then would wait behind the reserve. So a customer
// counts as over it only beyond chance, or while its contract's rate holds it.
func TestSurplusIsMoreThanChance(t *testing.T) {
	equals := usage{sum: 22 * 0.25, weight: 22, peak: 0.6}
	for rate, want := range map[float64]bool{0.26: false, 0.6: false, 0.8: true, 2.5: true} {
		testkit.Equal(t, fmt.Sprintf("surplus at %.2f/s beside equals of 0.25/s", rate), overFair(rate, 1, equals), want)
	}
	s := newSim(1, 0, 1, contract.Contract{Customer: "held", MaxQueued: 9, RequestsPerSecond: 0.1, Burst: 1}, contract.Contract{Customer: "other", MaxQueued: 9})
	c := s.vms[0]
	for range 2 {
		s.arrive(source{0, "held", 0})
	}
	c.rates["m"] = usage{sum: 0.1, weight: 2, peak: 0.1}
	first := c.Next(s.now, "m", nil)
	testkit.That(t, first != nil && first.OverFairShare, "a customer over its contract's rate: %+v, want surplus", first)
}

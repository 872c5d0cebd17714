package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

func newFleet(vms int, limit float64, burst int, seed int64) *sim {
	return newSim(vms, 0, seed, contract.Contract{Customer: "shop", RequestsPerSecond: limit, Burst: burst, MaxQueued: 1000})
}

// worstExcess is the most admitted above limit × time, over all windows.
func worstExcess(admitted []time.Duration, limit float64) float64 {
	// Kadane's algorithm: each admission adds 1, time takes limit.
	worst, sum, last := 0.0, 0.0, time.Duration(0)
	for _, at := range admitted {
		sum = max(0, sum-limit*(at-last).Seconds()) + 1
		last = at
		worst = max(worst, sum)
	}
	return worst
}

func even(vms int, total float64) (sources []source) {
	for i := range vms {
		sources = append(sources, source{i, "shop", total / float64(vms)})
	}
	return sources
}

// A customer sends three times its limit through nine entry VMs, which hear of
// each other only half a second late. The sum of what they admit must stay
// within limit and burst in every window, plus one token a VM (a bucket holds
// whole tokens) and what moves while a share is given back (shareShift), or the
// customer gets more than its contract and others less. And it must not stay
// below 95% of the limit, wherever its requests arrive: with a fixed ninth at
// each VM, a customer whose requests meet one VM would get a ninth.
func TestContractRateOverAllVMs(t *testing.T) {
	const vms, limit, burst, lasts = 9, 20.0, 40, 30 * time.Second
	bound := burst + vms + limit*shareShift.Seconds()
	all := even(vms, 3*limit)
	one := func(vm int) []source { return []source{{vm, "shop", 3 * limit}} }
	for name, phases := range map[string][][]source{
		"one VM": {one(0), one(0)}, "all VMs": {all, all}, "one, then all": {one(0), all}, "all, then one": {all, one(4)},
		"from VM to VM": {one(0), one(1), one(2)}, "all from idle": {nil, even(vms, 30*limit)},
	} {
		t.Run(name, func(t *testing.T) {
			s, busy := newFleet(vms, limit, burst, 1), 0.0
			for _, sources := range phases {
				s.run(lasts, sources...)
				if sources != nil {
					busy += lasts.Seconds()
				}
			}
			excess, share := worstExcess(s.admitted, limit), float64(len(s.admitted))/limit/busy
			t.Logf("most above the limit %.1f, bound %.1f; admitted %.2f of the limit", excess, bound, share)
			testkit.That(t, excess <= bound && share >= 0.95,
				"admitted %.1f more than the limit, bound %.1f; %.2f of the limit", excess, bound, share)
		})
	}
}

// Whatever the demand does, the bound above holds.
func TestContractRateUnderAnyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		limit := rapid.Float64Range(1, 50).Draw(t, "limit")
		burst := rapid.IntRange(1, 60).Draw(t, "burst")
		s := newFleet(vms, limit, burst, rapid.Int64().Draw(t, "seed"))
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			sources := even(vms, 0)
			for i := range sources {
				sources[i].rate = rapid.SampledFrom([]float64{0, 0, 0.3, 1, 10}).Draw(t, "demand") * limit
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths"))*100*time.Millisecond, sources...)
		}
		bound := float64(burst+vms) + limit*shareShift.Seconds()
		excess := worstExcess(s.admitted, limit)
		testkit.Need(t, excess <= bound, "admitted %.1f more than the limit, bound %.1f", excess, bound)
	})
}

// A burst within the contract arrives at one VM, which has a ninth of the tokens.
// Refusing the rest would break the contract; they wait until the share is here.
func TestBurstAtOneVMWaitsForShare(t *testing.T) {
	s := newFleet(9, 20, 40, 4)
	s.run(time.Second)
	for range 40 {
		s.arrive(source{0, "shop", 0})
	}
	s.run(3 * time.Second)
	testkit.That(t, len(s.admitted) == 40, "%d of 40 went on within 3 s", len(s.admitted))
}

// The VMs can't reach each other, and each sees a silent fleet. If each took the
// silence for idleness, each would admit the whole limit. Each keeps to an even
// share instead, so all parts together stay within the limit.
func TestCutOffVMsKeepToTheirShares(t *testing.T) {
	s := newFleet(9, 20, 40, 5)
	s.run(10*time.Second, source{0, "shop", 60})
	s.cutOff = true
	for _, c := range s.vms {
		c.SetVMs(9, 0)
	}
	s.run(DefaultPeerUsageTTL, even(9, 180)...)
	s.admitted, s.start = nil, s.now
	s.run(60*time.Second, even(9, 180)...)
	got := float64(len(s.admitted))
	testkit.That(t, got <= 20*60+40+9 && got >= 0.9*20*60, "cut-off VMs admitted %.0f in a minute, limit 1200", got)
}

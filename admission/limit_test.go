package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bergamotreel/contract"
	"bergamotreel/internal/testkit"
)

func newSingleCustomerSim(vms int, limit float64, burst int, seed int64) *sim {
	return newSim(vms, 0, seed, contract.Contract{Customer: "shop", RequestsPerSecond: limit, Burst: burst, MaxQueued: 1000})
}

// maxExcess returns the maximum over all time windows of the requests admitted above
// limit × duration.
func maxExcess(admitted []time.Duration, limit float64) float64 {
	// Kadane's algorithm: each admission adds 1, and elapsed time subtracts limit.
	maxSum, sum, last := 0.0, 0.0, time.Duration(0)
	for _, at := range admitted {
		sum = max(0, sum-limit*(at-last).Seconds()) + 1
		last = at
		maxSum = max(maxSum, sum)
	}
	return maxSum
}

func evenSources(vms int, total float64) (sources []source) {
	for i := range vms {
		sources = append(sources, source{i, "shop", total / float64(vms)})
	}
	return sources
}

// A customer sends three times its limit through nine entry VMs, which receive each
// other's reports half a second late. In every window, their total must stay within
// limit and burst, plus one token per VM (a bucket holds whole tokens) and what is
// admitted while a share moves (maxRebalanceTime); otherwise the customer gets more
// than its contract allows and others get less. The total must also reach 95% of the
// limit, wherever the requests arrive: with a fixed ninth at each VM, a customer whose
// requests arrive at one VM would get a ninth.
func TestContractRateOverAllVMs(t *testing.T) {
	const vms, limit, burst, phaseDuration = 9, 20.0, 40, 30 * time.Second
	bound := burst + vms + limit*maxRebalanceTime.Seconds()
	all := evenSources(vms, 3*limit)
	onlyVM := func(vm int) []source { return []source{{vm, "shop", 3 * limit}} }
	for name, phases := range map[string][][]source{
		"one VM": {onlyVM(0), onlyVM(0)}, "all VMs": {all, all}, "one, then all": {onlyVM(0), all}, "all, then one": {all, onlyVM(4)},
		"from VM to VM": {onlyVM(0), onlyVM(1), onlyVM(2)}, "all from idle": {nil, evenSources(vms, 30*limit)},
	} {
		t.Run(name, func(t *testing.T) {
			s, busy := newSingleCustomerSim(vms, limit, burst, 1), 0.0
			for _, sources := range phases {
				s.run(phaseDuration, sources...)
				if sources != nil {
					busy += phaseDuration.Seconds()
				}
			}
			excess, share := maxExcess(s.admitted, limit), float64(len(s.admitted))/limit/busy
			t.Logf("maximum above the limit %.1f, bound %.1f; admitted %.2f of the limit", excess, bound, share)
			testkit.That(t, excess <= bound && share >= 0.95,
				"admitted %.1f more than the limit, bound %.1f; %.2f of the limit", excess, bound, share)
		})
	}
}

// The bound of TestContractRateOverAllVMs must hold for any demand.
func TestContractRateUnderAnyDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 12).Draw(t, "vms")
		limit := rapid.Float64Range(1, 50).Draw(t, "limit")
		burst := rapid.IntRange(1, 60).Draw(t, "burst")
		s := newSingleCustomerSim(vms, limit, burst, rapid.Int64().Draw(t, "seed"))
		for range rapid.IntRange(1, 6).Draw(t, "phases") {
			sources := evenSources(vms, 0)
			for i := range sources {
				sources[i].rate = rapid.SampledFrom([]float64{0, 0, 0.3, 1, 10}).Draw(t, "demand") * limit
			}
			s.run(time.Duration(rapid.IntRange(1, 40).Draw(t, "tenths"))*100*time.Millisecond, sources...)
		}
		bound := float64(burst+vms) + limit*maxRebalanceTime.Seconds()
		excess := maxExcess(s.admitted, limit)
		testkit.Need(t, excess <= bound, "admitted %.1f more than the limit, bound %.1f", excess, bound)
	})
}

// A burst within the contract arrives at one VM, which has a ninth of the tokens.
// Refusing the rest would violate the contract, so they must wait until the share has
// moved to this VM.
func TestBurstAtOneVMWaitsForShare(t *testing.T) {
	s := newSingleCustomerSim(9, 20, 40, 4)
	s.run(time.Second)
	for range 40 {
		s.submit(source{0, "shop", 0})
	}
	s.run(3 * time.Second)
	testkit.That(t, len(s.admitted) == 40, "%d of 40 admitted within 3 s", len(s.admitted))
}

// All VMs are partitioned from each other and receive no reports. If they mistook the
// silence for idleness, each would admit the whole limit. Each must keep to an even
// share, so that all together stay within the limit.
func TestPartitionedVMsKeepToTheirShares(t *testing.T) {
	s := newSingleCustomerSim(9, 20, 40, 5)
	s.run(10*time.Second, source{0, "shop", 60})
	s.partitioned = true
	for _, c := range s.vms {
		c.SetVMs(9, 0)
	}
	s.run(DefaultPeerUsageTTL, evenSources(9, 180)...)
	s.admitted, s.start = nil, s.now
	s.run(60*time.Second, evenSources(9, 180)...)
	got := float64(len(s.admitted))
	testkit.That(t, got <= 20*60+40+9 && got >= 0.9*20*60, "partitioned VMs admitted %.0f in a minute, limit 1200", got)
}

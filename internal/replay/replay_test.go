package replay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/internal/testkit"
	"bergamotreel/placement"
)

// smallDeployment returns Trinidad with about a quarter of the offices and little
// steady traffic.
func smallDeployment() Deployment {
	d := Trinidad()
	d.Offices, d.SurgeOffices, d.HeadOfficeModels = 6, 3, 2
	d.AssistantRate, d.BookingRate, d.BatchRequests = 0.1, 0.02, 50
	d.BusyRate = 3
	return d
}

func runPolicy(t *testing.T, p Policy, f Fault, busy bool) (*sim, *Result) {
	t.Helper()
	opt := Options{Deployment: smallDeployment(), Seed: 7, Policy: p, Fault: f, Days: 1, Busy: busy, Burst: busy}
	s := newSim(opt)
	s.runToEnd()
	return s, s.metrics.result(opt)
}

func TestRunIsDeterministic(t *testing.T) {
	_, first := runPolicy(t, PlannerPolicy(0.5), FaultDomainCut, true)
	_, again := runPolicy(t, PlannerPolicy(0.5), FaultDomainCut, true)
	testkit.NoDiff(t, first, again, cmp.AllowUnexported(Result{}, outcome{}))
}

// Under every fault each request has exactly one outcome within its maximum wait,
// and the loads are those that were decided and that the contract allows.
func TestEveryRequestEndsUnderFaults(t *testing.T) {
	for _, fault := range Faults {
		t.Run(string(fault), func(t *testing.T) {
			s, r := runPolicy(t, PlannerPolicy(0.5), fault, false)
			ends := s.metrics.inTime + s.metrics.late + s.metrics.refused
			testkit.That(t, ends == r.Requests && r.Overdue <= 0 && r.Late <= 0,
				"%d requests, %d ends, %d overdue, %d late", r.Requests, ends, r.Overdue, r.Late)
			testkit.That(t, r.Loads == r.Decided && r.OverLimit <= 0,
				"%d loads for %d decided, %d over the contract", r.Loads, r.Decided, r.OverLimit)
			s.checkNoOvercommit(t)
		})
	}
}

func (s *sim) checkNoOvercommit(t *testing.T) {
	t.Helper()
	for _, e := range s.engines {
		testkit.That(t, e.freeBytes() >= 0, "%s overcommitted by %d bytes", e.name, -e.freeBytes())
	}
}

// Independent routers load more replicas than the contract allows: at opening time
// requests for one model arrive at several routers, and each loads it for itself.
// TestEveryRequestEndsUnderFaults checks that one planner per unit does not.
func TestIndependentRoutersExceedTheContract(t *testing.T) {
	_, result := runPolicy(t, Policy{Name: "each", KeepAlive: 10 * time.Minute, IndependentRouters: true}, FaultNone, false)
	testkit.That(t, result.OverLimit != 0, "independent routers stayed within the contract: the comparison proves nothing")
}

// Without fairness between customers a bystander's first tokens wait behind the
// queue of the bursting office.
func TestFIFODelaysBystandersDuringABurst(t *testing.T) {
	fifo := PlannerPolicy(0.5)
	fifo.FIFO = true
	_, unfair := runPolicy(t, fifo, FaultNone, true)
	_, fair := runPolicy(t, PlannerPolicy(0.5), FaultNone, true)
	testkit.That(t, unfair.AllP99 > fair.AllP99,
		"bystanders' p99 %.2f s without fairness, %.2f s with it", unfair.AllP99, fair.AllP99)
}

// Admission finds a customer's pools in its contract. If the contract lists no
// units, no customer is ever above its fair share and the reserve has no effect.
func TestContractsNameAllUnits(t *testing.T) {
	s := newSim(Options{Deployment: smallDeployment(), Seed: 1, Policy: PlannerPolicy(0.5), Days: 1})
	listed := 0
	for _, c := range s.contracts(1) {
		listed += len(c.Units())
	}
	testkit.That(t, listed == len(s.units), "contracts list %d units, want %d", listed, len(s.units))
}

func TestConcurrentLoadsShareStoreBandwidth(t *testing.T) {
	s := newSim(Options{Deployment: smallDeployment(), Seed: 1, Policy: Policy{KeepAlive: time.Hour}, Days: 1})
	e := s.engines[0]
	u := &unit{id: 0, name: "u", weightBytes: 8 * gibibyte, replicaBytes: 1}
	for range 2 * MaxConcurrentLoads {
		r := &replica{unit: u, engine: e, wanted: true}
		e.memoryCache, e.diskCache = newCache(1), newCache(1)
		s.startLoad(r)
		testkit.Need(t, r.tier == placement.TierRemote, "tier %s", r.tier)
	}
	for len(s.store.active)+len(s.store.waiting) > 0 && s.step(time.Minute) {
	}
	testkit.That(t, s.now >= 16*time.Second && s.now <= 18*time.Second,
		"eight loads of 8 GB took %v, want 16 s and their starts", s.now)
}

package replay

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"bergamotreel/internal/testkit"
	"bergamotreel/placement"
)

// small is Trinidad with a quarter of the offices and little steady traffic.
func small() Deployment {
	d := Trinidad()
	d.Offices, d.SurgeOffices, d.HeadOfficeModels = 6, 3, 2
	d.AssistantRate, d.BookingRate, d.BatchRequests = 0.1, 0.02, 50
	d.BusyRate = 3
	return d
}

func run(t *testing.T, p Policy, f Fault, busy bool) (*sim, *Result) {
	t.Helper()
	opt := Options{Deployment: small(), Seed: 7, Policy: p, Fault: f, Days: 1, Busy: busy, Burst: busy}
	s := newSim(opt)
	s.runAll()
	return s, s.m.result(opt)
}

func TestRunRepeats(t *testing.T) {
	_, first := run(t, PlannerPolicy(0.5), FaultDomainCut, true)
	_, again := run(t, PlannerPolicy(0.5), FaultDomainCut, true)
	testkit.NoDiff(t, first, again, cmp.AllowUnexported(Result{}, outcome{}))
}

// Whatever fails, each request has one end within its longest wait, and loads
// are what was decided and the contract allows.
func TestEveryRequestEndsUnderFaults(t *testing.T) {
	for _, fault := range Faults {
		t.Run(string(fault), func(t *testing.T) {
			s, r := run(t, PlannerPolicy(0.5), fault, false)
			ends := s.m.inTime + s.m.late + s.m.refused
			testkit.That(t, ends == r.Requests && r.Overdue <= 0 && r.Late <= 0,
				"%d requests, %d ends, %d overdue, %d late", r.Requests, ends, r.Overdue, r.Late)
			testkit.That(t, r.Loads == r.Decided && r.OverLimit <= 0,
				"%d loads for %d decided, %d over the contract", r.Loads, r.Decided, r.OverLimit)
			s.checkMemory(t)
		})
	}
}

func (s *sim) checkMemory(t *testing.T) {
	t.Helper()
	for _, e := range s.engines {
		testkit.That(t, e.free() >= 0, "%s overcommitted by %d bytes", e.name, -e.free())
	}
}

// What the operator sees: more replicas than the contract allows. At opening
// time requests for one model arrive at several routers, and each loads it for
// itself. The same day under one planner for each unit has none.
func TestEachRouterOnItsOwnExceedsTheContract(t *testing.T) {
	_, naive := run(t, Policy{Name: "each", KeepAlive: 10 * time.Minute, IndependentRouters: true}, FaultNone, false)
	testkit.That(t, naive.OverLimit != 0, "routers on their own stayed within the contract: the twin proves nothing")
}

// What a bystander sees: its first tokens come as late as the bursting office's
// queue is long, when nothing tells customers apart.
func TestFIFOLetsABurstReachBystanders(t *testing.T) {
	fifo := PlannerPolicy(0.5)
	fifo.FIFO = true
	_, unfair := run(t, fifo, FaultNone, true)
	_, fair := run(t, PlannerPolicy(0.5), FaultNone, true)
	testkit.That(t, unfair.AllP99 > fair.AllP99,
		"bystanders' p99 %.2f s without fairness, %.2f s with it", unfair.AllP99, fair.AllP99)
}

// Admission finds a customer's pools in its contract: with no units named there
// nobody was ever above a fair share, and the reserve had no effect.
func TestContractsNameAllUnits(t *testing.T) {
	s := newSim(Options{Deployment: small(), Seed: 1, Policy: PlannerPolicy(0.5), Days: 1})
	named := 0
	for _, c := range s.contracts(1) {
		named += len(c.Units())
	}
	testkit.That(t, named == len(s.units), "%d units named in contracts, %d there are", named, len(s.units))
}

func TestStoreSharesItsBandwidth(t *testing.T) {
	s := newSim(Options{Deployment: small(), Seed: 1, Policy: Policy{KeepAlive: time.Hour}, Days: 1})
	e := s.engines[0]
	u := &unit{id: 0, name: "u", weights: 8 * gigabyte, replica: 1}
	for range 2 * StoreFullRateLoads {
		r := &replica{unit: u, engine: e, wanted: true}
		e.ram, e.disk = newCache(1), newCache(1)
		s.startLoad(r)
		testkit.Need(t, r.tier == placement.TierRemote, "tier %s", r.tier)
	}
	for len(s.store.active)+len(s.store.waiting) > 0 && s.step(time.Minute) {
	}
	testkit.That(t, s.now >= 16*time.Second && s.now <= 18*time.Second,
		"eight loads of 8 GB took %v, want 16 s and their starts", s.now)
}

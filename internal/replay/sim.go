package replay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bergamotreel/contract"
	"bergamotreel/placement"
)

// epoch is midnight of the first day in virtual time.
var epoch = time.Date(2026, 3, 2, 0, 0, 0, 0, time.UTC)

// Options configures one run.
type Options struct {
	Deployment Deployment
	Seed       uint64
	Policy     Policy
	Fault      Fault
	// Days is the number of days; the last one is measured.
	Days int
	// Busy makes all offices busy (the fairness experiment). Burst adds a burst of
	// one of them; Resampled draws that one's usual requests from another random
	// stream.
	Busy, Burst, Resampled bool
}

// request is a request that has arrived, with its state.
type request struct {
	arrival
	id       int
	deadline time.Duration
	ticket   ticket
	replica  *replica
	// attempt changes when the request is sent or requeued, so that events of a
	// lost attempt are ignored.
	attempt int
	// cold is whether no replica was ready at its arrival.
	cold       bool
	delayCause string        // see arrivalCause and waitCause
	firstToken time.Duration // 0 until it came
	ended      bool
}

// router is one entry VM.
type router struct {
	id, domain int
	queue      queue
	reclaimed  bool
}

// sim holds the state of one run.
type sim struct {
	events
	opt           Options
	deployment    Deployment
	units         []*unit
	unitsByName   map[string]*unit
	trace         []arrival
	engines       []*engine
	enginesByName map[string]*engine
	routers       []*router
	// replicas is indexed by unit id; waiting counts the waiting requests by pool.
	replicas      [][]*replica
	waiting       map[string]int
	pools         []string
	store         store
	decider       decider
	lastRight     uint64
	planPending   bool
	measuredStart time.Duration // start of the measured day
	end           time.Duration
	metrics       *metrics
	fault         faultState
	lastRouter    int
	nextID        int
	running       map[int]*request // by id
	// lossReasons is why each unit last lost a replica, by unit id.
	lossReasons []string
	// liveRouters caches the routers on each side that are not reclaimed;
	// membershipVersion counts changes of membership.
	liveRouters       [2][]*router
	membershipVersion int
}

// decider decides the loads and unloads of one run by a policy.
type decider interface {
	recordRequest(u *unit, now time.Time)
	recordLoad(u *unit, tier placement.Tier, took time.Duration)
	// plan returns the proposals of the routers on the given side of the
	// deployment.
	plan(s *sim, side int) []proposal
}

// proposal is a decision, not yet applied, with the router that proposes it.
type proposal struct {
	placement.Decision
	proposer *router
	// owners are the routers that may use the replica, one bit each.
	owners uint32
}

// idlePlanInterval is the period of planning while no request waits.
const idlePlanInterval = 10 * time.Second

// Run executes one run and returns the results of its last day.
func Run(opt Options) *Result {
	s := newSim(opt)
	s.runToEnd()
	return s.metrics.result(opt)
}

func (s *sim) runToEnd() {
	s.schedule()
	for s.step(s.end) {
	}
	s.now = s.end
	s.finishRun()
}

func newSim(opt Options) *sim {
	d := opt.Deployment
	s := &sim{opt: opt, deployment: d, units: makeUnits(d, opt.Seed), unitsByName: make(map[string]*unit),
		enginesByName: make(map[string]*engine), waiting: make(map[string]int), running: make(map[int]*request), metrics: newMetrics(),
		measuredStart: time.Duration(opt.Days-1) * day, end: time.Duration(opt.Days) * day,
	}
	s.store.slowdown = 1
	var experiment *fairnessExperiment
	if opt.Busy {
		experiment = &fairnessExperiment{burst: opt.Burst, resampled: opt.Resampled}
	}
	s.trace = makeTrace(d, s.units, opt.Seed, opt.Days, experiment)
	s.replicas = make([][]*replica, len(s.units))
	s.lossReasons = make([]string, len(s.units))
	for _, u := range s.units {
		s.unitsByName[u.name] = u
		if u.base == nil {
			s.pools = append(s.pools, u.name)
		}
	}
	s.makeEngines()
	s.makeRouters()
	s.decider = opt.Policy.newDecider(s)
	return s
}

func (s *sim) makeEngines() {
	for i := range s.deployment.Engines + s.deployment.BookingEngines {
		memory := s.deployment.EngineMemory
		if i >= s.deployment.Engines {
			memory = s.deployment.BookingMemory
		}
		s.addEngine(fmt.Sprintf("engine-%02d", i), i%s.deployment.Domains, memory)
	}
	rng := rand.New(rand.NewPCG(s.opt.Seed, 4))
	for _, u := range s.units {
		if rng.Float64() < InitialRemoteShare {
			continue
		}
		for i := range InitialDiskCopies {
			e := s.engines[rng.IntN(len(s.engines))]
			e.diskCache.put(u)
			if i < InitialMemoryCopies {
				e.memoryCache.put(u)
			}
		}
	}
}

func (s *sim) addEngine(name string, domain int, memory int64) {
	e := &engine{id: len(s.engines), name: name, domain: domain, memory: memory, slots: EngineSlots,
		memoryCache: newCache(HostCacheBytes), diskCache: newCache(DiskCacheBytes), dirty: true}
	e.forBooking = memory == s.deployment.BookingMemory
	s.engines = append(s.engines, e)
	s.enginesByName[name] = e
}

func (s *sim) makeRouters() {
	for i := range s.deployment.Routers {
		vm := &router{id: i, domain: i % s.deployment.Domains}
		if s.opt.Policy.FIFO {
			vm.queue = newFIFOQueue()
		} else {
			vm.queue = newFairQueue(s.contracts(0), s.deployment.Routers)
		}
		s.routers = append(s.routers, vm)
	}
}

// contracts returns the parts of the contracts that admission needs. officeRate is
// the rate limit of an office in requests per second, 0 for none.
func (s *sim) contracts(officeRate float64) map[string]*contract.Contract {
	out := make(map[string]*contract.Contract)
	for _, u := range s.units {
		if out[u.customer] != nil {
			addUnit(out[u.customer], u)
			continue
		}
		c := &contract.Contract{Customer: u.customer, Weight: 1, MaxQueued: ContractMaxQueued}
		addUnit(c, u)
		if u.office >= 0 && officeRate > 0 {
			c.RequestsPerSecond, c.Burst = officeRate, ContractBurst
		}
		if u.office < 0 {
			// The batch, the assistant and booking are the deployment's own load,
			// not one office's.
			c.MaxQueued = 20 * ContractMaxQueued
		}
		out[u.customer] = c
	}
	return out
}

// addUnit adds the unit to the contract. Admission finds a customer's pools in its
// contract and computes fair shares pool by pool.
func addUnit(c *contract.Contract, u *unit) {
	if u.base != nil {
		c.Adapters = append(c.Adapters, contract.Adapter{Name: u.name, Base: u.base.name})
		return
	}
	c.Models = append(c.Models, contract.Model{Name: u.name})
}

// schedule schedules the first arrival, idle planning and the fault or experiment
// of the run.
func (s *sim) schedule() {
	s.scheduleArrival(0)
	s.at(0, s.runIdlePlan)
	s.scheduleFault()
	if s.opt.Busy {
		s.scheduleBusyWindow()
	}
}

func (s *sim) scheduleArrival(i int) {
	if i >= len(s.trace) {
		return
	}
	s.at(s.trace[i].at, func() {
		s.handleArrival(s.trace[i])
		s.scheduleArrival(i + 1)
	})
}

func (s *sim) runIdlePlan() {
	s.runPlan()
	s.after(idlePlanInterval, s.runIdlePlan)
}

// currentTime returns the virtual time as the decision code sees it.
func (s *sim) currentTime() time.Time { return epoch.Add(s.now) }

func (s *sim) isMeasuredDay() bool { return s.now >= s.measuredStart }

// requestPlan schedules planning after a change that a plan may respond to. Plans
// while requests wait are PlanInterval apart.
func (s *sim) requestPlan() {
	if s.planPending {
		return
	}
	s.planPending = true
	s.after(time.Millisecond, func() {
		s.planPending = false
		if s.totalWaiting() == 0 {
			return
		}
		s.runPlan()
		if !s.planPending {
			s.planPending = true
			s.after(PlanInterval, func() { s.planPending = false; s.requestPlan() })
		}
	})
}

func (s *sim) totalWaiting() int {
	n := 0
	for _, waiting := range s.waiting {
		n += waiting
	}
	return n
}

// runPlan runs the policy on each side and applies its proposals after
// DecisionTime.
func (s *sim) runPlan() {
	for side := range s.sideCount() {
		for _, p := range s.decider.plan(s, side) {
			s.after(DecisionTime, func() { s.applyProposal(p) })
		}
	}
}

func sortRequests(list []*request) {
	slices.SortFunc(list, func(a, b *request) int { return a.id - b.id })
}

func (s *sim) finishRun() {
	for _, e := range s.engines {
		for _, r := range e.replicas {
			s.accountIdleTime(r)
		}
	}
	for _, vm := range s.routers {
		for _, r := range vm.queue.drain(s.currentTime()) {
			if !r.ended && r.replica == nil && r.deadline <= s.now {
				s.metrics.overdue++
			}
		}
	}
}
